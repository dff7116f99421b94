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

// Kinds of objects that rosemarywall keeps.
const (
	KindConfiguration Kind = "configuration"
	KindZoneAck       Kind = "zone-ack"
	KindShareTable    Kind = "share-table"
	KindGroup         Kind = "group"
)

// Version orders the changes of the whole store; zero means that the object does not exist.
type Version uint64

// Object is one stored value.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Changes is the answer of a list or a watch.
type Changes struct {
	Objects []Object `json:"objects"`
	Deleted []Object `json:"deleted"`
	// Version is the store version up to which the answer is complete.
	Version Version `json:"version"`
}

// VMState is the state of a VM in the platform's lagging list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's lagging list.
type VM struct {
	Name    ident.VMName           `json:"name"`
	Zone    ident.AvailabilityZone `json:"zone"`
	Address string                 `json:"address"` // peer address, IP:port
	State   VMState                `json:"state"`
}

// Client calls the object API. Errors carry the result codes PlatformDown,
// PlatformQuota, PlatformConflict, PlatformNotFound, PlatformTooLarge and
// PlatformBadRequest. After PlatformDown a change may have taken effect.
type Client interface {
	// Get returns one object, or a PlatformNotFound error.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns the objects of a kind.
	List(ctx context.Context, kind Kind) (Changes, error)
	// Put stores value if the object has the given version; zero means that it must
	// not exist. On PlatformConflict the current object is returned as well.
	Put(ctx context.Context, kind Kind, name string, value any, ifVersion Version) (Object, error)
	// Delete removes the object if it has the given version.
	Delete(ctx context.Context, kind Kind, name string, ifVersion Version) error
	// Watch waits up to timeout for changes of the kinds after a store version.
	Watch(ctx context.Context, kinds []Kind, after Version, timeout time.Duration) (Changes, error)
	// VMs returns the platform's lagging list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}

// Decode decodes the value of the object. The error carries PlatformBadRequest.
func (o Object) Decode(into any) error {
	if err := json.Unmarshal(o.Value, into); err != nil {
		return resultcode.Wrap(err, resultcode.PlatformBadRequest, "value of %s/%s cannot be decoded", o.Kind, o.Name)
	}
	return nil
}
