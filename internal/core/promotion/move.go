package promotion

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// maybeStartMove starts a planned move when the primary is leaving or its zone is
// out of service, and a usable member can take over. A recorded move is left to its
// proposer until MoveTakeoverDelay has passed.
func (m *Machine) maybeStartMove() {
	p, term := m.primary()
	if p == nil || p.Usable || m.HoldsWrites() || !isPromoted(p, term) || !m.hasTarget(term) {
		m.moving = false
		return
	}
	if !m.moving {
		m.moving, m.moveSince = true, m.now
	}
	due := m.moveSince + time.Duration(m.rank())*RankDelay
	if m.now < max(due, m.nextMove) || !m.majorityReachable(m.now) {
		return
	}
	m.beginAttempt("planned move", true, m.now)
	m.putMove()
}

// putMove records the move. It reads the object first if the object is not known.
func (m *Machine) putMove() {
	p, term := m.primary()
	if p == nil || p.Upstream != m.attempt.oldPrimary || m.HoldsWrites() {
		m.abandon("primary changed or is already moving")
		return
	}
	m.attempt.term = term // the proposal increments it
	if !m.objectKnown {
		m.enterPhase(phaseMove, PutTimeout)
		m.emit(Get{})
		return
	}
	m.putRecord(phaseMove, Record{Term: term, State: Moving, Primary: p.Upstream})
}

func (m *Machine) hasTarget(term ident.Term) bool {
	for i := range m.members {
		s := &m.members[i]
		if s.Usable && s.isReachable(m.now) && s.status.Term == term && !s.status.Fenced {
			return true
		}
	}
	return false
}

// HandedOver reports the response to Handover.
func (m *Machine) HandedOver(now time.Duration, call Handover, r Result) {
	m.now = now
	a := m.attempt
	if a == nil || a.phase != phaseHandover || call.Term != a.term || !r.OK {
		return
	}
	a.finalPoint = r.Status.Received
	m.enterPhase(phaseCatchUp, RetryInterval)
	m.proposeIfCaughtUp()
}

// retryHandover repeats a handover without a response. After HandoverTimeout it
// proposes the new term regardless; fencing then ends the transactions still running.
func (m *Machine) retryHandover() {
	a := m.attempt
	if m.now-a.phaseStart >= HandoverTimeout {
		m.putProposal()
		return
	}
	m.emit(Handover{Upstream: a.oldPrimary, Term: a.term})
}

// proposeIfCaughtUp proposes the new term once a target holds the final position.
// After CatchUpTimeout it proposes regardless, because the old primary accepts no
// writes until there is a new term.
func (m *Machine) proposeIfCaughtUp() bool {
	a := m.attempt
	ready := m.now-a.phaseStart >= CatchUpTimeout
	for i := range m.members {
		s := &m.members[i]
		ready = ready || s.Usable && s.known && s.status.Term == a.term && s.status.Received.AtLeast(a.finalPoint)
	}
	if ready {
		m.putProposal()
	}
	return ready
}
