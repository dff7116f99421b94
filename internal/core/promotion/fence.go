package promotion

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// fenceMembers fences the members that have not responded.
func (m *Machine) fenceMembers() {
	a := m.attempt
	for i := range m.members {
		if _, done := a.fenced[m.members[i].Upstream]; !done {
			m.emit(Fence{Upstream: m.members[i].Upstream, Term: a.term, Proposer: a.proposer})
		}
	}
}

// Fenced reports the response to Fence.
func (m *Machine) Fenced(now time.Duration, call Fence, r Result) {
	m.now = now
	a := m.attempt
	if a == nil || a.phase != phaseFence || call.Proposer != a.proposer || m.superseded(r) {
		return
	}
	if !r.OK || !r.Status.Fenced || r.Status.Term != a.term || m.member(call.Upstream) == nil {
		return
	}
	a.fenced[call.Upstream] = r.Status
	if len(a.fenced) == m.rules.majority(len(m.members)) {
		a.majorityAt = now
	}
	m.chooseCandidate()
}

// chooseCandidate records the fenced member with the most advanced log as primary once a
// majority is fenced.
func (m *Machine) chooseCandidate() {
	a := m.attempt
	if len(a.fenced) < m.rules.majority(len(m.members)) || m.awaitsMember() {
		return
	}
	var best *memberState
	for i := range m.members {
		s := &m.members[i]
		if _, ok := a.fenced[s.Upstream]; ok && (best == nil || m.isPreferred(s, best)) {
			best = s
		}
	}
	a.candidate = best.Upstream
	m.putRecord(phaseRecord, Record{Term: a.term, State: Serving, Primary: a.candidate})
}

// awaitsMember reports whether to wait for the response of a reachable member, which
// may be preferred among equally advanced members. A planned move waits longer, so
// that its target can be chosen.
func (m *Machine) awaitsMember() bool {
	a := m.attempt
	grace := FenceGrace
	if a.planned {
		grace = 10 * FenceGrace
	}
	if m.now-a.majorityAt >= grace {
		return false
	}
	for i := range m.members {
		if _, done := a.fenced[m.members[i].Upstream]; !done && m.members[i].isReachable(m.now) {
			return true
		}
	}
	return false
}

// isPreferred orders fenced members by log position, then usability, then location in
// the region of the old primary, where most of its clients are.
func (m *Machine) isPreferred(s, best *memberState) bool {
	a := m.attempt
	if c := m.rules.compareLogs(a.fenced[s.Upstream].Received, a.fenced[best.Upstream].Received); c != 0 {
		return c > 0
	}
	if s.Usable != best.Usable {
		return s.Usable
	}
	old := m.member(a.oldPrimary)
	return old != nil && s.Region == old.Region && best.Region != old.Region
}

// reattachMembers commands detached members to follow the primary. The proposer of the
// term does so at once, other VMs after a delay that grows with their rank.
func (m *Machine) reattachMembers() {
	p, term := m.primary()
	if p == nil || !isPromoted(p, term) && m.promotedTerm != term {
		return
	}
	for i := range m.members {
		s := &m.members[i]
		if s == p || !isDetached(s, p.Upstream, term) {
			s.detached = false
			continue
		}
		if !s.detached {
			s.detached, s.detachedAt, s.lastFollow = true, m.now, m.now-FollowInterval
		}
		if m.now-s.lastFollow >= FollowInterval && m.now-s.detachedAt >= m.followDelay(term) {
			s.lastFollow = m.now
			m.emit(Follow{Upstream: s.Upstream, Term: term, Primary: p.Upstream})
		}
	}
}

// followDelay is the time for which a member must be detached before this VM commands
// it to follow. It ranks all VMs, so it is computed only for detached members.
func (m *Machine) followDelay(term ident.Term) time.Duration {
	if m.promotedTerm == term {
		return 0
	}
	return time.Duration(m.rank()+1) * RankDelay
}

func isDetached(s *memberState, primary ident.UpstreamName, term ident.Term) bool {
	if !s.known || s.status.Term > term {
		return false
	}
	return s.status.Term < term || s.status.Fenced || s.status.Primary != primary
}
