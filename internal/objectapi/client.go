package objectapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Kind names a class of objects.
type Kind string

// Kinds of objects that rosemarywall stores.
const (
	KindConfiguration Kind = "configuration"
	KindZoneAck       Kind = "zone-ack"
	KindShareTable    Kind = "share-table"
	KindGroup         Kind = "group"
)

// Version orders the changes of the whole store by era and revision. The era increases when
// the store comes back from an older copy, which gives revisions out again. A version of
// revision zero means that the object does not exist.
type Version uint64

// revisionBits is the number of low bits of a Version that hold the revision.
const revisionBits = 48

// NewVersion returns the version of a revision in an era.
func NewVersion(era, revision uint64) Version { return Version(era<<revisionBits | revision) }

// Era returns the era of the store; zero if the store never came back from a copy.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the revision within the era.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// Object is a stored object.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Changes is the response to a list or a watch. It has at most one change of each object.
type Changes struct {
	Objects []Object `json:"objects"`
	Deleted []Object `json:"deleted"`
	// Unnamed is the number of entries whose metadata cannot be read; they are left out.
	Unnamed int `json:"unnamed,omitempty"`
	// Version is the store version up to which the response is complete.
	Version Version `json:"version"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name    ident.VMName           `json:"name"`
	Zone    ident.AvailabilityZone `json:"zone"`
	Address string                 `json:"address"` // peer address, IP:port
	State   VMState                `json:"state"`
}

// Client is the client of the object API. Errors carry the result codes PlatformDown,
// PlatformQuota, PlatformConflict, PlatformNotFound, PlatformTooLarge and
// PlatformBadRequest. A change that fails with PlatformDown may have taken effect.
type Client interface {
	// Get returns one object, or a PlatformNotFound error.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns the objects of a kind.
	List(ctx context.Context, kind Kind) (Changes, error)
	// Put stores value if the object has the given version; zero means that it must
	// not exist. With PlatformConflict it also returns the current object.
	Put(ctx context.Context, kind Kind, name string, value any, ifVersion Version) (Object, error)
	// Delete removes the object if it has the given version.
	Delete(ctx context.Context, kind Kind, name string, ifVersion Version) error
	// Watch waits up to timeout for changes of the kinds after the given store version.
	Watch(ctx context.Context, kinds []Kind, after Version, timeout time.Duration) (Changes, error)
	// VMs returns the platform's list of VMs, which is eventually consistent.
	VMs(ctx context.Context) ([]VM, error)
}

// Decode decodes the value of the object. Its errors carry PlatformBadRequest.
func (o Object) Decode(into any) error {
	if err := json.Unmarshal(o.Value, into); err != nil {
		return resultcode.Wrap(err, resultcode.PlatformBadRequest, "value of %s/%s cannot be decoded", o.Kind, o.Name)
	}
	return nil
}
