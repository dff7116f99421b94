package upstream

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// pool holds the connections to one upstream.
type pool struct {
	pools *Pools
	probe probe

	mu         sync.Mutex
	limit      connLimit
	target     request.Target
	idle       []*Conn // in order of last use, most recent last
	leases     map[*Conn]struct{}
	waiters    []*waiter
	opening    int
	generation uint64
	leaving    bool
	// minTerm is the lowest term of accepted targets. It is raised when the upstream
	// is replaced as primary while it does not respond.
	minTerm ident.Term
}

// waiter waits for a connection. Its channel receives at most one result.
type waiter struct {
	ready chan acquireResult
}

type acquireResult struct {
	conn *Conn
	err  error
}

func (p *pool) total() int { return len(p.idle) + len(p.leases) + p.opening }

func (p *pool) acquire(ctx context.Context, target request.Target, prefer func(*Conn) bool) (*Lease, error) {
	p.mu.Lock()
	if target.Term < p.minTerm {
		p.mu.Unlock()
		return nil, &OpenError{Upstream: target.Upstream, Cause: errReplaced}
	}
	closing := p.updateTarget(target)
	for len(p.idle) > 0 {
		c := p.takePreferred(prefer)
		if !c.usable() {
			closing = append(closing, c)
			continue
		}
		lease := p.newLease(c)
		p.mu.Unlock()
		closeAll(closing)
		return lease, nil
	}
	w := &waiter{ready: make(chan acquireResult, 1)}
	p.waiters = append(p.waiters, w)
	p.openForWaiters()
	p.mu.Unlock()
	closeAll(closing)
	return p.wait(ctx, w)
}

// takePreferred removes and returns the most recently used idle connection that
// prefer accepts, or the most recently used one if there is none.
func (p *pool) takePreferred(prefer func(*Conn) bool) *Conn {
	best := len(p.idle) - 1
	for i := best; i >= 0 && prefer != nil; i-- {
		if prefer(p.idle[i]) {
			best = i
			break
		}
	}
	c := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	return c
}

func (p *pool) wait(ctx context.Context, w *waiter) (*Lease, error) {
	select {
	case result := <-w.ready:
		return p.leaseResult(result)
	case <-ctx.Done():
	}
	p.mu.Lock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return nil, resultcode.Wrap(context.Cause(ctx), resultcode.QueueDeadline, "no connection to the upstream became free")
		}
	}
	p.mu.Unlock()
	return p.leaseResult(<-w.ready)
}

func (p *pool) leaseResult(result acquireResult) (*Lease, error) {
	if result.err != nil {
		return nil, result.err
	}
	return &Lease{pool: p, conn: result.conn, generation: result.conn.generation}, nil
}

// updateTarget adopts the connection limit, term and address of a target. It removes
// and returns the idle connections of an earlier term or another address.
func (p *pool) updateTarget(target request.Target) []*Conn {
	p.limit.setCeiling(target.ConnectionLimit)
	if target.Term < p.target.Term || p.target.Term == target.Term && p.target.Address == target.Address {
		return nil
	}
	p.target = target
	return p.removeIdle(func(c *Conn) bool { return !p.isCurrent(c) })
}

func (p *pool) isCurrent(c *Conn) bool {
	return c.term() >= p.target.Term && c.target.Address == p.target.Address
}

func (p *pool) removeIdle(drop func(*Conn) bool) []*Conn {
	var dropped []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if drop(c) {
			dropped = append(dropped, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	return dropped
}

// newLease leases the connection under a new generation.
func (p *pool) newLease(c *Conn) *Lease {
	p.assign(c)
	return &Lease{pool: p, conn: c, generation: c.generation}
}

func (p *pool) assign(c *Conn) {
	p.generation++
	c.generation = p.generation
	c.cancelled = false
	p.leases[c] = struct{}{}
}

// openForWaiters starts opening connections for the waiters, up to the limit.
func (p *pool) openForWaiters() {
	for p.opening < len(p.waiters) && p.total() < p.limit.allowed(p.pools.cfg.Now()) {
		p.opening++
		go p.open(p.target)
	}
}

func (p *pool) open(target request.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), p.pools.cfg.DialTimeout)
	defer cancel()
	c, err := p.pools.open(ctx, target)
	if err != nil {
		p.openFailed(err)
		return
	}
	p.pools.setParameters(target.Group, c.Params)
	p.mu.Lock()
	p.opening--
	spare := p.put(c)
	p.mu.Unlock()
	closeAll(spare)
}

// openFailed fails the oldest waiter, or all waiters if the pool has no connection
// that could still be returned to them. If the upstream has no free slot, the
// waiters keep waiting as long as the pool has other connections.
func (p *pool) openFailed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if isTooManyConnections(err) {
		p.limit.recordRefusal(p.pools.cfg.Now())
		if p.total() > 0 {
			return
		}
	}
	n := min(1, len(p.waiters))
	if p.total() == 0 {
		n = len(p.waiters)
	}
	for _, w := range p.waiters[:n] {
		w.ready <- acquireResult{err: &OpenError{Upstream: p.target.Upstream, TooManyConnections: isTooManyConnections(err), Cause: err}}
	}
	p.waiters = p.waiters[n:]
	p.openForWaiters()
}

// put passes a clean connection to the oldest waiter or keeps it as idle. It returns
// the connections that the caller must close.
func (p *pool) put(c *Conn) []*Conn {
	if !p.isCurrent(c) || p.leaving && len(p.waiters) == 0 || p.total() >= p.limit.allowed(p.pools.cfg.Now()) {
		p.openForWaiters()
		return []*Conn{c}
	}
	if len(p.waiters) == 0 {
		c.idleSince = p.pools.cfg.Now()
		p.idle = append(p.idle, c)
		return nil
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	p.assign(c)
	w.ready <- acquireResult{conn: c}
	return nil
}

func (p *pool) setLeaving(leaving bool) {
	p.mu.Lock()
	p.leaving = leaving
	var dropped []*Conn
	if leaving {
		dropped = p.removeIdle(func(*Conn) bool { return true })
	}
	p.mu.Unlock()
	closeAll(dropped)
}

// disconnectAll closes all connections, fails the waiters, and rejects targets of
// terms below minTerm from now on. The requests of the failed waiters have not been
// sent.
func (p *pool) disconnectAll(minTerm ident.Term) {
	p.mu.Lock()
	p.minTerm = max(p.minTerm, minTerm)
	for _, w := range p.waiters {
		w.ready <- acquireResult{err: &OpenError{Upstream: p.target.Upstream, Cause: errReplaced}}
	}
	p.waiters = nil
	dropped := p.removeIdle(func(*Conn) bool { return true })
	for c := range p.leases {
		// The holder gets a read or write error and closes the lease.
		_ = c.netConn.Close()
	}
	p.mu.Unlock()
	closeAll(dropped)
}

func (p *pool) evictIdle(before time.Duration) {
	p.mu.Lock()
	dropped := p.removeIdle(func(c *Conn) bool { return c.idleSince < before })
	p.mu.Unlock()
	closeAll(dropped)
}

func (p *pool) state() PoolState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PoolState{
		Term: p.target.Term, Idle: len(p.idle), Leased: len(p.leases), Opening: p.opening, Waiting: len(p.waiters),
		Limit: p.limit.allowed(p.pools.cfg.Now()), Leaving: p.leaving,
	}
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		_ = c.Writer.WriteFrame('X')
		_ = c.netConn.SetWriteDeadline(time.Now().Add(terminateTimeout))
		_ = c.Writer.Flush()
		_ = c.netConn.Close()
	}
}

// OpenError reports that no connection to an upstream could be opened.
type OpenError struct {
	Upstream ident.UpstreamName
	// TooManyConnections is set if the upstream rejected the connection because it has
	// no free slot (SQLSTATE 53300).
	TooManyConnections bool
	Cause              error
}

// Error names the upstream and omits the cause, which may contain addresses and user
// names.
func (e *OpenError) Error() string {
	return "no connection to upstream " + string(e.Upstream) + " could be opened"
}

func (e *OpenError) Unwrap() error { return e.Cause }
