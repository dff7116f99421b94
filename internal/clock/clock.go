// Package clock provides the time on which decisions such as lease expiry are based.
// Suspending a VM may stop its monotonic clock, and an operator may set the wall
// clock back, so this clock advances by the larger of the two increments: a lease
// that has expired by either clock has expired. Using the larger of the two totals
// instead would stop the clock after the wall clock was set forward and back again,
// and leases would outlive their term.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// slewTolerance is the largest change in the difference between the two clocks that
// is attributed to slewing rather than to a suspension or a clock step.
const slewTolerance = 10 * time.Millisecond

// Clock measures the time since it was created. It is safe for concurrent use.
// Reading it takes no lock unless the underlying clocks have diverged.
type Clock struct {
	start        time.Time
	suspendAware func() time.Duration // time since start, including suspensions
	skew         atomic.Int64         // last recorded difference between suspendAware and monotonic time
	offset       atomic.Int64         // time added for suspensions
	mu           sync.Mutex
}

// New returns a clock that starts at zero and detects suspensions by the wall clock.
func New() *Clock {
	start := time.Now()
	return &Clock{start: start, suspendAware: func() time.Duration { return time.Now().Round(0).Sub(start.Round(0)) }}
}

// NewBootTime returns a clock that starts at zero and detects suspensions by
// CLOCK_BOOTTIME, which is not affected by steps of the wall clock.
func NewBootTime() *Clock {
	boot := bootTime()
	return &Clock{start: time.Now(), suspendAware: func() time.Duration { return bootTime() - boot }}
}

// bootTime reads CLOCK_BOOTTIME, which Linux has supported since 2.6.39. An error
// means that suspensions are not visible in this environment; bootTime then returns
// zero, so that none is detected.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Now returns the time elapsed since the clock was created.
func (c *Clock) Now() time.Duration {
	return c.advance(time.Since(c.start), c.suspendAware())
}

func (c *Clock) advance(monotonic, suspendAware time.Duration) time.Duration {
	if d := suspendAware - monotonic - time.Duration(c.skew.Load()); d > slewTolerance || d < -slewTolerance {
		c.adjust(suspendAware - monotonic)
	}
	return monotonic + time.Duration(c.offset.Load())
}

func (c *Clock) adjust(skew time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := skew - time.Duration(c.skew.Load())
	if d > slewTolerance {
		c.offset.Add(int64(d))
	}
	c.skew.Store(int64(skew))
}

// Sleep waits for d. It reports false if ctx ended first.
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
