package promotion

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// maxTraceEntries is the number of entries kept per group; a change adds about ten.
const maxTraceEntries = 40

// TraceEntry is one decision of a machine.
type TraceEntry struct {
	At     time.Duration `json:"at_ns"`
	Term   ident.Term    `json:"term"`
	Event  string        `json:"event"`
	Detail string        `json:"detail,omitempty"`
}

// Outcome is a change of primary that this VM completed.
type Outcome struct {
	Term    ident.Term         `json:"term"`
	Primary ident.UpstreamName `json:"primary"`
	Planned bool               `json:"planned"`
	Reason  string             `json:"reason"`
	// Detection is the time from the old primary's last status to the decision.
	Detection time.Duration `json:"detection_ns"`
	// Recovery is the time from the decision to the new primary's promotion.
	Recovery time.Duration `json:"rest_ns"`
}

// Total is the time from the old primary's last status to the promotion.
func (o Outcome) Total() time.Duration { return o.Detection + o.Recovery }

type trace struct {
	entries  []TraceEntry
	outcomes []Outcome // not yet taken
}

func (m *Machine) traceEvent(event, detail string) {
	term := m.highestTerm()
	if m.attempt != nil && m.attempt.term > 0 {
		term = m.attempt.term
	}
	m.trace.entries = append(m.trace.entries, TraceEntry{At: m.now, Term: term, Event: event, Detail: detail})
	if len(m.trace.entries) > maxTraceEntries {
		m.trace.entries = m.trace.entries[1:]
	}
}

// completeAttempt ends a successful attempt.
func (m *Machine) completeAttempt() {
	a := m.attempt
	m.traceEvent("serving", string(a.candidate))
	m.trace.outcomes = append(m.trace.outcomes, Outcome{
		Term: a.term, Primary: a.candidate, Planned: a.planned, Reason: a.reason,
		Detection: a.decidedAt - a.lastStatus, Recovery: m.now - a.decidedAt,
	})
	m.attempt, m.suspect, m.moving = nil, suspicion{}, false
}

// Trace returns the latest decisions, oldest first.
func (m *Machine) Trace() []TraceEntry { return append([]TraceEntry(nil), m.trace.entries...) }

// TakeOutcomes returns the changes completed since the last call.
func (m *Machine) TakeOutcomes() []Outcome {
	done := m.trace.outcomes
	m.trace.outcomes = nil
	return done
}

// Record returns the newest record known to this VM.
func (m *Machine) Record() Record { return m.record }
