package usage

import (
	"maps"
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Totals holds the number of requests of each organisation in one window.
type Totals map[ident.OrganisationName]uint64

// Sum returns the sum over all organisations.
func (t Totals) Sum() uint64 {
	sum := uint64(0)
	for _, n := range t {
		sum += n
	}
	return sum
}

// retainedWindows is the number of windows that a source or a collector keeps. At 5 s each
// they cover a partition of five minutes; with 82 organisations they take some 300 KB.
const retainedWindows = 60

// Counter counts the requests that one VM executes. The totals of a window only grow.
type Counter struct {
	windows map[int64]Totals
	// settled is the newest window whose counts cannot change any more.
	settled       int64
	counted, lost uint64
}

// NewCounter returns a Counter without counts.
func NewCounter() *Counter { return &Counter{windows: map[int64]Totals{}} }

// Add counts a request in a window. A request of a settled window is lost.
func (c *Counter) Add(window int64, organisation ident.OrganisationName) {
	c.counted++
	if window <= c.settled {
		c.lost++
		return
	}
	totals, ok := c.windows[window]
	if !ok {
		totals = Totals{}
		c.windows[window] = totals
		c.prune(window - retainedWindows)
	}
	totals[organisation]++
}

// prune drops the windows up to and including one. Their counts are lost.
func (c *Counter) prune(through int64) {
	for window, totals := range c.windows {
		if window <= through {
			c.lost += totals.Sum()
			delete(c.windows, window)
		}
	}
}

// settle drops the windows up to and including one, whose counts are recorded or can no
// longer be reported. What of them is not in included is lost.
func (c *Counter) settle(through int64, included map[int64]Totals) {
	for window, totals := range c.windows {
		if window > through {
			continue
		}
		for organisation, n := range totals {
			c.lost += n - min(n, included[window][organisation])
		}
		delete(c.windows, window)
	}
	c.settled = max(c.settled, through)
}

// Oldest returns the oldest window that has counts and is not settled.
func (c *Counter) Oldest() (int64, bool) {
	if len(c.windows) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(c.windows))), true
}

// Stats are the numbers of requests that were counted, that are not settled yet, and that
// are not part of any report.
type Stats struct{ Counted, Outstanding, Lost uint64 }

// Stats returns the numbers since the start.
func (c *Counter) Stats() Stats {
	s := Stats{Counted: c.counted, Lost: c.lost}
	for _, totals := range c.windows {
		s.Outstanding += totals.Sum()
	}
	return s
}
