// Package clock gives the time that decisions are based on. A suspended VM may
// stop its monotonic clock, and an operator may set the wall clock back, so the
// time advances by the larger of both differences: a lease that ended by either
// has ended. Taking the larger of the two totals instead would make the clock
// stand still after the wall clock was set forward and back, and leases would
// outlive their term.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is the disagreement of the two clocks that is taken for slewing
// rather than for a suspension.
const tolerance = 10 * time.Millisecond

// Clock measures the time since it was created. It is safe for concurrent use, and
// readings take no lock unless the clocks have diverged.
type Clock struct {
	start  time.Time
	second func() time.Duration // the clock that counts suspensions, since the start
	skew   atomic.Int64         // last accepted difference of the second clock and monotonic time
	offset atomic.Int64         // time added for suspensions
	mu     sync.Mutex
}

// New returns a clock that starts at zero now and recognises suspensions by the
// time of day.
func New() *Clock {
	start := time.Now()
	return &Clock{start: start, second: func() time.Duration { return time.Now().Round(0).Sub(start.Round(0)) }}
}

// NewBootTime returns a clock that starts at zero now and recognises suspensions by
// CLOCK_BOOTTIME, which a step of the time of day does not move.
func NewBootTime() *Clock {
	boot := bootTime()
	return &Clock{start: time.Now(), second: func() time.Duration { return bootTime() - boot }}
}

// bootTime reads CLOCK_BOOTTIME. Linux has it since 2.6.39, so an error means that
// the process runs where no suspension is visible, and zero recognises none.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Now returns the time elapsed since the clock was created.
func (c *Clock) Now() time.Duration {
	return c.advance(time.Since(c.start), c.second())
}

func (c *Clock) advance(monotonic, second time.Duration) time.Duration {
	if d := second - monotonic - time.Duration(c.skew.Load()); d > tolerance || d < -tolerance {
		c.adjust(second - monotonic)
	}
	return monotonic + time.Duration(c.offset.Load())
}

func (c *Clock) adjust(skew time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := skew - time.Duration(c.skew.Load())
	if d > tolerance {
		c.offset.Add(int64(d))
	}
	c.skew.Store(int64(skew))
}

// Sleep waits for d; false when ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
