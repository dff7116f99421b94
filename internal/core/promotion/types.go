package promotion

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// Detection and retry delays. A group should be without a primary for less than 1 s
// after a process failure and less than 3 s after a network partition.
const (
	// StatusTimeout is the time without a status after which a member is suspected.
	// It is ten heartbeats, so that a pause of a few hundred milliseconds does not
	// start a change.
	StatusTimeout = time.Second
	// WitnessStatusTimeout is the time without a status after which another VM
	// confirms a suspicion. It is shorter than StatusTimeout because the last status
	// reaches each VM at a different time.
	WitnessStatusTimeout = 700 * time.Millisecond
	// RefusalInterval is the least time between the first refused connection and the one
	// that marks the member as dead, so that a refusal while a listener restarts does
	// not start a change.
	RefusalInterval = 40 * time.Millisecond
	// MaxStatusAge is the greatest age of a status that shows a member to be reachable.
	MaxStatusAge = 500 * time.Millisecond
	// RankDelay is the delay between the attempts of successive VMs.
	RankDelay = 250 * time.Millisecond
	// ConfirmationInterval is the time between confirmation requests.
	ConfirmationInterval = 200 * time.Millisecond
	// SoleVMDelay is the time for which a suspicion must last if there is no other VM to
	// confirm it.
	SoleVMDelay = time.Second
	// TakeoverDelay is the time that a proposer has for each recorded step.
	TakeoverDelay = time.Second
	// FenceGrace is the time for which a proposer with a majority waits for further
	// reachable members. A later response could only change the choice among equally
	// advanced members.
	FenceGrace = 30 * time.Millisecond
	// RetryInterval is the time between repeated calls to a member or the platform.
	RetryInterval = 200 * time.Millisecond
	// PutTimeout is the time after which an update without a response is read back.
	PutTimeout = 500 * time.Millisecond
	// FollowInterval is the time between follow commands to one member.
	FollowInterval = time.Second
	// HoldLeadTime lets the record of a planned move reach other VMs before the primary
	// refuses writes; messages between regions take 12 ms.
	HoldLeadTime = 50 * time.Millisecond
	// HandoverTimeout bounds the wait for running transactions to finish.
	HandoverTimeout = 3 * time.Second
	// CatchUpTimeout bounds the wait for a target after a handover.
	CatchUpTimeout = time.Second
	// MoveTakeoverDelay is the time after which another VM completes a recorded move.
	// It covers HoldLeadTime, HandoverTimeout and CatchUpTimeout, and leaves half of
	// the 9 s limit on the unavailability of a group to the remaining phases.
	MoveTakeoverDelay = 4500 * time.Millisecond
	// MoveRetryDelay is the delay after a planned move that failed.
	MoveRetryDelay = 500 * time.Millisecond
	// FlapWindow is the time after an unplanned change in which only a dead primary
	// is replaced.
	FlapWindow = 10 * time.Second
	// FlapStatusTimeout is the time without a status after which a primary counts as dead
	// within FlapWindow.
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
	// Moving means that the primary of Term is being asked to hand over.
	Moving State = "moving"
)

// Record is the value of the object group/<name>.
type Record struct {
	Term  ident.Term `json:"term" cbor:"1,keyasint"`
	State State      `json:"state" cbor:"2,keyasint"`
	// Primary is the primary of Term in the states Serving and Moving, and the
	// primary to be replaced in the state Fencing.
	Primary  ident.UpstreamName `json:"primary" cbor:"3,keyasint"`
	Proposer string             `json:"proposer" cbor:"4,keyasint"`
	// Writer is unique for each update.
	Writer  string `json:"writer" cbor:"5,keyasint"`
	Planned bool   `json:"planned,omitempty" cbor:"6,keyasint,omitempty"`
	Reason  string `json:"reason,omitempty" cbor:"7,keyasint,omitempty"`
}

// ConfirmationRequest asks another VM whether it has also lost the primary of a term.
type ConfirmationRequest struct {
	Group   ident.GroupName    `cbor:"1,keyasint"`
	Term    ident.Term         `cbor:"2,keyasint"`
	Primary ident.UpstreamName `cbor:"3,keyasint"`
}

// ConfirmationResponse is the response to a ConfirmationRequest.
type ConfirmationResponse struct {
	Request ConfirmationRequest `cbor:"1,keyasint"`
	Failed  bool                `cbor:"2,keyasint"`
}

// Actions that the controller carries out. Each call to a member or the platform
// results in one event, also if it fails.
type (
	// Get reads the group's object; its result is reported with GetDone.
	Get struct{}
	// Put updates the group's object; its result is reported with PutDone.
	Put struct {
		Record    Record
		IfVersion objectapi.Version
	}
	// Fence makes a member refuse older terms; its result is reported with Fenced.
	Fence struct {
		Upstream ident.UpstreamName
		Term     ident.Term
		Proposer string
	}
	// Promote makes a member primary; its result is reported with Promoted.
	Promote struct {
		Upstream ident.UpstreamName
		Term     ident.Term
		Proposer string
	}
	// Follow makes a member follow a primary. Its result is not reported; the member's
	// stream shows the effect.
	Follow struct {
		Upstream ident.UpstreamName
		Term     ident.Term
		Primary  ident.UpstreamName
	}
	// Handover makes the primary stop accepting write transactions; its result is
	// reported with HandedOver.
	Handover struct {
		Upstream ident.UpstreamName
		Term     ident.Term
	}
	// RequestConfirmation sends a confirmation request to a VM.
	RequestConfirmation struct {
		To      ident.VMName
		Request ConfirmationRequest
	}
	// Respond sends the response to a confirmation request of a VM.
	Respond struct {
		To       ident.VMName
		Response ConfirmationResponse
	}
	// Announce sends the object to all VMs. It is a hint; the platform's object is
	// authoritative.
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

// Result is the response of a member to a call.
type Result struct {
	OK     bool
	Status group.Status // valid when OK
}
