// Package fairqueue limits the number of concurrent requests and queues the others with
// fair queuing by organisation. It blocks and wakes the goroutines of requests as the
// deterministic queue in internal/core/queue decides.
package fairqueue

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/queue"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Queue is the request queue of one upstream. It is safe for concurrent use.
type Queue struct {
	now     func() time.Duration
	mu      sync.Mutex
	core    *queue.Queue
	waiting map[queue.ID]chan bool
	lastID  queue.ID
}

// New returns an empty queue; now is the time since process start.
func New(now func() time.Duration, slots int) *Queue {
	return &Queue{now: now, core: queue.New(slots), waiting: map[queue.ID]chan bool{}}
}

// Acquire waits for a slot until the deadline, which is a time of the queue's clock, or
// until ctx is done. It reports whether it acquired a slot.
func (q *Queue) Acquire(ctx context.Context, slots int, organisation ident.OrganisationName, weight int, deadline time.Duration) bool {
	id, ready := q.enter(slots, queue.Entry{Organisation: organisation, Weight: weight, Deadline: deadline})
	if ready == nil {
		return true
	}
	timer := time.NewTimer(max(0, deadline-q.now()))
	defer timer.Stop()
	select {
	case run := <-ready:
		return run
	case <-timer.C:
	case <-ctx.Done():
	}
	q.cancel(id, ready)
	return false
}

// enter acquires a slot or queues the request. The channel, which receives whether the
// request may run, is nil if it has a slot.
func (q *Queue) enter(slots int, e queue.Entry) (queue.ID, chan bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.SetSlots(slots)
	if q.core.TryAcquire() {
		return 0, nil
	}
	q.lastID++
	e.ID = q.lastID
	ready := make(chan bool, 1)
	q.waiting[e.ID] = ready
	q.core.Add(e)
	q.dispatch(q.now())
	return e.ID, ready
}

// cancel removes a waiting request, or releases its slot if the request was granted one
// at the same time.
func (q *Queue) cancel(id queue.ID, ready chan bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.core.Cancel(id) {
		delete(q.waiting, id)
		return
	}
	if <-ready {
		q.core.Release()
		q.dispatch(q.now())
	}
}

// Release returns a slot.
func (q *Queue) Release() { q.release(q.core.Release) }

// ReleaseFor returns a slot that a request of the organisation can use at less cost than
// others; see internal/core/queue.
func (q *Queue) ReleaseFor(organisation ident.OrganisationName) {
	q.release(func() { q.core.ReleaseFor(organisation) })
}

func (q *Queue) release(release func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	release()
	if q.core.Waiting() > 0 {
		q.dispatch(q.now())
	}
}

// dispatch applies the decisions of the deterministic queue. q.mu must be held.
func (q *Queue) dispatch(now time.Duration) {
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

// Load returns the numbers of running and waiting requests.
func (q *Queue) Load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Running(), q.core.Waiting()
}
