package promotion

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// considerMove starts a planned move when the primary is leaving or its zone is
// out of service, and a usable member can take over. A move that is recorded
// already belongs to its proposer until MoveDelay has passed.
func (m *Machine) considerMove() {
	p, term := m.primary()
	if p == nil || p.Usable || m.HoldsWrites() || !promoted(p, term) || !m.hasTarget(term) {
		m.moving = false
		return
	}
	if !m.moving {
		m.moving, m.moveSince = true, m.now
	}
	due := m.moveSince + time.Duration(m.rank())*RankDelay
	if m.now < max(due, m.moveAfter) || !m.reachable(m.now) {
		return
	}
	m.begin("planned move", true, m.now)
	m.putMove()
}

// putMove records the move, after a read when the object is not known.
func (m *Machine) putMove() {
	p, term := m.primary()
	if p == nil || p.Upstream != m.attempt.old || m.HoldsWrites() {
		m.abandon("primary changed or is already moving")
		return
	}
	m.attempt.term = term // the proposal raises it
	if !m.objectKnown {
		m.enter(phaseMove, PutTimeout)
		m.act(Get{})
		return
	}
	m.update(phaseMove, Record{Term: term, State: Moving, Primary: p.Upstream})
}

func (m *Machine) hasTarget(term ident.Term) bool {
	for i := range m.members {
		s := &m.members[i]
		if s.Usable && s.fresh(m.now) && s.status.Term == term && !s.status.Fenced {
			return true
		}
	}
	return false
}

// HandedOver reports the answer to Handover.
func (m *Machine) HandedOver(now time.Duration, call Handover, r Result) {
	m.now = now
	a := m.attempt
	if a == nil || a.phase != phaseHandover || call.Term != a.term || !r.OK {
		return
	}
	a.final = r.Status.Received
	m.enter(phaseCatchUp, RetryInterval)
	m.catchUp()
}

// retryHandover repeats an unanswered handover, and after HandoverTimeout goes on
// without: the fence then ends what still runs.
func (m *Machine) retryHandover() {
	a := m.attempt
	if m.now-a.since >= HandoverTimeout {
		m.putProposal()
		return
	}
	m.act(Handover{Upstream: a.old, Term: a.term})
}

// catchUp proposes once a target holds the final point. After CatchUpTimeout it
// proposes all the same, because the old primary takes no writes until a new term.
func (m *Machine) catchUp() bool {
	a := m.attempt
	ready := m.now-a.since >= CatchUpTimeout
	for i := range m.members {
		s := &m.members[i]
		ready = ready || s.Usable && s.known && s.status.Term == a.term && s.status.Received.AtLeast(a.final)
	}
	if ready {
		m.putProposal()
	}
	return ready
}
