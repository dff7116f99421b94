package detector

import (
	"hash/fnv"
	"math/bits"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// State is the health of a VM as the failure detector sees it.
type State uint8

// States of a VM.
const (
	Alive State = iota
	Suspect
	Dead
	Leaving
)

// String names the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "leaving"}[s&3]
}

// gone reports whether a VM in this state takes no more part.
func (s State) gone() bool { return s == Dead || s == Leaving }

// gravity orders the states of one incarnation and refutation.
func (s State) gravity() int { return [...]int{0, 1, 3, 2}[s&3] }

// Member is a VM in the membership view.
type Member struct {
	Name        ident.VMName           `cbor:"1,keyasint" json:"name"`
	Incarnation ident.Incarnation      `cbor:"2,keyasint" json:"incarnation"`
	Zone        ident.AvailabilityZone `cbor:"3,keyasint" json:"zone"`
	Address     string                 `cbor:"4,keyasint" json:"address"` // IP:port of the peer listener
	State       State                  `cbor:"5,keyasint" json:"state"`
}

// Record is a member with the counter by which it refutes suspicions.
type Record struct {
	Member      Member       `cbor:"1,keyasint"`
	Refutation  uint32       `cbor:"2,keyasint,omitempty"`
	SuspectedBy ident.VMName `cbor:"3,keyasint,omitempty"` // VM that suspects the member
}

// size estimates the encoded bytes of a record.
func (r Record) size() int {
	return len(r.Member.Name) + len(r.Member.Zone) + len(r.Member.Address) + len(r.SuspectedBy) + 24
}

// newer reports whether r overrides old, leaving equal records alone.
func (r Record) newer(old Record) bool {
	switch {
	case r.Member.Incarnation != old.Member.Incarnation:
		return r.Member.Incarnation > old.Member.Incarnation
	case r.Refutation != old.Refutation:
		return r.Refutation > old.Refutation
	}
	return r.Member.State.gravity() > old.Member.State.gravity()
}

// hash covers what converged views agree on. A suspicion counts, so that one that
// lasts reaches VMs that can settle it. Members that are gone do not count, because
// VMs forget them at different times.
func (r Record) hash() uint64 {
	if r.Member.State.gone() {
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
	// Target is the member to probe in a PingRequest and the member that answered
	// in an Ack.
	Target  ident.VMName                      `cbor:"3,keyasint,omitempty"`
	Hash    uint64                            `cbor:"4,keyasint,omitempty"`
	Records []Record                          `cbor:"5,keyasint,omitempty"`
	Zones   map[ident.AvailabilityZone]uint64 `cbor:"6,keyasint,omitempty"`
}

// Outgoing is an action: pass the message to the member.
type Outgoing struct {
	To      ident.VMName
	Message Message
}

// Config sets the detector's times and limits.
type Config struct {
	Self Member
	// Period is the time between probes.
	Period time.Duration
	// RemotePeriod is the time between a watcher's probes of other zones.
	RemotePeriod time.Duration
	// DirectTimeout is the time after which others are asked to probe.
	DirectTimeout time.Duration
	// IndirectProbes is the number of members asked to probe, k.
	IndirectProbes int
	// SuspicionTimeout is the least time between a suspicion and death.
	SuspicionTimeout time.Duration
	// Confirmations is the number of VMs that must suspect a member independently.
	Confirmations int
	// MaxUpdateBytes limits the records in one probe message.
	MaxUpdateBytes int
	// SyncDelay is the time without changes after which differing hashes lead to an
	// exchange of records.
	SyncDelay time.Duration
	// MaxSyncRecords limits the records in one Sync message.
	MaxSyncRecords int
	// DeadRetention is the time after which dead members leave the view.
	DeadRetention time.Duration
}

// DefaultConfig returns the values used by entry VMs.
func DefaultConfig(self Member) Config {
	return Config{
		Self: self, Period: 500 * time.Millisecond, RemotePeriod: time.Second, DirectTimeout: 200 * time.Millisecond,
		IndirectProbes: 3, SuspicionTimeout: 1500 * time.Millisecond, Confirmations: 2,
		MaxUpdateBytes: 400, SyncDelay: 5 * time.Second, MaxSyncRecords: 200, DeadRetention: time.Hour,
	}
}

// Watchers returns the members of the zone with the highest rendezvous hash, at
// most n, without dead, suspected and leaving ones.
func Watchers(members []Member, zone ident.AvailabilityZone, n int) []Member {
	var best []Member
	for _, m := range members {
		if m.Zone != zone || m.State != Alive {
			continue
		}
		best = append(best, m)
		for i := len(best) - 1; i > 0 && rank(best[i].Name) > rank(best[i-1].Name); i-- {
			best[i], best[i-1] = best[i-1], best[i]
		}
		if len(best) > n {
			best = best[:n]
		}
	}
	return best
}

func rank(name ident.VMName) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return mix(h.Sum64())
}

// transmissions is the number of messages that carry one change in a zone of n.
func transmissions(n int) int { return 3 * bits.Len(uint(n+1)) }
