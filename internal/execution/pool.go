package execution

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/admission"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/queue"
	"github.com/rosemarywall/rosemarywall/internal/fairqueue"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

const (
	// minDialTimeout is the minimum timeout for opening a connection, even if the wait
	// for a slot has used up the acquire timeout of the request.
	minDialTimeout = 100 * time.Millisecond
	// dialTimeout limits the opening of a connection. It takes an upstream some tens of
	// milliseconds, and longer if the upstream is busy.
	dialTimeout = 500 * time.Millisecond
	// refusalBackoff is how long a pool opens connections only in place of idle ones after
	// the upstream refused one because of its connection limit.
	refusalBackoff = 100 * time.Millisecond
)

// pooledConn is a connection and the session state that is set on it.
type pooledConn struct {
	conn         Conn
	organisation ident.OrganisationName
	values       map[string]string
	prepared     map[string]string // text by name
	need         queue.Need        // of the statement that uses it
	meter        *meter
}

// pool holds the connections to one upstream and decides which statements it runs.
type pool struct {
	target Target
	dial   Dial
	now    func() time.Duration
	// scheduler orders the statements. Its lock protects the fields below.
	scheduler *fairqueue.Scheduler[grant]
	meter     *meter

	limit           int           // of connections
	idle            []*pooledConn // least recently used first
	open            int           // idle, in use or being opened
	dialPausedUntil time.Duration
	// draining is set if released connections are closed.
	draining    bool
	window      queue.Window
	share       int // of the upstream's slots and the margin
	windowLimit int
	estimator   admission.Estimator
	running     []*slot // those that count as used
}

// grant is what a statement gets when it starts.
type grant struct {
	conn *pooledConn // nil for a continuation and for one that is to be opened
	slot *slot
}

func newPool(target Target, limit int, dial Dial, now func() time.Duration) *pool {
	p := &pool{target: target, dial: dial, now: now, limit: limit}
	p.scheduler = fairqueue.NewScheduler(now, limit, p)
	p.meter = &meter{now: now, waiting: p.scheduler.Waiting}
	return p
}

// errNoConnection is returned if the wait for a connection timed out, or if the pool
// may open none.
var errNoConnection = errors.New("no connection became free in time")

// acquire returns a connection of the organisation for exclusive use, and a slot.
func (p *pool) acquire(ctx context.Context, r Request) (*pooledConn, *slot, error) {
	deadline := p.now() + r.AcquireTimeout
	need := queue.Connection
	if r.Mode == Begin {
		need = queue.Transaction
	}
	for {
		g, err := p.wait(ctx, r, need, deadline)
		if err != nil {
			return nil, nil, err
		}
		s := g.slot
		if g.conn != nil {
			g.conn.need = need
			return g.conn, s, nil
		}
		c, again, err := p.connect(ctx, r, s, need, deadline)
		if err == nil || !again {
			return c, s, err
		}
	}
}

// wait waits until the statement may start.
func (p *pool) wait(ctx context.Context, r Request, need queue.Need, deadline time.Duration) (grant, error) {
	now := p.now()
	due := now + r.TargetLeft
	if r.TargetLeft == 0 { // from a VM that does not send it
		due = deadline
	}
	e := queue.Entry{
		Organisation: r.Organisation, Weight: r.Weight, Priority: r.Priority, Need: need, Due: due, Deadline: deadline,
		Patience: now + max(minPatience, (due-now)/patienceDivisor),
	}
	g, ok := p.scheduler.Acquire(ctx, e, func(core *queue.Queue, e *queue.Entry) bool { return p.admit(core, e, r) })
	if !ok {
		return g, errNoConnection
	}
	if ctx.Err() != nil {
		p.giveBack(g, need, r)
		return g, errNoConnection
	}
	g.slot.writes = r.Writes
	return g, nil
}

const (
	// patienceDivisor divides what is left of the latency target to give the time for which a
	// statement waits for an upstream that does not answer. Another one may run it in time.
	patienceDivisor = 5
	// minPatience is the minimum of that time. Opening a connection takes some tens of
	// milliseconds.
	minPatience = 50 * time.Millisecond
)

// giveBack returns what a statement got that does not run.
func (p *pool) giveBack(g grant, need queue.Need, r Request) {
	defer g.slot.release()
	switch {
	case g.conn != nil:
		g.conn.need = need
		p.release(g.conn, true)
	case need != queue.Continuation:
		p.releaseReservation(r.Organisation, need, false)
	}
}

// admit sets the limits of the queue and decides whether a statement is queued.
func (p *pool) admit(core *queue.Queue, e *queue.Entry, r Request) bool {
	now := p.now()
	// A statement that is cut off by its time limit may have had an effect, so it has to
	// start early enough.
	run := min(max(minRunTimeout, p.estimator.RunTime()), r.AcquireTimeout/2)
	e.Deadline = min(e.Deadline, now+r.Timeout-run)
	e.Due = max(1, e.Due-p.estimator.FinishTime())
	if e.Need == queue.Continuation {
		return true
	}
	p.setLimits(core, r)
	return p.estimator.Admit(now, arrival(*e), core.Slots(), core.Ahead(*e, now))
}

func arrival(e queue.Entry) admission.Request {
	return admission.Request{Organisation: e.Organisation, Priority: e.Priority, Due: e.Due, Deadline: e.Deadline}
}

// setLimits applies the limits that a request carries.
func (p *pool) setLimits(core *queue.Queue, r Request) {
	if r.ConnectionLimit > 0 || p.limit == 0 {
		p.limit = max(1, r.ConnectionLimit)
	}
	p.share, p.windowLimit = r.SlotShare, r.Slots+placement.SlotMargin
	if r.Slots == 0 || r.SlotShare == 0 { // from a VM that does not send them
		p.share, p.windowLimit = p.limit, p.limit
	}
	core.SetLimits(queue.Limits{Slots: p.window.Size(p.share, p.windowLimit), Connections: p.limit, Dials: max(1, r.DialLimit)})
}

// MayOpen implements fairqueue.Resources. While the upstream refuses connections, one is
// opened only in place of another.
func (p *pool) MayOpen() bool {
	return len(p.idle) > 0 || p.open < p.limit && p.now() >= p.dialPausedUntil
}

// Stalled implements fairqueue.Resources.
func (p *pool) Stalled() bool { return p.estimator.Stalled(p.now()) }

// Reclaim implements fairqueue.Resources. A statement whose answer was lost holds its
// connection until its time limit, but not a slot of the upstream.
func (p *pool) Reclaim(core *queue.Queue) {
	before := p.now() - p.estimator.StallTime()
	for _, s := range p.running {
		if s.grantedAt <= before {
			s.free(core)
			return // the others follow at the next call
		}
	}
}

// Expired implements fairqueue.Resources.
func (p *pool) Expired() { p.estimator.Expired() }

// Grant implements fairqueue.Resources.
func (p *pool) Grant(core *queue.Queue, s queue.Start) grant {
	g := grant{slot: &slot{pool: p, grantedAt: p.now(), priority: s.Priority}}
	p.running = append(p.running, g.slot)
	p.estimator.Started(g.slot.grantedAt, arrival(s.Entry))
	if s.Need == queue.Continuation {
		return g
	}
	if !s.Dial {
		if g.conn = p.takeIdle(core, s.Organisation); g.conn != nil {
			return g
		}
		core.AddIdle(s.Organisation, 1) // the queue has subtracted one that was no longer usable
		core.DialBegan()
	}
	most := p.limit - 1
	if p.now() < p.dialPausedUntil {
		most = min(most, p.open-1)
	}
	p.evictIdle(core, most)
	p.open++
	return g
}

// takeIdle returns an idle connection of the organisation that the queue has already
// subtracted, or nil.
func (p *pool) takeIdle(core *queue.Queue, organisation ident.OrganisationName) *pooledConn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.organisation == organisation {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			if c.conn.Alive() {
				return c
			}
			p.closeConn(c)
			core.AddIdle(organisation, -1)
		}
	}
	return nil
}

// closeConn closes a connection. The lock of the scheduler must be held.
func (p *pool) closeConn(c *pooledConn) {
	c.conn.Close()
	p.open--
}

// connect opens a connection in the place that Grant has reserved. If it fails it frees the
// place and the slot; again is set if another connection is expected to become free.
func (p *pool) connect(ctx context.Context, r Request, s *slot, need queue.Need, deadline time.Duration) (c *pooledConn, again bool, err error) {
	opened, full := false, false
	defer func() {
		if !opened {
			again = p.releaseReservation(r.Organisation, need, full)
			s.release()
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, max(minDialTimeout, min(dialTimeout, deadline-p.now())))
	defer cancel()
	conn, err := p.dial(ctx, p.target, r.Organisation)
	if err != nil {
		var refused *RefusedError
		full = errors.As(err, &refused) && refused.Code == statement.TooManyConnections
		return nil, false, err
	}
	opened, s.answered = true, true
	p.scheduler.Update((*queue.Queue).DialEnded)
	return &pooledConn{conn: conn, organisation: r.Organisation, prepared: map[string]string{}, need: need, meter: p.meter}, false, nil
}

// releaseReservation frees a reserved place. If the upstream is full, it reports whether the
// pool has a connection that is idle or runs a statement, and can serve others soon.
func (p *pool) releaseReservation(organisation ident.OrganisationName, need queue.Need, full bool) (usable bool) {
	p.scheduler.Update(func(core *queue.Queue) {
		p.open--
		core.DialEnded()
		core.ReleaseConnection(organisation, need)
		if full {
			p.dialPausedUntil = p.now() + refusalBackoff
			usable = len(p.idle) > 0 || len(p.running) > 1
		}
	})
	return usable
}

// release returns a connection to the pool, or closes it if it is not reusable.
func (p *pool) release(c *pooledConn, reusable bool) {
	p.scheduler.Update(func(core *queue.Queue) {
		core.ReleaseConnection(c.organisation, c.need)
		if !reusable || p.draining || p.open > p.limit || !c.conn.Alive() {
			p.closeConn(c)
			return
		}
		p.idle = append(p.idle, c)
		core.AddIdle(c.organisation, 1)
		core.Prefer(c.organisation)
	})
}

// drain closes the idle connections now and the others when they are released.
func (p *pool) drain() {
	p.scheduler.Update(func(core *queue.Queue) {
		p.draining = true
		p.evictIdle(core, 0)
	})
}

// setLimit sets the connection limit and closes idle connections above it.
func (p *pool) setLimit(limit int) {
	p.scheduler.Update(func(core *queue.Queue) {
		p.limit = limit
		p.evictIdle(core, limit)
	})
}

// evictIdle closes the least recently used idle connections until at most open
// connections are left or none is idle. The lock of the scheduler must be held.
func (p *pool) evictIdle(core *queue.Queue, open int) {
	for p.open > open && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.closeConn(oldest)
		core.AddIdle(oldest.organisation, -1)
	}
}

func (p *pool) connections() (n int) {
	p.scheduler.Update(func(*queue.Queue) { n = p.open })
	return n
}

func (p *pool) admissionCounts() (counts admission.Counts) {
	p.scheduler.Update(func(*queue.Queue) { counts = p.estimator.Counts() })
	return counts
}
