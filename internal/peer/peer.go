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

// State is the health of a VM as the failure detector sees it.
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

// MaxPiggybackBytes is the number of payload bytes of all kinds together that ride on
// one detector message. A watcher sends and receives about 6 such messages a
// second each, so its probes stay below 6 KB/s in total.
const MaxPiggybackBytes = 300

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
	// from other VMs. provide returns nil when there is nothing to say. Payloads share
	// MaxPiggybackBytes bytes a message; the kinds take turns when they do not all fit.
	Piggyback(kind Kind, provide func(to ident.VMName) []byte, receive func(from Member, payload []byte))
	// OnChange registers a function that is called after each change of the view.
	OnChange(changed func([]Member))
}
