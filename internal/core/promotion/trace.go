package promotion

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// traceLength is the number of entries kept per group; a change makes about ten.
const traceLength = 40

// TraceEntry is one decision.
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

// Total is the gap from the old primary's last status to the promotion.
func (o Outcome) Total() time.Duration { return o.Detection + o.Recovery }

type trace struct {
	entries  []TraceEntry
	outcomes []Outcome // not yet taken
}

func (m *Machine) note(event, detail string) {
	term := m.highestTerm()
	if m.attempt != nil && m.attempt.term > 0 {
		term = m.attempt.term
	}
	m.trace.entries = append(m.trace.entries, TraceEntry{At: m.now, Term: term, Event: event, Detail: detail})
	if len(m.trace.entries) > traceLength {
		m.trace.entries = m.trace.entries[1:]
	}
}

// finish ends a successful attempt.
func (m *Machine) finish() {
	a := m.attempt
	m.note("serving", string(a.chosen))
	m.trace.outcomes = append(m.trace.outcomes, Outcome{
		Term: a.term, Primary: a.chosen, Planned: a.planned, Reason: a.why,
		Detection: a.detected - a.heard, Recovery: m.now - a.detected,
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

// Record returns the group's object as far as this VM knows.
func (m *Machine) Record() Record { return m.record }
