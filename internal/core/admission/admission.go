// Package admission decides on arrival whether a request can still be served, from what this
// VM has seen at the upstream.
//
// It answers the load of more requests than the upstream serves within their time: a request
// that certainly expires in the queue is refused at once, so that its client can turn
// elsewhere; all others wait, because an answer after the latency target is worth more than
// a refusal. Without figures of the last second every request is admitted.
package admission

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// occupancyWeight is the weight of a new value in the moving average of the time for
	// which a request holds a slot.
	occupancyWeight = 1.0 / 16
	// maxFigureAge is the age above which figures are not used.
	maxFigureAge = time.Second
	// certainty is the fraction of the predicted wait that must exceed the time of a
	// request before it is refused. An upstream that was slow may recover meanwhile: at 0.8,
	// 0.013 of the statements of such a load were refused and could have been served.
	certainty = 0.65
	// minStallTime is the shortest time without an answer after which an upstream that runs
	// something counts as stalled. It exceeds a statement of an upstream that is five
	// times slower than usual.
	minStallTime = 250 * time.Millisecond
	// stallFactor is the same in average times for which a request holds a slot.
	stallFactor = 4
	// runFactor is the number of average times that a request must have left when it starts,
	// because one that is cut off by its time limit may have had an effect.
	runFactor = 3
	// finishFactor is the number of average times before its latency target at which a request
	// must have started to be on time. Without it a queue that is longer than the target starts
	// each request just too late.
	finishFactor = 1.5
	// maxRefused is the number of refusals that are followed up.
	maxRefused = 16
)

// Counts are the decisions and errors of an Estimator.
type Counts struct {
	// Refused is the number of requests refused on arrival.
	Refused uint64
	// RefusedServable is the number of those that would have started in time: another request
	// of the same organisation and priority, which they go before, did.
	RefusedServable uint64
	// Expired is the number of requests that were admitted and got no slot in time.
	Expired uint64
}

// Add adds other counts.
func (c *Counts) Add(other Counts) {
	c.Refused += other.Refused
	c.RefusedServable += other.RefusedServable
	c.Expired += other.Expired
}

// Request is a request that arrives or starts.
type Request struct {
	Organisation ident.OrganisationName
	Priority     int
	// Due is the time after which it cannot be answered within its latency target.
	Due time.Duration
	// Deadline is the time at which it expires.
	Deadline time.Duration
}

// Estimator predicts waits at one upstream. It is not safe for concurrent use.
type Estimator struct {
	occupancy time.Duration // average time for which a request holds a slot
	endedAt   time.Duration // when a request last freed one
	startedAt time.Duration // when the first request since then started; zero if none runs
	refused   []Request     // the last refusals whose time has not passed, oldest first
	counts    Counts
}

// Ended records that a request has freed its slot after it held it for some time.
func (e *Estimator) Ended(now, held time.Duration) {
	if e.occupancy == 0 {
		e.occupancy = held
	}
	e.occupancy += time.Duration(occupancyWeight * float64(held-e.occupancy))
	e.endedAt, e.startedAt = now, now
}

// Idle records that nothing runs.
func (e *Estimator) Idle() { e.startedAt = 0 }

// Started records that a request has started.
func (e *Estimator) Started(now time.Duration, r Request) {
	if e.startedAt == 0 {
		e.startedAt = now
	}
	kept := e.refused[:0]
	for _, refused := range e.refused {
		switch {
		case now >= refused.Deadline:
		case refused.goesBefore(r, now):
			e.counts.RefusedServable++
		default:
			kept = append(kept, refused)
		}
	}
	e.refused = kept
}

// goesBefore reports whether a request would have started before another one that starts
// now, in the order of the queue.
func (r Request) goesBefore(other Request, now time.Duration) bool {
	if r.Organisation != other.Organisation || r.Priority != other.Priority {
		return false
	}
	if late, otherLate := r.Due <= now, other.Due <= now; late != otherLate {
		return otherLate
	}
	return r.Due < other.Due
}

// Expired records that an admitted request got no slot in time.
func (e *Estimator) Expired() { e.counts.Expired++ }

// Counts returns the decisions and errors so far.
func (e *Estimator) Counts() Counts { return e.counts }

// Admit decides on a request. slots is the number of slots and ahead a lower bound of the
// requests that start before it.
func (e *Estimator) Admit(now time.Duration, r Request, slots, ahead int) bool {
	if now > e.endedAt+maxFigureAge || ahead == 0 {
		return true
	}
	wait := time.Duration(certainty * float64(e.occupancy) * float64(ahead) / float64(max(1, slots)))
	if now+wait < r.Deadline {
		return true
	}
	e.counts.Refused++
	if len(e.refused) == maxRefused {
		e.refused = append(e.refused[:0], e.refused[1:]...)
	}
	e.refused = append(e.refused, r)
	return false
}

// Stalled reports whether the upstream has answered nothing for so long that what waits for
// it is better sent elsewhere.
func (e *Estimator) Stalled(now time.Duration) bool {
	return e.startedAt > 0 && now >= e.startedAt+e.StallTime()
}

// StallTime returns the time after which a request without an answer no longer counts as one
// that the upstream runs.
func (e *Estimator) StallTime() time.Duration { return max(minStallTime, stallFactor*e.occupancy) }

// FinishTime returns the time before its latency target at which a request must have started.
func (e *Estimator) FinishTime() time.Duration {
	return time.Duration(finishFactor * float64(e.occupancy))
}

// RunTime returns the time that a request must have left when it starts.
func (e *Estimator) RunTime() time.Duration { return runFactor * e.occupancy }
