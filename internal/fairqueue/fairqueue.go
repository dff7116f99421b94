// Package fairqueue lets a limited number of requests run at once and makes the
// rest wait fairly by organisation. It wakes the goroutines of requests around the
// deterministic queue in internal/core/queue.
package fairqueue

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/queue"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Queue is the queue of one upstream. It is safe for concurrent use.
type Queue struct {
	now     func() time.Duration
	mu      sync.Mutex
	core    *queue.Queue
	waiting map[queue.ID]chan bool
	last    queue.ID
}

// New returns an empty queue; now is the time since process start.
func New(now func() time.Duration, slots int) *Queue {
	return &Queue{now: now, core: queue.New(slots), waiting: map[queue.ID]chan bool{}}
}

// Acquire waits for a slot until the deadline (on the queue's clock) or the end of
// ctx; false means that none was given.
func (q *Queue) Acquire(ctx context.Context, slots int, organisation ident.OrganisationName, weight int, deadline time.Duration) bool {
	q.mu.Lock()
	q.core.SetSlots(slots)
	if q.core.TryAcquire() {
		q.mu.Unlock()
		return true
	}
	q.last++
	id, ready := q.last, make(chan bool, 1)
	q.waiting[id] = ready
	q.core.Add(queue.Entry{ID: id, Organisation: organisation, Weight: weight, Deadline: deadline})
	q.step(q.now())
	q.mu.Unlock()
	timer := time.NewTimer(max(0, deadline-q.now()))
	defer timer.Stop()
	select {
	case run := <-ready:
		return run
	case <-timer.C:
	case <-ctx.Done():
	}
	q.leave(id, ready)
	return false
}

// leave takes a waiting request out, or gives its slot back when it was let run
// at the same time.
func (q *Queue) leave(id queue.ID, ready chan bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.core.Cancel(id) {
		delete(q.waiting, id)
		return
	}
	if <-ready {
		q.core.Release()
		q.step(q.now())
	}
}

// Release returns a slot.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Release()
	if q.core.Waiting() > 0 {
		q.step(q.now())
	}
}

// step carries out the decisions of the core; q.mu is held.
func (q *Queue) step(now time.Duration) {
	d := q.core.Dispatch(now)
	for _, id := range d.Run {
		q.waiting[id] <- true
		delete(q.waiting, id)
	}
	for _, id := range d.Expired {
		q.waiting[id] <- false
		delete(q.waiting, id)
	}
}

// Load returns the numbers of requests that run and that wait.
func (q *Queue) Load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Running(), q.core.Waiting()
}
