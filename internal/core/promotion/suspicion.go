package promotion

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Reasons for an unplanned change. They are stored in Record.Reason.
const (
	reasonDead         = "connections refused"
	reasonUnresponsive = "stream silent"
	reasonTakeover     = "proposer did not finish fencing"
	reasonNotPromoted  = "recorded primary was not promoted"
	reasonMove         = "proposer did not finish the move"
)

type suspicion struct {
	reason      string
	since       time.Duration
	lastStatus  time.Duration // from the primary
	nextRequest time.Duration
	request     ConfirmationRequest
}

// failureReason returns why the group needs a new primary, or "".
func (m *Machine) failureReason() string {
	p, term := m.primary()
	if m.record.State == Fencing && m.record.Term == term && (p == nil || p.status.Term != term) {
		if m.now-m.recordSeenAt >= TakeoverDelay {
			return reasonTakeover
		}
		return ""
	}
	switch {
	case p == nil:
		return ""
	case p.dead:
		return reasonDead
	case m.now-p.lastStatus >= StatusTimeout:
		return reasonUnresponsive
	case m.isUnpromoted && m.now-max(m.unpromotedSince, m.recordSeenAt) >= TakeoverDelay:
		return reasonNotPromoted
	case m.HoldsWrites() && m.now-m.recordSeenAt >= MoveTakeoverDelay:
		return reasonMove
	}
	return ""
}

// trackUnpromoted records when the recorded primary was first seen reachable without
// the role: its proposer died before promoting it, or it restarted as a replica.
func (m *Machine) trackUnpromoted() {
	p, term := m.primary()
	is := p != nil && p.isReachable(m.now) && !isPromoted(p, term)
	if is && !m.isUnpromoted {
		m.unpromotedSince = m.now
	}
	m.isUnpromoted = is
}

// isPromoted reports whether the member's own status says that it is primary of the term.
func isPromoted(s *memberState, term ident.Term) bool {
	return s.known && s.status.Role == group.RolePrimary && !s.status.Fenced && s.status.Term == term
}

// maybeStartChange starts a change if one is needed and the delay of this VM's rank has
// passed.
func (m *Machine) maybeStartChange() {
	reason := m.failureReason()
	if reason == "" {
		m.suspect = suspicion{}
		m.maybeStartMove()
		return
	}
	m.moving = false
	m.suspectPrimary(reason)
	if m.now < m.suspect.since+time.Duration(m.rank())*RankDelay || !m.majorityReachable(m.now) {
		return
	}
	if reason == reasonTakeover || reason == reasonNotPromoted || reason == reasonMove {
		m.propose(reason)
		return
	}
	if !m.flapping(reason) {
		m.confirm()
	}
}

func (m *Machine) suspectPrimary(reason string) {
	p, term := m.primary()
	request := ConfirmationRequest{Group: m.group, Term: term}
	lastStatus := m.recordSeenAt
	if p != nil {
		request.Primary, lastStatus = p.Upstream, p.lastStatus
	}
	if m.suspect.reason == "" || m.suspect.request != request {
		m.suspect = suspicion{since: m.now, lastStatus: lastStatus, request: request}
		m.traceEvent("suspect", fmt.Sprintf("primary %s of term %d: %s", request.Primary, term, reason))
	}
	m.suspect.reason = reason
}

// flapping reports whether a change is suppressed because the last one was recent.
func (m *Machine) flapping(reason string) bool {
	if !m.seenUnplanned || m.now-m.lastUnplanned >= FlapWindow || reason == reasonDead {
		return false
	}
	return m.now-m.suspect.lastStatus < FlapStatusTimeout
}

// confirm requests confirmation from other VMs. If there are none, it proposes after
// SoleVMDelay.
func (m *Machine) confirm() {
	witnesses := m.witnesses()
	if len(witnesses) == 0 {
		if m.now >= m.suspect.since+SoleVMDelay {
			m.propose(m.suspect.reason)
		}
		return
	}
	if m.now < m.suspect.nextRequest {
		return
	}
	m.suspect.nextRequest = m.now + ConfirmationInterval
	m.random.Shuffle(len(witnesses), func(i, j int) { witnesses[i], witnesses[j] = witnesses[j], witnesses[i] })
	for _, w := range witnesses[:min(3, len(witnesses))] {
		m.emit(RequestConfirmation{To: w.Name, Request: m.suspect.request})
	}
}

// witnesses returns the VMs that may confirm: those of other zones, or those of
// this zone when there are none.
func (m *Machine) witnesses() []VM {
	var sameZone, otherZones []VM
	for _, vm := range m.vms {
		switch {
		case vm.Name == m.self.Name:
		case vm.Zone == m.self.Zone:
			sameZone = append(sameZone, vm)
		default:
			otherZones = append(otherZones, vm)
		}
	}
	if len(otherZones) > 0 {
		return otherZones
	}
	return sameZone
}

// ConfirmationRequest responds to another VM from this VM's own observations. A VM that
// reaches no other member has probably lost its own network and confirms nothing.
func (m *Machine) ConfirmationRequest(now time.Duration, from ident.VMName, q ConfirmationRequest) {
	m.now = now
	p, term := m.primary()
	failed := false
	if p != nil && term == q.Term && p.Upstream == q.Primary {
		failed = (p.hasRefused || now-p.lastStatus >= WitnessStatusTimeout) && m.reachesOtherMember(p)
	}
	m.emit(Respond{To: from, Response: ConfirmationResponse{Request: q, Failed: failed}})
	if m.record.Term > q.Term {
		m.emit(Announce{Version: m.version, Record: m.record})
	}
}

func (m *Machine) reachesOtherMember(p *memberState) bool {
	for i := range m.members {
		if s := &m.members[i]; s != p && s.isReachable(m.now) {
			return true
		}
	}
	return false
}

// ConfirmationResponse handles the response of a VM to a request of this one.
func (m *Machine) ConfirmationResponse(now time.Duration, from ident.VMName, a ConfirmationResponse) {
	m.now = now
	if m.attempt != nil || !a.Failed || m.suspect.reason == "" || a.Request != m.suspect.request {
		return
	}
	isWitness := func(vm VM) bool { return vm.Name == from }
	reason := m.failureReason()
	if reason == "" || !m.majorityReachable(now) || !slices.ContainsFunc(m.witnesses(), isWitness) {
		return
	}
	m.traceEvent("confirmed", string(from))
	m.propose(reason)
}

// rank returns this VM's position in the order of proposers. A VM that is not listed
// ranks last.
func (m *Machine) rank() int {
	var zone ident.AvailabilityZone
	if p, _ := m.primary(); p != nil {
		zone = p.Zone
	} else if p := m.member(m.record.Primary); p != nil {
		zone = p.Zone
	}
	rank, listed := 0, false
	for _, vm := range m.vms {
		listed = listed || vm.Name == m.self.Name
		if vm.Name != m.self.Name && m.ranksBefore(vm, m.self, zone) {
			rank++
		}
	}
	if !listed {
		return len(m.vms)
	}
	return rank
}

func (m *Machine) ranksBefore(a, b VM, zone ident.AvailabilityZone) bool {
	if (a.Zone == zone) != (b.Zone == zone) {
		return b.Zone == zone
	}
	if c := cmp.Compare(m.weight(a), m.weight(b)); c != 0 {
		return c > 0
	}
	return a.Name < b.Name
}

// weight is the rendezvous weight of a VM for this group.
func (m *Machine) weight(vm VM) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m.group))
	h.Write([]byte{0})
	h.Write([]byte(vm.Name))
	x := h.Sum64() // FNV's high bits mix poorly for short names
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}
