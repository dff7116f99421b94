// Package withdrawal decides how long an upstream may still be used after the operator or
// the upstream itself has withdrawn it: by the evacuation of its zone, or because it
// leaves.
//
// The bound counts from the time at which the store acknowledged the withdrawal, which a
// VM does not know. It may learn of the withdrawal much later. It does know the sending
// time of the latest read of the store that did not contain it. The acknowledgement is
// not earlier, so a deadline counted from that read keeps the bound. Without such a read
// the upstream is not used at all.
package withdrawal

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/instant"
)

// usablePercent is the percentage of the bound for which a withdrawn upstream may still be
// chosen. The rest covers the time between the choice and the arrival of the statement.
const usablePercent = 75

// Withdrawal is a withdrawal that is in force. Times are those since process start.
type Withdrawal struct {
	// LearnedAt is the time at which this VM learned of the withdrawal; it counts from then.
	LearnedAt time.Duration
	// UsableUntil is the end of the time in which the upstream may be used as a last resort.
	UsableUntil time.Duration
}

// New returns the withdrawal that a VM learned of at learnedAt. absentAt is the latest time
// at which the store is known not to have held it. bound is the time after its
// acknowledgement from which nothing may reach the upstream.
func New(learnedAt time.Duration, absentAt instant.Instant, bound time.Duration) Withdrawal {
	w := Withdrawal{LearnedAt: learnedAt, UsableUntil: learnedAt}
	if sinceAbsent, proved := absentAt.Age(learnedAt); proved {
		w.UsableUntil = learnedAt - max(0, sinceAbsent) + bound*usablePercent/100
	}
	return w
}

// NotBefore returns the withdrawal of an upstream that may register again until the given
// time. It counts as leaving, and remains usable, at least until then.
func (w Withdrawal) NotBefore(at time.Duration) Withdrawal {
	return Withdrawal{LearnedAt: max(w.LearnedAt, at), UsableUntil: max(w.UsableUntil, at)}
}

// Usable reports whether the upstream may be used as a last resort.
func (w Withdrawal) Usable(now time.Duration) bool { return now < w.UsableUntil }
