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
	status       group.Status
	known        bool
	lastStatus   time.Duration // last status, or when the member was configured
	firstRefusal time.Duration // first refused connection since the last status
	dead         bool          // refused again after RefusalInterval

	detachedAt time.Duration // when the member was first seen not to follow the primary
	lastFollow time.Duration // last follow command
	detached   bool
	hasRefused bool
}

// isReachable reports whether the member sent a status within MaxStatusAge and has
// refused no connection since.
func (s *memberState) isReachable(now time.Duration) bool {
	return s.known && !s.hasRefused && now-s.lastStatus <= MaxStatusAge
}

// Machine decides on changes of primary of one group on one VM.
type Machine struct {
	group       ident.GroupName
	self        VM
	incarnation string // VM and incarnation, prefix of proposer identifiers
	random      *rand.Rand
	sequence    int
	members     []memberState
	vms         []VM
	now         time.Duration

	record          Record
	version         objectapi.Version
	objectKnown     bool // false requires a read before the next update
	recordSeenAt    time.Duration
	lastUnplanned   time.Duration // when this VM last saw an unplanned change complete
	seenUnplanned   bool
	promotedTerm    ident.Term    // term whose promotion this VM completed
	unpromotedSince time.Duration // when the recorded primary was first reachable without the role
	isUnpromoted    bool

	suspect   suspicion
	attempt   *attempt
	moveSince time.Duration
	nextMove  time.Duration
	moving    bool

	actions []any
	trace   trace
	rules   rules
}

// rules are the decisions that safety depends on. Tests replace them to verify that
// the checks detect a violation.
type rules struct {
	majority    func(members int) int
	compareLogs func(a, b ident.LogPoint) int
}

// New returns a machine. incarnation must differ between restarts of a VM.
func New(name ident.GroupName, self VM, incarnation string, random *rand.Rand) *Machine {
	return &Machine{
		group: name, self: self, incarnation: incarnation, random: random,
		rules: rules{
			majority:    func(n int) int { return n/2 + 1 },
			compareLogs: ident.LogPoint.Compare,
		},
	}
}

// TakeActions returns the actions decided since the last call.
func (m *Machine) TakeActions() []any {
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) emit(action any) { m.actions = append(m.actions, action) }

// Configure sets the members of the group and the live VMs that always follow it.
// A VM that is not among them follows the group only while it has requests for it;
// it proposes after the listed ones, which do not know of it.
func (m *Machine) Configure(now time.Duration, members []Member, vms []VM) {
	m.now, m.vms = now, vms
	old := m.members
	m.members = make([]memberState, len(members))
	for i, member := range members {
		m.members[i] = memberState{lastStatus: now}
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

// Status records a status from a member's stream.
func (m *Machine) Status(now time.Duration, status group.Status) {
	m.now = now
	s := m.member(status.Upstream)
	if s == nil || s.known && (status.Term < s.status.Term || status.Incarnation < s.status.Incarnation) {
		return
	}
	s.status, s.known, s.lastStatus, s.hasRefused, s.dead = status, true, now, false, false
}

// Refused records that a connection to a member was refused or reset by its host,
// which shows that no process is listening.
func (m *Machine) Refused(now time.Duration, name ident.UpstreamName) {
	m.now = now
	s := m.member(name)
	if s == nil {
		return
	}
	if !s.hasRefused {
		s.hasRefused, s.firstRefusal = true, now
	} else if now-s.firstRefusal >= RefusalInterval {
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
	m.trackUnplannedChange(record)
	m.version, m.record, m.objectKnown, m.recordSeenAt = version, record, true, now
	a := m.attempt
	switch {
	case a == nil:
	case a.pendingPut != nil && a.pendingPut.Writer == record.Writer:
		m.putAccepted()
	default:
		m.abandon(fmt.Sprintf("%s recorded term %d", record.Proposer, record.Term))
	}
}

// ObjectKnown reports whether the group's object has been read or announced.
func (m *Machine) ObjectKnown() bool { return m.objectKnown }

// trackUnplannedChange starts the flap window when this VM sees an unplanned change
// complete. A change that it only reads about may have completed long before.
func (m *Machine) trackUnplannedChange(record Record) {
	if m.version > 0 && record.State == Serving && !record.Planned && record.Term > 0 {
		m.lastUnplanned, m.seenUnplanned = m.now, true
	}
}

// HoldsWrites reports whether writes should wait for a planned move.
func (m *Machine) HoldsWrites() bool {
	_, term := m.primary()
	return m.record.State == Moving && m.record.Term == term
}

// primary returns the primary known to this VM, or nil, and its term. There is none
// while a change is in state Fencing.
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

// followedPrimary derives the primary from what the members follow. A VM that starts
// after the primary has failed has no other information.
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

// highestTerm returns the highest term in the record and in the members' statuses.
func (m *Machine) highestTerm() ident.Term {
	term := m.record.Term
	for i := range m.members {
		term = max(term, m.members[i].status.Term)
	}
	return term
}

// majorityReachable reports whether a majority of the members is reachable from this VM.
func (m *Machine) majorityReachable(now time.Duration) bool {
	n := 0
	for i := range m.members {
		if m.members[i].isReachable(now) {
			n++
		}
	}
	return n >= len(m.members)/2+1
}

// Tick advances the time of the machine. It is called at least every 50 ms while
// Busy, and every 200 ms otherwise.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	m.trackUnpromoted()
	if m.attempt != nil {
		m.advanceAttempt()
		return
	}
	m.maybeStartChange()
	if m.attempt == nil {
		m.reattachMembers()
	}
}

// Busy reports whether a change is suspected or in progress.
func (m *Machine) Busy() bool { return m.attempt != nil || m.suspect.reason != "" || m.moving }
