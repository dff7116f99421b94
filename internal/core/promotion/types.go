package promotion

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// Detection and retry delays. The targets are a total gap below 1 s for a dead
// process and below 3 s for a network cut.
const (
	// StatusTimeout is the time without a status after which a member is suspected.
	// It is ten heartbeats, so that a pause of a few hundred milliseconds starts no
	// change.
	StatusTimeout = time.Second
	// WitnessStatusTimeout is the silence that another VM must have seen to confirm. It is
	// shorter because the last status reaches each VM at another time.
	WitnessStatusTimeout = 700 * time.Millisecond
	// RefusalInterval separates the first and the deciding refused connection, so that
	// one refusal during a listener's restart starts no change.
	RefusalInterval = 40 * time.Millisecond
	// MaxStatusAge is the age up to which a status shows that a member is reachable.
	MaxStatusAge = 500 * time.Millisecond
	// RankDelay is the delay between the attempts of successive VMs.
	RankDelay = 250 * time.Millisecond
	// ConfirmationInterval is the time between confirmation questions.
	ConfirmationInterval = 200 * time.Millisecond
	// SoleVMDelay is added to the suspicion when no other VM lives.
	SoleVMDelay = time.Second
	// TakeoverDelay is the time that a proposer has for each recorded step.
	TakeoverDelay = time.Second
	// FenceGrace is how long a proposer with a majority waits for a further member
	// that is reachable; a later answer changes only which of equal members is chosen.
	FenceGrace = 30 * time.Millisecond
	// RetryInterval is the time between repeated calls to a member or the platform.
	RetryInterval = 200 * time.Millisecond
	// PutTimeout is when an unanswered update is read back.
	PutTimeout = 500 * time.Millisecond
	// FollowInterval is the time between follow calls to one member.
	FollowInterval = time.Second
	// HoldLeadTime lets the record of a planned move reach other VMs before the primary
	// refuses writes; messages between regions take 12 ms.
	HoldLeadTime = 50 * time.Millisecond
	// HandoverTimeout bounds the wait for running transactions to finish.
	HandoverTimeout = 3 * time.Second
	// CatchUpTimeout bounds the wait for a target after a handover.
	CatchUpTimeout = time.Second
	// MoveTakeoverDelay is the time after which another VM sees a recorded move through. It
	// covers HoldLead, HandoverTimeout and CatchUpTimeout, and leaves half of the 9 s
	// bound on a gap to the rest.
	MoveTakeoverDelay = 4500 * time.Millisecond
	// MoveRetryDelay is the pause after a planned move that failed.
	MoveRetryDelay = 500 * time.Millisecond
	// FlapWindow is the time after an unplanned change in which only a dead primary
	// is replaced.
	FlapWindow = 10 * time.Second
	// FlapStatusTimeout counts as dead within FlapWindow.
	FlapStatusTimeout = 3 * time.Second
)

// Member is a configured member of the group.
type Member struct {
	Upstream ident.UpstreamName
	Zone     ident.AvailabilityZone
	Region   ident.Region
	// Usable is false for leaving upstreams and for upstreams of a zone out of service.
	Usable bool
}

// VM is a live VM of the membership view.
type VM struct {
	Name ident.VMName
	Zone ident.AvailabilityZone
}

// State is the state of a recorded change.
type State string

// States of a record.
const (
	Fencing State = "fencing"
	Serving State = "serving"
	// Moving says that the primary of Term is asked to hand over.
	Moving State = "moving"
)

// Record is the value of the object group/<name>.
type Record struct {
	Term  ident.Term `json:"term" cbor:"1,keyasint"`
	State State      `json:"state" cbor:"2,keyasint"`
	// Primary is the primary of Term when serving or moving, the replaced one when
	// fencing.
	Primary  ident.UpstreamName `json:"primary" cbor:"3,keyasint"`
	Proposer string             `json:"proposer" cbor:"4,keyasint"`
	// Writer is unique for each update.
	Writer  string `json:"writer" cbor:"5,keyasint"`
	Planned bool   `json:"planned,omitempty" cbor:"6,keyasint,omitempty"`
	Reason  string `json:"reason,omitempty" cbor:"7,keyasint,omitempty"`
}

// ConfirmationRequest asks another VM whether it, too, has lost the primary of a term.
type ConfirmationRequest struct {
	Group   ident.GroupName    `cbor:"1,keyasint"`
	Term    ident.Term         `cbor:"2,keyasint"`
	Primary ident.UpstreamName `cbor:"3,keyasint"`
}

// ConfirmationResponse is the answer to a Question.
type ConfirmationResponse struct {
	Request ConfirmationRequest `cbor:"1,keyasint"`
	Failed  bool                `cbor:"2,keyasint"`
}

// Actions that the shell carries out. Each call to a member or the platform is
// answered by one event, an error included.
type (
	// Get reads the group's object; answered by GetDone.
	Get struct{}
	// Put updates the group's object; answered by PutDone.
	Put struct {
		Record    Record
		IfVersion objectapi.Version
	}
	// Fence is answered by Fenced.
	Fence struct {
		Upstream ident.UpstreamName
		Term     ident.Term
		Proposer string
	}
	// Promote is answered by Promoted.
	Promote struct {
		Upstream ident.UpstreamName
		Term     ident.Term
		Proposer string
	}
	// Follow needs no answer: the member's stream shows the effect.
	Follow struct {
		Upstream ident.UpstreamName
		Term     ident.Term
		Primary  ident.UpstreamName
	}
	// Handover is answered by HandedOver.
	Handover struct {
		Upstream ident.UpstreamName
		Term     ident.Term
	}
	// RequestConfirmation sends a question to a VM.
	RequestConfirmation struct {
		To      ident.VMName
		Request ConfirmationRequest
	}
	// Respond answers the question of a VM.
	Respond struct {
		To       ident.VMName
		Response ConfirmationResponse
	}
	// Announce tells all VMs the object; it is a hint, the platform decides.
	Announce struct {
		Version objectapi.Version
		Record  Record
	}
)

// PutOutcome is the result of an update.
type PutOutcome uint8

// Outcomes of an update.
const (
	// PutAccepted means that the update took effect.
	PutAccepted PutOutcome = iota
	// PutConflict means that another version was found, which is reported.
	PutConflict
	// PutUnknown means that the update may have taken effect.
	PutUnknown
)

// Result is the answer of a member to a call.
type Result struct {
	OK     bool
	Status group.Status // valid when OK
}
