package upstream

import (
	"database/sql/driver"
	"sort"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// loggedStatement is one statement of a committed transaction.
type loggedStatement struct {
	sql       string // in SQLite's dialect
	arguments []driver.NamedValue
	marker    string
	schema    bool
}

// entry is one committed write transaction, or the first entry of a term, which
// has no statements.
type entry struct {
	point       ident.LogPoint
	transaction string
	statements  []loggedStatement
	// committed is the time of the commit on the primary.
	committed time.Time
	// received is the time at which this member took the entry.
	received time.Time
}

func (e *entry) changesSchema() bool {
	for _, statement := range e.statements {
		if statement.schema {
			return true
		}
	}
	return false
}

// entryLog is the log of one member; positions start at 1.
type entryLog struct {
	entries []entry
	// positions finds committed transactions by identifier.
	positions map[string]ident.Position
}

func newEntryLog() *entryLog { return &entryLog{positions: map[string]ident.Position{}} }

func (l *entryLog) last() ident.LogPoint {
	if len(l.entries) == 0 {
		return ident.LogPoint{}
	}
	return l.entries[len(l.entries)-1].point
}

func (l *entryLog) append(e entry) {
	l.entries = append(l.entries, e)
	if e.transaction != "" {
		l.positions[e.transaction] = e.point.Position
	}
}

// after returns the entries above a position that were committed by a time.
func (l *entryLog) after(position ident.Position, by time.Time) []entry {
	if int(position) >= len(l.entries) {
		return nil
	}
	tail := l.entries[position:]
	n := sort.Search(len(tail), func(i int) bool { return tail[i].committed.After(by) })
	return tail[:n:n]
}

// truncate drops the entries above a position.
func (l *entryLog) truncate(position ident.Position) {
	for _, dropped := range l.entries[position:] {
		delete(l.positions, dropped.transaction)
	}
	l.entries = append([]entry(nil), l.entries[:position]...)
}

// divergence returns the last position up to which l agrees with other. Logs
// agree up to a position when the points there are equal.
func (l *entryLog) divergence(other *entryLog) ident.Position {
	common := min(len(l.entries), len(other.entries))
	if common == 0 || l.entries[common-1].point == other.entries[common-1].point {
		return ident.Position(common)
	}
	n := sort.Search(common, func(i int) bool { return l.entries[i].point != other.entries[i].point })
	return ident.Position(n)
}
