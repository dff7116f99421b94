package queue

import "time"

const (
	// queueingRatio is the ratio of the recent to the shortest service time above which the
	// upstream is taken to queue. At 1.5 a statement waits for half of its service time,
	// which about two statements above the slots cause.
	queueingRatio = 1.5
	// maxRatio limits the effect of a single slow statement on the average: several of them
	// show a queue, one does not.
	maxRatio = 2 * queueingRatio
	// windowStep is the change of a window with each statement. A window of 2 reaches 6 in
	// eight statements, about 50 ms at 6 ms each.
	windowStep = 0.5
	// recentWeight and baselineWeight are the weights of a new service time in the moving
	// averages. The shortest average is a baseline only if it covers many statements.
	recentWeight, baselineWeight = 1.0 / 8, 1.0 / 32
	// minBaselineSamples is the number of statements after which their average is a baseline.
	minBaselineSamples = 16
	// baselinePeriod is half of the longest age of a baseline. An upstream that is slower for
	// longer gets a new one; until then each VM keeps to its share.
	baselinePeriod = 30 * time.Second
)

// Window bounds the statements that a VM has in flight at an upstream that others use too.
// A VM may always have its share. It may have more, up to the slots of the upstream and a
// margin, while the upstream answers without queueing, so that no slot is idle because the
// VM that it falls to has nothing to run. It is not safe for concurrent use.
type Window struct {
	size   float64
	recent float64 // moving average of the ratio of service times to their baselines
	kinds  [2 * (MaxPriority + 1)]serviceTime
}

// serviceTime holds the service times of statements of a kind, in seconds.
type serviceTime struct {
	average       float64
	samples       int
	shortest      float64 // average of this period
	previous      float64 // shortest of the period before; zero without one
	periodStarted time.Duration
}

// Size returns the number of statements that may be in flight. share is this VM's share of
// the upstream and limit the bound of a VM that uses it alone.
func (w *Window) Size(share, limit int) int {
	return max(1, share, min(int(w.size), limit))
}

// Observe records the service time of a statement. limited is set if others waited for a
// slot when it ended.
func (w *Window) Observe(now time.Duration, priority int, writes bool, took time.Duration, share, limit int, limited bool) {
	kind := 2 * min(max(0, priority), MaxPriority)
	if writes {
		kind++
	}
	baseline := w.kinds[kind].observe(now, took.Seconds())
	if baseline == 0 {
		return
	}
	ratio := min(took.Seconds()/baseline, maxRatio)
	if w.recent == 0 {
		w.recent = ratio
	}
	w.recent += recentWeight * (ratio - w.recent)
	size := max(w.size, float64(share))
	if w.recent > queueingRatio {
		size -= windowStep
	} else if limited {
		size += windowStep
	}
	w.size = min(max(size, float64(share)), float64(max(share, limit)))
}

// observe records a service time and returns the baseline, or zero if there is none yet.
func (s *serviceTime) observe(now time.Duration, took float64) float64 {
	if s.samples == 0 {
		s.average, s.periodStarted = took, now
	}
	s.average += max(baselineWeight, 1/float64(s.samples+1)) * (took - s.average)
	if s.samples++; s.samples < minBaselineSamples {
		return 0
	}
	if now >= s.periodStarted+baselinePeriod {
		s.previous, s.shortest, s.periodStarted = s.shortest, 0, now
	}
	if s.shortest == 0 || s.average < s.shortest {
		s.shortest = s.average
	}
	if s.previous > 0 {
		return min(s.previous, s.shortest)
	}
	return s.shortest
}
