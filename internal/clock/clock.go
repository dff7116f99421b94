// Package clock gives the time that decisions are based on. A suspended VM may
// stop its monotonic clock, and an operator may set the wall clock back, so the
// time advances by the larger of both differences: a lease that ended by either
// has ended. Taking the larger of the two totals instead would make the clock
// stand still after the wall clock was set forward and back, and leases would
// outlive their term.
package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// tolerance is the disagreement of the two clocks that is taken for slewing
// rather than for a suspension.
const tolerance = 10 * time.Millisecond

// Clock measures the time since it was created. It is safe for concurrent use, and
// readings take no lock unless the clocks have diverged.
type Clock struct {
	start  time.Time
	skew   atomic.Int64 // last accepted difference of wall and monotonic time
	offset atomic.Int64 // time added for suspensions
	mu     sync.Mutex
}

// New returns a clock that starts at zero now.
func New() *Clock { return &Clock{start: time.Now()} }

// Now returns the time elapsed since New.
func (c *Clock) Now() time.Duration {
	now := time.Now()
	return c.advance(now.Sub(c.start), now.Round(0).Sub(c.start.Round(0)))
}

func (c *Clock) advance(monotonic, wall time.Duration) time.Duration {
	if d := wall - monotonic - time.Duration(c.skew.Load()); d > tolerance || d < -tolerance {
		c.adjust(wall - monotonic)
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
