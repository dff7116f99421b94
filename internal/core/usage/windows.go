package usage

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// Windows divides true time into windows. Window k begins k x Length after the start of 1970.
type Windows struct {
	Length time.Duration
	// Late is the time after the end of a window by which its report is due.
	Late time.Duration
}

// At returns the window of a time since the start of 1970.
func (w Windows) At(unix time.Duration) int64 { return int64(unix / w.Length) }

// End returns the end of a window.
func (w Windows) End(window int64) time.Duration { return time.Duration(window+1) * w.Length }

// Due returns the time at which the report of a window is due.
func (w Windows) Due(window int64) time.Duration { return w.End(window) + w.Late }

const (
	// finalDelay is the time after the end of a window at which a source sends its final
	// snapshot.
	finalDelay = time.Second
	// finalWaitNumerator and finalWaitDenominator give the part of Late for which a source
	// waits with it while a statement that was sent in the window has no result. It is less
	// than the time until the window is closed without the snapshot, see closeDivisor.
	finalWaitNumerator, finalWaitDenominator = 2, 5
)

// FinalThrough returns the newest window to which a source adds nothing any more at a time.
// oldestRunning is when the oldest statement without a result was sent, if there is one.
func (w Windows) FinalThrough(unix, oldestRunning time.Duration, running bool) int64 {
	final := w.At(unix-finalDelay) - 1
	if !running {
		return final
	}
	wait := w.Late * finalWaitNumerator / finalWaitDenominator
	return min(final, max(w.At(oldestRunning), w.At(unix-wait))-1)
}

// Unit is what the platform counts.
type Unit uint8

const (
	// Statements counts each statement that an upstream began to run.
	Statements Unit = iota + 1
	// Operations counts each single statement, and of a transaction the first statement.
	Operations
)

// CountedUnit is the unit of the reports. The platform's pages leave open which one it
// checks, so it stays a constant until a measurement settles it.
const CountedUnit = Statements

// Statement is what is known of a statement that was sent to an upstream.
type Statement struct {
	// OfClient is set if the statement has the identifier of a client. Commands that the
	// proxy itself issues have none.
	OfClient bool
	// FirstOfOperation is set for a single statement and for the first one of a transaction.
	FirstOfOperation bool
	// Answered is set if the upstream replied, with Code.
	Answered bool
	Code     statement.Code
}

// Counts reports whether a statement counts: an upstream began or may have begun to run it.
// A retry after an attempt that ran counts again.
func (u Unit) Counts(s Statement) bool {
	if !s.OfClient || s.Answered && s.Code.NotRun() {
		return false
	}
	return u == Statements || s.FirstOfOperation
}

// BeganAt estimates when an upstream began to run a statement: half of a round trip after it
// was sent, and not later than the response less half of a round trip and the time that the
// statement ran, as far as it is known. Time spent in the upstream's queue is not known, so
// the estimate is early by it; in steady load as many statements leave a window by it as
// enter it.
func BeganAt(sentAt, answeredAt, halfRoundTrip, ran time.Duration) time.Duration {
	return max(sentAt, min(sentAt+halfRoundTrip, answeredAt-halfRoundTrip-ran))
}

// RoundTrips holds the shortest round trip to each upstream in the current and the former
// period. A path that becomes longer is noticed after two periods.
type RoundTrips struct {
	period          int64
	current, former map[string]time.Duration
}

// Observe records a round trip to the upstream at an address.
func (r *RoundTrips) Observe(period int64, address string, roundTrip time.Duration) {
	if r.current == nil || period != r.period {
		r.former, r.current, r.period = r.current, map[string]time.Duration{}, period
	}
	if known, ok := r.current[address]; !ok || roundTrip < known {
		r.current[address] = roundTrip
	}
}

// maxRoundTrip limits the estimate of a round trip, which also holds the time that the
// shortest statement ran. A round trip between regions takes less.
const maxRoundTrip = 50 * time.Millisecond

// Half returns the estimated half of a round trip to the upstream at an address; zero if none
// is known.
func (r *RoundTrips) Half(address string) time.Duration {
	shortest := maxRoundTrip
	current, ok := r.current[address]
	if ok {
		shortest = min(shortest, current)
	}
	former, known := r.former[address]
	if known {
		shortest = min(shortest, former)
	}
	if !ok && !known {
		return 0
	}
	return shortest / 2
}

// Targets returns the number of hubs, in the order of their ranks, to which a source sends
// its totals: the first one, and the next ones while the first does not record the oldest
// window of the source. They act as the reporter then, see maxActiveRank.
func (w Windows) Targets(unix time.Duration, oldest int64, counts bool) int {
	if !counts || unix < w.End(oldest)+w.Late/closeDivisor {
		return 1
	}
	return 1 + maxActiveRank
}

// pollDelay is the time after the end of a window at which a source asks whether its counts
// are recorded, unless it learns that with the counts of the next window.
const pollDelay = 2500 * time.Millisecond

// Polls reports whether a source sends a message although nothing has changed.
func (w Windows) Polls(unix time.Duration, oldest int64, counts bool) bool {
	return counts && unix >= w.End(oldest)+pollDelay
}
