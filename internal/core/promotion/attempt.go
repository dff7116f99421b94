package promotion

import (
	"fmt"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

type phase string

const (
	phaseMove     phase = "move"
	phaseHold     phase = "hold"
	phaseHandover phase = "handover"
	phaseCatchUp  phase = "catch up"
	phasePropose  phase = "propose"
	phaseFence    phase = "fence"
	phaseRecord   phase = "record"
	phasePromote  phase = "promote"
)

// attempt is a change of primary that this VM carries out.
type attempt struct {
	phase      phase
	planned    bool
	reason     string
	oldPrimary ident.UpstreamName
	term       ident.Term
	proposer   string
	phaseStart time.Duration
	retryAt    time.Duration
	lastStatus time.Duration
	decidedAt  time.Duration

	pendingPut *Record
	ifVersion  objectapi.Version

	finalPoint ident.LogPoint // end of the old primary's log after a handover
	fenced     map[ident.UpstreamName]group.Status
	majorityAt time.Duration // when a majority had been fenced
	candidate  ident.UpstreamName
}

func (m *Machine) beginAttempt(reason string, planned bool, lastStatus time.Duration) *attempt {
	m.sequence++
	a := &attempt{
		planned: planned, reason: reason, lastStatus: lastStatus, decidedAt: m.now,
		proposer: fmt.Sprintf("%s/%d", m.incarnation, m.sequence), fenced: map[ident.UpstreamName]group.Status{},
	}
	if p, _ := m.primary(); p != nil {
		a.oldPrimary = p.Upstream
	} else {
		a.oldPrimary = m.record.Primary
	}
	m.attempt = a
	return a
}

func (m *Machine) enterPhase(p phase, retryAfter time.Duration) {
	m.attempt.phase, m.attempt.phaseStart, m.attempt.retryAt = p, m.now, m.now+retryAfter
	m.traceEvent(string(p), "")
}

func (m *Machine) abandon(reason string) {
	m.traceEvent("abandon", reason)
	m.attempt, m.suspect, m.moving = nil, suspicion{}, false
	m.nextMove = m.now + MoveRetryDelay
}

// propose starts an unplanned change.
func (m *Machine) propose(reason string) {
	m.beginAttempt(reason, reason == reasonMove, m.suspect.lastStatus)
	m.putProposal()
}

// putProposal writes the proposal of the next term. It reads the object first if
// the object is not known.
func (m *Machine) putProposal() {
	a := m.attempt
	if !m.objectKnown {
		m.enterPhase(phasePropose, PutTimeout)
		m.emit(Get{})
		return
	}
	a.term = m.highestTerm() + 1
	m.putRecord(phasePropose, Record{Term: a.term, State: Fencing, Primary: a.oldPrimary})
}

func (m *Machine) putRecord(p phase, record Record) {
	a := m.attempt
	m.sequence++
	record.Proposer, record.Planned, record.Reason = a.proposer, a.planned, a.reason
	record.Writer = fmt.Sprintf("%s/%d", m.incarnation, m.sequence)
	a.pendingPut, a.ifVersion = &record, m.version
	m.enterPhase(p, PutTimeout)
	m.emit(Put{Record: record, IfVersion: a.ifVersion})
}

// PutDone reports the outcome of an update; for PutConflict version and record are
// the current object.
func (m *Machine) PutDone(now time.Duration, writer string, outcome PutOutcome, version objectapi.Version, record Record) {
	m.now = now
	a := m.attempt
	if outcome != PutUnknown {
		m.Object(now, version, record)
	}
	if a == nil || m.attempt != a || a.pendingPut == nil || a.pendingPut.Writer != writer {
		return
	}
	if outcome == PutConflict { // Object has ended the attempt unless the version was already known
		m.objectKnown = false
		m.abandon("update conflict")
		return
	}
	a.retryAt = now + RetryInterval
	m.emit(Get{})
}

// GetDone reports the object as read; version 0 means that it does not exist.
func (m *Machine) GetDone(now time.Duration, ok bool, version objectapi.Version, record Record) {
	m.now = now
	if !ok {
		return
	}
	a := m.attempt
	m.Object(now, version, record)
	m.objectKnown = true
	switch {
	case a == nil || m.attempt != a:
	case a.phase == phaseMove && a.pendingPut == nil:
		m.putMove()
	case a.phase == phasePropose && a.pendingPut == nil:
		m.putProposal()
	case a.pendingPut != nil && version == a.ifVersion:
		m.retryPut()
	}
}

// retryPut retries an update that did not take effect, unless the primary has recovered.
func (m *Machine) retryPut() {
	a := m.attempt
	if a.phase == phasePropose && !a.planned && m.failureReason() == "" {
		m.abandon("primary recovered")
		return
	}
	a.retryAt = m.now + PutTimeout
	m.emit(Put{Record: *a.pendingPut, IfVersion: a.ifVersion})
}

// putAccepted starts the next phase after the pending update took effect.
func (m *Machine) putAccepted() {
	a := m.attempt
	a.pendingPut = nil
	m.emit(Announce{Version: m.version, Record: m.record})
	switch a.phase {
	case phaseMove:
		m.enterPhase(phaseHold, HoldLeadTime)
	case phasePropose:
		m.enterPhase(phaseFence, RetryInterval)
		m.fenceMembers()
	case phaseRecord:
		m.enterPhase(phasePromote, RetryInterval)
		m.emit(Promote{Upstream: a.candidate, Term: a.term, Proposer: a.proposer})
	}
}

// advanceAttempt retries steps without a response and abandons the attempt if it makes no
// progress.
func (m *Machine) advanceAttempt() {
	a := m.attempt
	if a.pendingPut == nil && len(a.fenced) > 0 && m.highestTerm() > a.term {
		m.objectKnown = false
		m.abandon("a member is at a higher term")
		return
	}
	if a.phase == phaseFence {
		m.chooseCandidate()
	}
	if m.attempt != a || a.phase == phaseCatchUp && m.proposeIfCaughtUp() || m.now < a.retryAt {
		return
	}
	a.retryAt = m.now + RetryInterval
	switch a.phase {
	case phaseHold:
		m.enterPhase(phaseHandover, RetryInterval)
		m.emit(Handover{Upstream: a.oldPrimary, Term: a.term})
	case phaseHandover:
		m.retryHandover()
	case phaseMove, phasePropose, phaseRecord:
		m.emit(Get{})
	case phaseFence:
		m.fenceMembers()
		if m.now-a.phaseStart >= TakeoverDelay { // refusals may come from a higher term
			m.emit(Get{})
		}
	case phasePromote:
		if m.now-a.phaseStart >= TakeoverDelay {
			m.abandon("no response to promotion")
			return
		}
		m.emit(Promote{Upstream: a.candidate, Term: a.term, Proposer: a.proposer})
	}
}

// superseded abandons the attempt if a member has accepted a higher term, and reports
// whether it did.
func (m *Machine) superseded(r Result) bool {
	if r.OK && r.Status.Term > m.attempt.term {
		m.abandon(fmt.Sprintf("%s is at term %d", r.Status.Upstream, r.Status.Term))
		return true
	}
	return false
}

// Promoted reports the response to Promote.
func (m *Machine) Promoted(now time.Duration, call Promote, r Result) {
	m.now = now
	a := m.attempt
	if a == nil || a.phase != phasePromote || call.Proposer != a.proposer || m.superseded(r) {
		return
	}
	if !r.OK || r.Status.Role != group.RolePrimary || r.Status.Term != a.term {
		return
	}
	m.promotedTerm = a.term
	m.completeAttempt()
	m.Status(now, r.Status)
	m.reattachMembers()
}
