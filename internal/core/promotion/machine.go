package promotion

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

type memberState struct {
	Member
	status  group.Status
	known   bool
	heard   time.Duration // last status, or when the member was configured
	refused time.Duration // first refused connection since the last status
	dead    bool          // refused again after RefusedWindow

	strayed    time.Duration // since when the member does not follow the primary
	followed   time.Duration // last follow call
	straying   bool
	hasRefused bool
}

// fresh reports whether the member was reachable a moment ago.
func (s *memberState) fresh(now time.Duration) bool {
	return s.known && !s.hasRefused && now-s.heard <= MaxStatusAge
}

// Machine decides about one group on one VM.
type Machine struct {
	group    ident.GroupName
	self     VM
	life     string // VM and incarnation, prefix of proposer identifiers
	random   *rand.Rand
	sequence int
	members  []memberState
	vms      []VM
	now      time.Duration

	record        Record
	version       objectapi.Version
	objectKnown   bool // false asks for a read before the next update
	recordAt      time.Duration
	unplanned     time.Duration // last unplanned change that was seen to happen
	seenUnplanned bool
	promotedTerm  ident.Term    // term whose promotion this VM completed
	unpromoted    time.Duration // since when the primary is reachable and says that it is none
	isUnpromoted  bool

	suspect   suspicion
	attempt   *attempt
	moveSince time.Duration
	moveAfter time.Duration
	moving    bool

	out   []any
	trace trace
	rules rules
}

// rules are the decisions that safety rests on; tests replace them to show that
// the checks notice.
type rules struct {
	majority func(members int) int
	better   func(a, b ident.LogPoint) int
}

// New returns a machine. life must differ between restarts of a VM.
func New(name ident.GroupName, self VM, life string, random *rand.Rand) *Machine {
	return &Machine{
		group: name, self: self, life: life, random: random,
		rules: rules{
			majority: func(n int) int { return n/2 + 1 },
			better:   ident.LogPoint.Compare,
		},
	}
}

// TakeActions returns the actions decided since the last call.
func (m *Machine) TakeActions() []any {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) act(action any) { m.out = append(m.out, action) }

// Configure sets the members of the group and the live VMs that always follow it.
// A VM that is not among them follows the group only while it has requests for it;
// it proposes after the others, which do not know of it.
func (m *Machine) Configure(now time.Duration, members []Member, vms []VM) {
	m.now, m.vms = now, vms
	old := m.members
	m.members = make([]memberState, len(members))
	for i, member := range members {
		m.members[i] = memberState{heard: now}
		for j := range old {
			if old[j].Upstream == member.Upstream {
				m.members[i] = old[j]
			}
		}
		m.members[i].Member = member
	}
}

func (m *Machine) member(name ident.UpstreamName) *memberState {
	for i := range m.members {
		if m.members[i].Upstream == name {
			return &m.members[i]
		}
	}
	return nil
}

// Status records a line of a member's stream.
func (m *Machine) Status(now time.Duration, status group.Status) {
	m.now = now
	s := m.member(status.Upstream)
	if s == nil || s.known && (status.Term < s.status.Term || status.Incarnation < s.status.Incarnation) {
		return
	}
	s.status, s.known, s.heard, s.hasRefused, s.dead = status, true, now, false, false
}

// Refused records that a connection to a member was refused, or that its host
// reset one: no process serves there.
func (m *Machine) Refused(now time.Duration, name ident.UpstreamName) {
	m.now = now
	s := m.member(name)
	if s == nil {
		return
	}
	if !s.hasRefused {
		s.hasRefused, s.refused = true, now
	} else if now-s.refused >= RefusalInterval {
		s.dead = true
	}
	m.Tick(now)
}

// Object records the group's object as read, watched or announced by a peer.
func (m *Machine) Object(now time.Duration, version objectapi.Version, record Record) {
	m.now = now
	if version <= m.version {
		return
	}
	m.noteChange(record)
	m.version, m.record, m.objectKnown, m.recordAt = version, record, true, now
	a := m.attempt
	switch {
	case a == nil:
	case a.put != nil && a.put.Writer == record.Writer:
		m.accepted()
	default:
		m.abandon(fmt.Sprintf("%s recorded term %d", record.Proposer, record.Term))
	}
}

// ObjectKnown reports whether the group's object has been read or announced.
func (m *Machine) ObjectKnown() bool { return m.objectKnown }

// noteChange starts the flap window when an unplanned change completes before the
// eyes of this VM; one that it only reads about may be long past.
func (m *Machine) noteChange(record Record) {
	if m.version > 0 && record.State == Serving && !record.Planned && record.Term > 0 {
		m.unplanned, m.seenUnplanned = m.now, true
	}
}

// HoldsWrites reports whether writes should wait for a planned move.
func (m *Machine) HoldsWrites() bool {
	_, term := m.primary()
	return m.record.State == Moving && m.record.Term == term
}

// primary returns the primary as far as this VM knows, or nil, and the term. While
// a change is being recorded there is none.
func (m *Machine) primary() (*memberState, ident.Term) {
	var best *memberState
	for i := range m.members {
		s := &m.members[i]
		if s.known && s.status.Role == group.RolePrimary && !s.status.Fenced && (best == nil || s.status.Term > best.status.Term) {
			best = s
		}
	}
	switch {
	case best != nil && best.status.Term >= m.record.Term:
		return best, best.status.Term
	case m.record.Term > 0 && m.record.State != Fencing:
		return m.member(m.record.Primary), m.record.Term
	case m.record.Term > 0:
		return nil, m.record.Term
	}
	return m.followedPrimary()
}

// followedPrimary finds the primary by what the replicas follow; a VM that starts
// after the primary died has no other evidence.
func (m *Machine) followedPrimary() (*memberState, ident.Term) {
	var best *memberState
	for i := range m.members {
		if s := &m.members[i]; s.known && (best == nil || s.status.Term > best.status.Term) {
			best = s
		}
	}
	if best == nil {
		return nil, 0
	}
	return m.member(best.status.Primary), best.status.Term
}

// highestTerm is the highest term seen anywhere.
func (m *Machine) highestTerm() ident.Term {
	term := m.record.Term
	for i := range m.members {
		term = max(term, m.members[i].status.Term)
	}
	return term
}

// reachable reports whether a majority of the members is reachable from this VM.
func (m *Machine) reachable(now time.Duration) bool {
	n := 0
	for i := range m.members {
		if m.members[i].fresh(now) {
			n++
		}
	}
	return n >= len(m.members)/2+1
}

// Tick lets time pass. It is called at least every 50 ms while Busy, and every
// 200 ms otherwise.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	m.watchRole()
	if m.attempt != nil {
		m.advance()
		return
	}
	m.consider()
	if m.attempt == nil {
		m.followRest()
	}
}

// Busy reports whether a change is suspected or under way.
func (m *Machine) Busy() bool { return m.attempt != nil || m.suspect.why != "" || m.moving }
