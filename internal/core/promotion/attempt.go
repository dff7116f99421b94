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
	phase    phase
	planned  bool
	why      string
	old      ident.UpstreamName
	term     ident.Term
	proposer string
	since    time.Duration // start of the phase
	retryAt  time.Duration
	heard    time.Duration
	detected time.Duration

	put       *Record
	ifVersion objectapi.Version

	final    ident.LogPoint // end of the old primary's log after a handover
	fenced   map[ident.UpstreamName]group.Status
	majority time.Duration // when a majority was fenced
	chosen   ident.UpstreamName
}

func (m *Machine) begin(why string, planned bool, heard time.Duration) *attempt {
	m.sequence++
	a := &attempt{
		planned: planned, why: why, heard: heard, detected: m.now,
		proposer: fmt.Sprintf("%s/%d", m.life, m.sequence), fenced: map[ident.UpstreamName]group.Status{},
	}
	if p, _ := m.primary(); p != nil {
		a.old = p.Upstream
	} else {
		a.old = m.record.Primary
	}
	m.attempt = a
	return a
}

func (m *Machine) enter(p phase, retryAfter time.Duration) {
	m.attempt.phase, m.attempt.since, m.attempt.retryAt = p, m.now, m.now+retryAfter
	m.note(string(p), "")
}

func (m *Machine) abandon(why string) {
	m.note("abandon", why)
	m.attempt, m.suspect, m.moving = nil, suspicion{}, false
	m.moveAfter = m.now + MoveRetryDelay
}

// propose starts an unplanned change.
func (m *Machine) propose(why string) {
	m.begin(why, why == reasonMove, m.suspect.heard)
	m.putProposal()
}

// putProposal records the next term, after a read when the object is not known.
func (m *Machine) putProposal() {
	a := m.attempt
	if !m.objectKnown {
		m.enter(phasePropose, PutTimeout)
		m.act(Get{})
		return
	}
	a.term = m.highestTerm() + 1
	m.update(phasePropose, Record{Term: a.term, State: Fencing, Primary: a.old})
}

func (m *Machine) update(p phase, record Record) {
	a := m.attempt
	m.sequence++
	record.Proposer, record.Planned, record.Reason = a.proposer, a.planned, a.why
	record.Writer = fmt.Sprintf("%s/%d", m.life, m.sequence)
	a.put, a.ifVersion = &record, m.version
	m.enter(p, PutTimeout)
	m.act(Put{Record: record, IfVersion: a.ifVersion})
}

// PutDone reports the outcome of an update; for PutConflict version and record are
// the current object.
func (m *Machine) PutDone(now time.Duration, writer string, outcome PutOutcome, version objectapi.Version, record Record) {
	m.now = now
	a := m.attempt
	if outcome != PutUnknown {
		m.Object(now, version, record)
	}
	if a == nil || m.attempt != a || a.put == nil || a.put.Writer != writer {
		return
	}
	if outcome == PutConflict { // Object accepted or abandoned unless the version was known already
		m.objectKnown = false
		m.abandon("update conflicted")
		return
	}
	a.retryAt = now + RetryInterval
	m.act(Get{})
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
	case a.phase == phaseMove && a.put == nil:
		m.putMove()
	case a.phase == phasePropose && a.put == nil:
		m.putProposal()
	case a.put != nil && version == a.ifVersion:
		m.repeatPut()
	}
}

// repeatPut repeats an update that did not take effect, unless it is needless.
func (m *Machine) repeatPut() {
	a := m.attempt
	if a.phase == phasePropose && !a.planned && m.problem() == "" {
		m.abandon("primary is back")
		return
	}
	a.retryAt = m.now + PutTimeout
	m.act(Put{Record: *a.put, IfVersion: a.ifVersion})
}

// accepted continues after the pending update took effect.
func (m *Machine) accepted() {
	a := m.attempt
	a.put = nil
	m.act(Announce{Version: m.version, Record: m.record})
	switch a.phase {
	case phaseMove:
		m.enter(phaseHold, HoldLeadTime)
	case phasePropose:
		m.enter(phaseFence, RetryInterval)
		m.fenceRest()
	case phaseRecord:
		m.enter(phasePromote, RetryInterval)
		m.act(Promote{Upstream: a.chosen, Term: a.term, Proposer: a.proposer})
	}
}

// advance repeats unanswered steps of the attempt and ends it when it is stuck.
func (m *Machine) advance() {
	a := m.attempt
	if a.put == nil && len(a.fenced) > 0 && m.highestTerm() > a.term {
		m.objectKnown = false
		m.abandon("a member is at a higher term")
		return
	}
	if a.phase == phaseFence {
		m.choose()
	}
	if m.attempt != a || a.phase == phaseCatchUp && m.catchUp() || m.now < a.retryAt {
		return
	}
	a.retryAt = m.now + RetryInterval
	switch a.phase {
	case phaseHold:
		m.enter(phaseHandover, RetryInterval)
		m.act(Handover{Upstream: a.old, Term: a.term})
	case phaseHandover:
		m.retryHandover()
	case phaseMove, phasePropose, phaseRecord:
		m.act(Get{})
	case phaseFence:
		m.fenceRest()
		if m.now-a.since >= TakeoverDelay { // refusals may come from a higher term
			m.act(Get{})
		}
	case phasePromote:
		if m.now-a.since >= TakeoverDelay {
			m.abandon("promotion not answered")
			return
		}
		m.act(Promote{Upstream: a.chosen, Term: a.term, Proposer: a.proposer})
	}
}

// superseded reports whether a member has accepted a higher term.
func (m *Machine) superseded(r Result) bool {
	if r.OK && r.Status.Term > m.attempt.term {
		m.abandon(fmt.Sprintf("%s is at term %d", r.Status.Upstream, r.Status.Term))
		return true
	}
	return false
}

// Promoted reports the answer to Promote.
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
	m.finish()
	m.Status(now, r.Status)
	m.followRest()
}
