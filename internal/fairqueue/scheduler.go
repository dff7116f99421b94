package fairqueue

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/queue"
)

// checkInterval is the interval at which a waiting request looks whether it should go on
// waiting, for example because an upstream has stopped answering.
const checkInterval = 50 * time.Millisecond

// Resources are what the requests of a Scheduler use. Its methods are called with the lock
// of the Scheduler held.
type Resources[G any] interface {
	// MayOpen reports whether a connection may be opened.
	MayOpen() bool
	// Reclaim frees the slots of requests that no longer count as running.
	Reclaim(core *queue.Queue)
	// Stalled reports whether the upstream does not answer.
	Stalled() bool
	// Grant returns what a request gets that starts.
	Grant(core *queue.Queue, s queue.Start) G
	// Expired is called for each request that gives up or reaches its deadline.
	Expired()
}

// Scheduler starts requests in the order of a queue. The lock of a Scheduler also protects
// its resources. It is safe for concurrent use.
type Scheduler[G any] struct {
	now       func() time.Duration
	resources Resources[G]

	mu      sync.Mutex
	core    *queue.Queue
	waiting map[queue.ID]chan granted[G]
	lastID  queue.ID
}

// granted is the answer to a waiting request.
type granted[G any] struct {
	grant G
	ok    bool
}

// NewScheduler returns a Scheduler; now is the time since process start.
func NewScheduler[G any](now func() time.Duration, slots int, resources Resources[G]) *Scheduler[G] {
	return &Scheduler[G]{now: now, resources: resources, core: queue.New(slots), waiting: map[queue.ID]chan granted[G]{}}
}

// Update calls change with the lock held and then starts the requests that can start.
func (s *Scheduler[G]) Update(change func(core *queue.Queue)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.core)
	if s.core.Waiting() > 0 {
		s.dispatch()
	}
}

// Waiting returns the number of requests that wait.
func (s *Scheduler[G]) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Waiting()
}

// Acquire queues a request until it starts, until its deadline or until ctx is done. admit,
// if it is not nil, decides with the lock held whether it is queued. A request that starts
// at the moment in which ctx ends has started.
func (s *Scheduler[G]) Acquire(ctx context.Context, e queue.Entry, admit func(core *queue.Queue, e *queue.Entry) bool) (grant G, ok bool) {
	id, deadline, ready := s.enter(e, admit)
	if ready == nil {
		return grant, false
	}
	select {
	case g := <-ready:
		return g.grant, g.ok
	default:
	}
	timer := time.NewTimer(max(0, min(checkInterval, deadline-s.now())))
	defer timer.Stop()
	for {
		select {
		case g := <-ready:
			return g.grant, g.ok
		case <-timer.C:
			s.Update(func(*queue.Queue) {}) // expires this request or others
			timer.Reset(max(time.Millisecond, min(checkInterval, deadline-s.now())))
		case <-ctx.Done():
			return s.cancel(id, ready)
		}
	}
}

func (s *Scheduler[G]) enter(e queue.Entry, admit func(*queue.Queue, *queue.Entry) bool) (queue.ID, time.Duration, chan granted[G]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	e.ID = s.lastID
	if admit != nil && !admit(s.core, &e) {
		return 0, 0, nil
	}
	ready := make(chan granted[G], 1)
	s.waiting[e.ID] = ready
	s.core.Add(e)
	s.dispatch()
	return e.ID, e.Deadline, ready
}

// cancel removes a waiting request unless it was granted or refused at the same time.
func (s *Scheduler[G]) cancel(id queue.ID, ready chan granted[G]) (grant G, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.Cancel(id) {
		delete(s.waiting, id)
		return grant, false
	}
	g := <-ready
	return g.grant, g.ok
}

// dispatch applies the decisions of the deterministic queue. s.mu must be held.
func (s *Scheduler[G]) dispatch() {
	now := s.now()
	s.resources.Reclaim(s.core)
	s.expire(s.core.Expire(now))
	for {
		start, ok := s.core.Next(now, s.resources.MayOpen())
		if !ok {
			break
		}
		s.waiting[start.ID] <- granted[G]{s.resources.Grant(s.core, start), true}
		delete(s.waiting, start.ID)
	}
	if s.core.Waiting() > 0 && s.resources.Stalled() {
		s.expire(s.core.ExpireStalled(now))
	}
}

// expire answers the requests that have left the queue without starting.
func (s *Scheduler[G]) expire(ids []queue.ID) {
	for _, id := range ids {
		s.resources.Expired()
		s.waiting[id] <- granted[G]{}
		delete(s.waiting, id)
	}
}
