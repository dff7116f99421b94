// Package clock gives the time that decisions are based on. A suspended VM may
// stop its monotonic clock, and an operator may set the wall clock back, so
// elapsed time is the larger of the two: a lease that ended by either has ended.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock measures the time since it was created. It is safe for concurrent use.
type Clock struct {
	start time.Time
	wall  time.Time
	last  atomic.Int64 // nanoseconds; keeps Now from going back
}

// New returns a clock that starts now.
func New() *Clock {
	now := time.Now()
	return &Clock{start: now, wall: now.Round(0)}
}

// Now returns the elapsed time, which never decreases.
func (c *Clock) Now() time.Duration {
	now := time.Now()
	return c.advance(now.Sub(c.start), now.Round(0).Sub(c.wall))
}

func (c *Clock) advance(monotonic, wall time.Duration) time.Duration {
	elapsed := int64(max(monotonic, wall))
	for {
		last := c.last.Load()
		if elapsed <= last {
			return time.Duration(last)
		}
		if c.last.CompareAndSwap(last, elapsed) {
			return time.Duration(elapsed)
		}
	}
}
