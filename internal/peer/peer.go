package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// ProtocolVersion is the version of the envelope and of the message bodies.
const ProtocolVersion = 1

// Kind names the type of a message body.
type Kind string

// Envelope is the frame of every message between VMs.
type Envelope struct {
	Version     int               `cbor:"1,keyasint"`
	Kind        Kind              `cbor:"2,keyasint"`
	From        ident.VMName      `cbor:"3,keyasint"`
	Incarnation ident.Incarnation `cbor:"4,keyasint"`
	Sequence    uint64            `cbor:"5,keyasint"`
	Body        cbor.RawMessage   `cbor:"6,keyasint"`
}

// State is the health of a VM as the failure detector sees it.
type State uint8

// States of a VM.
const (
	Alive State = iota
	Suspect
	Dead
	Leaving
)

// Member is a VM in the membership view.
type Member struct {
	Name        ident.VMName           `cbor:"1,keyasint" json:"name"`
	Incarnation ident.Incarnation      `cbor:"2,keyasint" json:"incarnation"`
	Zone        ident.AvailabilityZone `cbor:"3,keyasint" json:"zone"`
	Address     string                 `cbor:"4,keyasint" json:"address"` // IP:port of the peer listener
	State       State                  `cbor:"5,keyasint" json:"state"`
}

// Mesh sends messages to other VMs and knows which are alive.
type Mesh interface {
	// Self returns this VM.
	Self() Member
	// Members returns the view of all known VMs, this one included, ordered by name.
	Members() []Member
	// Send queues a message to a VM. It does not block on the network; an error means
	// that the message was certainly not sent.
	Send(ctx context.Context, to ident.VMName, kind Kind, body any) error
	// Handle registers the receiver of a kind. It must be called before the mesh
	// starts. Receivers run on the connection's goroutine and must not block.
	Handle(kind Kind, receive func(from Member, body cbor.RawMessage))
	// Piggyback registers a small payload that rides on every detector message to and
	// from other VMs. provide returns nil when there is nothing to say.
	Piggyback(kind Kind, provide func(to ident.VMName) []byte, receive func(from Member, payload []byte))
	// OnChange registers a function that is called after each change of the view.
	OnChange(changed func([]Member))
}
