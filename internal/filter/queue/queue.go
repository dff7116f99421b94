// Package queue is the filter that lets at most the upstream's slots run at once
// and makes the rest wait fairly by organisation.
package queue

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/queue"
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Config configures the filter.
type Config struct {
	// Now is the time since process start.
	Now func() time.Duration
	// FirstCome ignores organisations, so that requests run in the order of their
	// arrival; it is a baseline for measurements.
	FirstCome bool
}

// Filter holds one queue per upstream.
type Filter struct {
	next filter.Handler
	cfg  Config

	mu     sync.RWMutex
	queues map[key]*shell
}

type key struct {
	group    ident.GroupName
	upstream ident.UpstreamName
}

// shell feeds one queue core and wakes the requests that it lets run.
type shell struct {
	now     func() time.Duration
	mu      sync.Mutex
	core    *queue.Queue
	waiting map[queue.ID]chan bool
	last    queue.ID
}

// New returns the filter. It refuses with QueueDeadline or Cancelled.
func New(next filter.Handler, cfg Config) *Filter {
	if cfg.Now == nil {
		start := time.Now()
		cfg.Now = func() time.Duration { return time.Since(start) }
	}
	return &Filter{next: next, cfg: cfg, queues: map[key]*shell{}}
}

// Serve implements filter.Handler. The slot is kept while a transaction stays open.
func (f *Filter) Serve(ctx context.Context, r *filter.Request) error {
	s := r.Session
	if s.Lease.Load() != nil {
		return f.next.Serve(ctx, r)
	}
	q := f.shell(r.Target)
	if err := f.enter(ctx, q, r); err != nil {
		return err
	}
	s.Slot = q
	err := f.next.Serve(ctx, r)
	if s.Lease.Load() == nil && s.Slot != nil {
		s.Slot.Release()
		s.Slot = nil
	}
	return err
}

func (f *Filter) shell(t request.Target) *shell {
	k := key{t.Group, t.Upstream}
	f.mu.RLock()
	q := f.queues[k]
	f.mu.RUnlock()
	if q != nil {
		return q
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if q = f.queues[k]; q == nil {
		q = &shell{now: f.cfg.Now, core: queue.New(t.Slots), waiting: map[queue.ID]chan bool{}}
		f.queues[k] = q
	}
	return q
}

// enter waits for a slot.
func (f *Filter) enter(ctx context.Context, q *shell, r *filter.Request) error {
	q.mu.Lock()
	q.core.SetSlots(r.Target.Slots)
	if q.core.TryRun() {
		q.mu.Unlock()
		return nil
	}
	now := f.cfg.Now()
	q.last++
	id, ready := q.last, make(chan bool, 1)
	q.waiting[id] = ready
	entry := queue.Entry{
		ID: id, Organisation: r.Session.Grant.Organisation, Weight: r.Session.Grant.Weight,
		Deadline: now + time.Until(r.Deadline),
	}
	if f.cfg.FirstCome {
		entry.Organisation, entry.Weight = "", 1
	}
	q.core.Add(entry)
	q.step(now)
	q.mu.Unlock()
	select {
	case run := <-ready:
		if run {
			return nil
		}
	case <-ctx.Done():
		q.leave(id, ready, f.cfg.Now())
	}
	return filter.WaitError(ctx, resultcode.QueueDeadline, "no slot of the upstream became free before the deadline")
}

// leave takes a waiting request out, or gives its slot back when it was let run
// at the same time.
func (q *shell) leave(id queue.ID, ready chan bool, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.core.Cancel(id) {
		delete(q.waiting, id)
		return
	}
	if <-ready {
		q.core.Release()
		q.step(now)
	}
}

// Release implements filter.Slot.
func (q *shell) Release() {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Release()
	if q.core.Waiting() > 0 {
		q.step(now)
	}
}

// step carries out the decisions of the core; q.mu is held.
func (q *shell) step(now time.Duration) {
	d := q.core.Step(now)
	for _, id := range d.Run {
		q.waiting[id] <- true
		delete(q.waiting, id)
	}
	for _, id := range d.Expired {
		q.waiting[id] <- false
		delete(q.waiting, id)
	}
}

// Outstanding returns the number of requests that run or wait on an upstream.
func (f *Filter) Outstanding(group ident.GroupName, upstream ident.UpstreamName) int {
	f.mu.RLock()
	q := f.queues[key{group, upstream}]
	f.mu.RUnlock()
	if q == nil {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Running() + q.core.Waiting()
}

// State describes a queue in a dump.
type State struct {
	Group    ident.GroupName    `json:"group"`
	Upstream ident.UpstreamName `json:"upstream"`
	Running  int                `json:"running"`
	Waiting  int                `json:"waiting"`
}

// Dump describes the queues.
func (f *Filter) Dump() []State {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]State, 0, len(f.queues))
	for k, q := range f.queues {
		q.mu.Lock()
		out = append(out, State{k.group, k.upstream, q.core.Running(), q.core.Waiting()})
		q.mu.Unlock()
	}
	return out
}
