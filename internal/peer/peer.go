package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
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

// State is the state of a VM in the view of the failure detector.
type State = detector.State

// States of a VM.
const (
	Alive   = detector.Alive
	Suspect = detector.Suspect
	Dead    = detector.Dead
	Leaving = detector.Leaving
)

// Member is a VM in the membership view.
type Member = detector.Member

// MaxPiggybackBytes limits the total size of the payloads of all kinds on one detector
// message. A probing VM sends and receives about 6 such messages per second each, so
// its probe traffic stays below 6 KB/s in total.
const MaxPiggybackBytes = 300

// Mesh sends messages to other VMs and tracks which of them are alive.
type Mesh interface {
	// Self returns this VM.
	Self() Member
	// Members returns all known VMs, including this one, ordered by name.
	Members() []Member
	// Send queues a message to a VM. It does not block on the network. An error
	// guarantees that the message was not sent.
	Send(ctx context.Context, to ident.VMName, kind Kind, body any) error
	// Handle registers the receiver of a kind. It must be called before the mesh
	// starts. Receivers run on the goroutine of the connection and must not block.
	Handle(kind Kind, receive func(from Member, body cbor.RawMessage))
	// Piggyback registers a small payload that is attached to probe messages to and
	// from other VMs. provide returns nil if there is nothing to send. The payloads of
	// a message share MaxPiggybackBytes; kinds alternate when they do not all fit.
	Piggyback(kind Kind, provide func(to ident.VMName) []byte, receive func(from Member, payload []byte))
	// OnChange registers a function that is called after the membership view changes.
	OnChange(changed func([]Member))
}
