// Package queue is the filter that limits the concurrent requests of an upstream to its
// number of slots and queues the others with fair queuing by organisation.
package queue

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/fairqueue"
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Config configures the filter.
type Config struct {
	// Now is the time since process start.
	Now func() time.Duration
	// FIFO ignores organisations, so that requests run in the order of arrival. It is
	// a baseline for benchmarks.
	FIFO bool
}

// Filter holds one queue per upstream.
type Filter struct {
	next filter.Handler
	cfg  Config

	mu     sync.RWMutex
	queues map[queueKey]*fairqueue.Queue
}

type queueKey struct {
	group    ident.GroupName
	upstream ident.UpstreamName
}

// New returns the filter. It rejects requests with QueueDeadline, Cancelled or
// ShuttingDown.
func New(next filter.Handler, cfg Config) *Filter {
	if cfg.Now == nil {
		start := time.Now()
		cfg.Now = func() time.Duration { return time.Since(start) }
	}
	return &Filter{next: next, cfg: cfg, queues: map[queueKey]*fairqueue.Queue{}}
}

// Serve implements filter.Handler. An open transaction keeps its slot.
func (f *Filter) Serve(ctx context.Context, r *filter.Request) error {
	s := r.Session
	if s.Lease.Load() != nil {
		return f.next.Serve(ctx, r)
	}
	q := f.queue(r.Target)
	organisation, weight := s.Grant.Organisation, s.Grant.Weight
	if f.cfg.FIFO {
		organisation, weight = "", 1
	}
	if !q.Acquire(ctx, r.Target.Slots, organisation, weight, f.cfg.Now()+time.Until(r.Deadline)) {
		return filter.WaitError(ctx, resultcode.QueueDeadline, "no slot of the upstream became free before the deadline")
	}
	s.Slot = q
	err := f.next.Serve(ctx, r)
	if s.Lease.Load() == nil && s.Slot != nil {
		s.Slot.Release()
		s.Slot = nil
	}
	return err
}

func (f *Filter) queue(t request.Target) *fairqueue.Queue {
	k := queueKey{t.Group, t.Upstream}
	f.mu.RLock()
	q := f.queues[k]
	f.mu.RUnlock()
	if q != nil {
		return q
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if q = f.queues[k]; q == nil {
		q = fairqueue.New(f.cfg.Now, t.Slots)
		f.queues[k] = q
	}
	return q
}

// Outstanding returns the number of requests that are running on an upstream or
// waiting for it.
func (f *Filter) Outstanding(group ident.GroupName, upstream ident.UpstreamName) int {
	f.mu.RLock()
	q := f.queues[queueKey{group, upstream}]
	f.mu.RUnlock()
	if q == nil {
		return 0
	}
	running, waiting := q.Load()
	return running + waiting
}

// State is the state of one queue in a dump.
type State struct {
	Group    ident.GroupName    `json:"group"`
	Upstream ident.UpstreamName `json:"upstream"`
	Running  int                `json:"running"`
	Waiting  int                `json:"waiting"`
}

// Dump returns the state of all queues.
func (f *Filter) Dump() []State {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]State, 0, len(f.queues))
	for k, q := range f.queues {
		running, waiting := q.Load()
		out = append(out, State{k.group, k.upstream, running, waiting})
	}
	return out
}
