// Package fairqueue blocks and wakes the goroutines of requests as the deterministic queue
// in internal/core/queue decides.
package fairqueue

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/queue"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Queue limits the number of concurrent requests of one upstream and queues the others with
// fair queuing by organisation. It is safe for concurrent use.
type Queue struct{ s *Scheduler[struct{}] }

// New returns an empty queue; now is the time since process start.
func New(now func() time.Duration, slots int) *Queue {
	return &Queue{NewScheduler(now, slots, slotsOnly{})}
}

// slotsOnly are the resources of a Queue, whose requests need nothing but a slot.
type slotsOnly struct{}

func (slotsOnly) MayOpen() bool                            { return true }
func (slotsOnly) Reclaim(*queue.Queue)                     {}
func (slotsOnly) Stalled() bool                            { return false }
func (slotsOnly) Grant(*queue.Queue, queue.Start) struct{} { return struct{}{} }
func (slotsOnly) Expired()                                 {}

// Acquire waits for a slot until the deadline, which is a time of the queue's clock, or
// until ctx is done. It reports whether it acquired a slot.
func (q *Queue) Acquire(ctx context.Context, slots int, organisation ident.OrganisationName, weight int, deadline time.Duration) bool {
	acquired := false
	q.s.Update(func(core *queue.Queue) {
		core.SetSlots(slots)
		acquired = core.TryAcquire()
	})
	if acquired {
		return true
	}
	_, acquired = q.s.Acquire(ctx, queue.Entry{Organisation: organisation, Weight: weight, Deadline: deadline}, nil)
	if acquired && ctx.Err() != nil {
		q.Release()
		return false
	}
	return acquired
}

// Release returns a slot.
func (q *Queue) Release() { q.s.Update((*queue.Queue).Release) }

// Load returns the numbers of running and waiting requests.
func (q *Queue) Load() (running, waiting int) {
	q.s.Update(func(core *queue.Queue) { running, waiting = core.Running(), core.Waiting() })
	return running, waiting
}
