package promotion

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// fenceRest fences the members that have not answered.
func (m *Machine) fenceRest() {
	a := m.attempt
	for i := range m.members {
		if _, done := a.fenced[m.members[i].Upstream]; !done {
			m.act(Fence{Upstream: m.members[i].Upstream, Term: a.term, Proposer: a.proposer})
		}
	}
}

// Fenced reports the answer to Fence.
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
		a.majority = now
	}
	m.choose()
}

// choose records the most advanced fenced member once a majority is fenced.
func (m *Machine) choose() {
	a := m.attempt
	if len(a.fenced) < m.rules.majority(len(m.members)) || m.awaitsMember() {
		return
	}
	var best *memberState
	for i := range m.members {
		s := &m.members[i]
		if _, ok := a.fenced[s.Upstream]; ok && (best == nil || m.preferred(s, best)) {
			best = s
		}
	}
	a.chosen = best.Upstream
	m.update(phaseRecord, Record{Term: a.term, State: Serving, Primary: a.chosen})
}

// awaitsMember reports whether a reachable member may still answer in time to take
// part in the choice between equal members. A planned move waits for its target.
func (m *Machine) awaitsMember() bool {
	a := m.attempt
	grace := FenceGrace
	if a.planned {
		grace = 10 * FenceGrace
	}
	if m.now-a.majority >= grace {
		return false
	}
	for i := range m.members {
		if _, done := a.fenced[m.members[i].Upstream]; !done && m.members[i].fresh(m.now) {
			return true
		}
	}
	return false
}

// preferred orders fenced members: the most advanced log, then usable members,
// then the region of the old primary, where most of its callers are.
func (m *Machine) preferred(s, best *memberState) bool {
	a := m.attempt
	if c := m.rules.better(a.fenced[s.Upstream].Received, a.fenced[best.Upstream].Received); c != 0 {
		return c > 0
	}
	if s.Usable != best.Usable {
		return s.Usable
	}
	old := m.member(a.old)
	return old != nil && s.Region == old.Region && best.Region != old.Region
}

// followRest tells members that stray to follow the primary. The proposer of the
// term does so at once; other VMs stand in by rank.
func (m *Machine) followRest() {
	p, term := m.primary()
	if p == nil || !promoted(p, term) && m.promotedTerm != term {
		return
	}
	for i := range m.members {
		s := &m.members[i]
		if s == p || !strays(s, p.Upstream, term) {
			s.straying = false
			continue
		}
		if !s.straying {
			s.straying, s.strayed, s.followed = true, m.now, m.now-FollowInterval
		}
		if m.now-s.followed >= FollowInterval && m.now-s.strayed >= m.followDelay(term) {
			s.followed = m.now
			m.act(Follow{Upstream: s.Upstream, Term: term, Primary: p.Upstream})
		}
	}
}

// followDelay is the time after which this VM calls a member that strays. It ranks
// all VMs, so it is not computed for a group whose members all follow.
func (m *Machine) followDelay(term ident.Term) time.Duration {
	if m.promotedTerm == term {
		return 0
	}
	return time.Duration(m.rank()+1) * RankDelay
}

func strays(s *memberState, primary ident.UpstreamName, term ident.Term) bool {
	if !s.known || s.status.Term > term {
		return false
	}
	return s.status.Term < term || s.status.Fenced || s.status.Primary != primary
}
