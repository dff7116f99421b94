package detector

import (
	"hash/fnv"
	"math/bits"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// State is the health of a VM in the membership view.
type State uint8

// States of a VM.
const (
	Alive State = iota
	Suspect
	Dead
	Leaving
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "leaving"}[s&3]
}

// inactive reports whether a VM in this state no longer participates.
func (s State) inactive() bool { return s == Dead || s == Leaving }

// precedence orders the states of a member with the same incarnation and refutation.
func (s State) precedence() int { return [...]int{0, 1, 3, 2}[s&3] }

// Member is a VM in the membership view of a detector.
type Member struct {
	Name        ident.VMName           `cbor:"1,keyasint" json:"name"`
	Incarnation ident.Incarnation      `cbor:"2,keyasint" json:"incarnation"`
	Zone        ident.AvailabilityZone `cbor:"3,keyasint" json:"zone"`
	Address     string                 `cbor:"4,keyasint" json:"address"` // IP:port of the peer listener
	State       State                  `cbor:"5,keyasint" json:"state"`
}

// Record is a member together with its refutation counter.
type Record struct {
	Member      Member       `cbor:"1,keyasint"`
	Refutation  uint32       `cbor:"2,keyasint,omitempty"`
	SuspectedBy ident.VMName `cbor:"3,keyasint,omitempty"` // VM that suspects the member
}

// size estimates the encoded bytes of a record.
func (r Record) size() int {
	return len(r.Member.Name) + len(r.Member.Zone) + len(r.Member.Address) + len(r.SuspectedBy) + 24
}

// overrides reports whether r replaces old. Equal records do not replace each other.
func (r Record) overrides(old Record) bool {
	switch {
	case r.Member.Incarnation != old.Member.Incarnation:
		return r.Member.Incarnation > old.Member.Incarnation
	case r.Refutation != old.Refutation:
		return r.Refutation > old.Refutation
	}
	return r.Member.State.precedence() > old.Member.State.precedence()
}

// hash covers the state on which converged views agree. It includes suspicions, so that
// a lasting suspicion reaches VMs that can confirm or refute it. Dead and leaving members
// are excluded, because VMs remove them at different times.
func (r Record) hash() uint64 {
	if r.Member.State.inactive() {
		return 0
	}
	h := fnv.New64a()
	h.Write([]byte(r.Member.Name))
	x := h.Sum64() ^ uint64(r.Member.Incarnation)*0x9e3779b97f4a7c15
	return mix(x ^ uint64(r.Refutation)<<8 ^ uint64(r.Member.State))
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// MessageType distinguishes detector messages.
type MessageType uint8

// Types of detector messages.
const (
	Ping MessageType = iota
	PingRequest
	Ack
	Digest
	Sync
)

// Message is exchanged between detectors.
type Message struct {
	Type  MessageType `cbor:"1,keyasint"`
	Probe uint64      `cbor:"2,keyasint,omitempty"`
	// Target is the member to probe in a PingRequest and the member that responded in
	// an Ack.
	Target  ident.VMName                      `cbor:"3,keyasint,omitempty"`
	Hash    uint64                            `cbor:"4,keyasint,omitempty"`
	Records []Record                          `cbor:"5,keyasint,omitempty"`
	Zones   map[ident.AvailabilityZone]uint64 `cbor:"6,keyasint,omitempty"`
}

// Outgoing is a message to be sent to a member.
type Outgoing struct {
	To      ident.VMName
	Message Message
}

// Config holds the timeouts and limits of a Detector.
type Config struct {
	Self Member
	// Period is the interval between probes.
	Period time.Duration
	// RemotePeriod is the interval between a watcher's probes of other zones.
	RemotePeriod time.Duration
	// DirectTimeout is the time without an acknowledgement after which other members
	// are requested to probe the target.
	DirectTimeout time.Duration
	// IndirectProbes is the number of members requested to probe a target, k.
	IndirectProbes int
	// SuspicionTimeout is the minimum time between a suspicion and the declaration of
	// death.
	SuspicionTimeout time.Duration
	// Confirmations is the number of VMs that must suspect a member independently.
	Confirmations int
	// MaxUpdateBytes is the maximum size of the records in one probe message.
	MaxUpdateBytes int
	// SyncDelay is the time without changes of the view, and between exchanges, after
	// which a differing hash starts an exchange of records.
	SyncDelay time.Duration
	// MaxSyncRecords is the maximum number of records in one Sync message. A single zone
	// may exceed it.
	MaxSyncRecords int
	// DeadRetention is the time after which dead and leaving members are removed from
	// the view.
	DeadRetention time.Duration
}

// DefaultConfig returns the configuration used by entry VMs.
func DefaultConfig(self Member) Config {
	return Config{
		Self: self, Period: 500 * time.Millisecond, RemotePeriod: time.Second, DirectTimeout: 200 * time.Millisecond,
		IndirectProbes: 3, SuspicionTimeout: 1500 * time.Millisecond, Confirmations: 2,
		MaxUpdateBytes: 400, SyncDelay: 5 * time.Second, MaxSyncRecords: 200, DeadRetention: time.Hour,
	}
}

// Watchers returns the up to n live members of the zone with the highest rendezvous
// hash. Suspected, dead and leaving members are excluded.
func Watchers(members []Member, zone ident.AvailabilityZone, n int) []Member {
	var best []Member
	for _, m := range members {
		if m.Zone != zone || m.State != Alive {
			continue
		}
		best = append(best, m)
		for i := len(best) - 1; i > 0 && rendezvousHash(best[i].Name) > rendezvousHash(best[i-1].Name); i-- {
			best[i], best[i-1] = best[i-1], best[i]
		}
		if len(best) > n {
			best = best[:n]
		}
	}
	return best
}

func rendezvousHash(name ident.VMName) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return mix(h.Sum64())
}

// transmitLimit returns the number of messages that carry one change in a zone of n
// members.
func transmitLimit(n int) int { return 3 * bits.Len(uint(n+1)) }
