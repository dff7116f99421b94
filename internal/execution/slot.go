package execution

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/queue"
)

// slot is the right to use a slot of an upstream until release.
type slot struct {
	pool      *pool
	grantedAt time.Duration
	priority  int
	writes    bool
	// answered is set if the upstream has responded to anything.
	answered bool
	// took is the service time of the statement; zero if it tells nothing about the load of
	// the upstream.
	took time.Duration
}

// run runs the client's statement with send and records its service time. That of a commit
// depends on the replicas too.
func (s *slot) run(ctx context.Context, c *pooledConn, r Request, send func(context.Context, *pooledConn, Request) Result) Result {
	began := s.pool.now()
	result := send(ctx, c, r)
	s.answered = s.answered || result.Outcome != Unknown
	if result.Outcome == Done && !r.EndsTransaction {
		s.took = s.pool.now() - began
	}
	return result
}

// release ends the use of the slot.
func (s *slot) release() {
	p := s.pool
	p.scheduler.Update(func(core *queue.Queue) {
		now := p.now()
		s.free(core)
		if s.answered {
			p.estimator.Ended(now, now-s.grantedAt)
		}
		if len(p.running) == 0 {
			p.estimator.Idle()
		}
		if s.took > 0 {
			p.window.Observe(now, s.priority, s.writes, s.took, p.share, p.windowLimit, core.Waiting() > 0)
			core.SetSlots(p.window.Size(p.share, p.windowLimit))
		}
	})
}

// free frees the slot unless that has been done. The lock of the scheduler must be held.
func (s *slot) free(core *queue.Queue) {
	if i := slices.Index(s.pool.running, s); i >= 0 {
		s.pool.running = slices.Delete(s.pool.running, i, i+1)
		core.Release()
	}
}
