// Package instant provides points in time that may be unknown.
//
// Times of a process are durations since its start, and zero is a valid one. An event that
// another VM reports with its age may have happened before the start, so its time may be
// negative. A plain duration therefore has no value left for an event that has not happened.
package instant

import (
	"math"
	"time"
)

// maxAge bounds the age of an event, so that differences of times do not overflow.
const maxAge = time.Duration(math.MaxInt64 / 4)

// Instant is a time on the clock of this process, or Never. The zero value is Never, which
// is before all times.
type Instant struct {
	sinceStart time.Duration
	known      bool
}

// Never is the time of an event that has not happened or is not known.
var Never Instant

// At returns the given time since the start of the process.
func At(sinceStart time.Duration) Instant { return Instant{sinceStart, true} }

// Reported returns a lower bound of the time of an event whose age another VM has given in
// its response to a request sent at sentAt. Dating the age from the sending instead of the
// arrival keeps a late response from making the event appear younger. A negative age counts
// as zero.
func Reported(sentAt, age time.Duration) Instant {
	return At(sentAt - min(max(age, 0), maxAge))
}

// Known reports whether the time is not Never.
func (i Instant) Known() bool { return i.known }

// After reports whether i is later than j.
func (i Instant) After(j Instant) bool {
	return i.known && (!j.known || i.sinceStart > j.sinceStart)
}

// Add returns the time d later; Never stays Never.
func (i Instant) Add(d time.Duration) Instant {
	if i.known {
		i.sinceStart += d
	}
	return i
}

// ReachedAt reports whether the time is known and not later than now, in time since the
// start of the process.
func (i Instant) ReachedAt(now time.Duration) bool { return i.known && i.sinceStart <= now }

// PendingAt reports whether the time is known and later than now, in time since the start
// of the process.
func (i Instant) PendingAt(now time.Duration) bool { return i.known && i.sinceStart > now }

// Age returns the time from i to now, in time since the start of the process. The result is
// false for Never.
func (i Instant) Age(now time.Duration) (time.Duration, bool) {
	if !i.known {
		return 0, false
	}
	return now - i.sinceStart, true
}

// Latest returns the later time.
func Latest(i, j Instant) Instant {
	if j.After(i) {
		return j
	}
	return i
}

// Earliest returns the earlier time, which is Never if either is.
func Earliest(i, j Instant) Instant {
	if j.After(i) {
		return i
	}
	return j
}
