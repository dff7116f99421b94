package execution

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/fairqueue"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

const (
	// minDial is the least time for the opening of a connection, also when the wait for
	// a free place has used the time of the request.
	minDial = 100 * time.Millisecond
	// dialTimeout bounds the opening of a connection. Opening takes some tens of
	// milliseconds of an upstream's time; a busy upstream makes it wait.
	dialTimeout = 500 * time.Millisecond
	// refusalPause is the time for which a pool opens no connection after the
	// upstream refused one for its limit.
	refusalPause = 100 * time.Millisecond
)

// pooled is a connection with the caller state that it holds.
type pooled struct {
	conn         Conn
	organisation ident.OrganisationName
	values       map[string]string
	prepared     map[string]string // name to text
}

// pool holds the connections to one upstream.
type pool struct {
	target Target
	dial   Dial
	now    func() time.Duration
	queue  *fairqueue.Queue
	// opening admits the opening of connections. An upstream that is asked for many at
	// once answers so late that requests have gone by then, and its slots are spent on
	// connections that nobody uses.
	opening *fairqueue.Queue

	mu     sync.Mutex
	limit  int
	idle   []*pooled // last used at the end
	open   int       // idle, in use and being opened
	paused time.Duration
	// retired says that connections are not kept.
	retired bool
}

func newPool(target Target, limit int, dial Dial, now func() time.Duration) *pool {
	return &pool{target: target, dial: dial, now: now, limit: limit, queue: fairqueue.New(now, limit), opening: fairqueue.New(now, 1)}
}

// errNoConnection means that the wait for a connection ended.
var errNoConnection = errors.New("no connection became free in time")

// acquire returns a connection of the organisation for exclusive use. Each
// connection given out holds a slot of the queue until release.
func (p *pool) acquire(ctx context.Context, r Request) (*pooled, error) {
	began := p.now()
	limit := max(1, r.ConnectionLimit)
	if !p.queue.Acquire(ctx, limit, r.Organisation, r.Weight, p.now()+r.AcquireTimeout) {
		return nil, errNoConnection
	}
	c, room := p.take(limit, r.Organisation)
	if c != nil {
		return c, nil
	}
	if !room {
		p.queue.Release()
		return nil, errNoConnection
	}
	return p.connect(ctx, r, began+r.AcquireTimeout)
}

// take returns an idle connection of the organisation, or makes room for a new one.
func (p *pool) take(limit int, organisation ident.OrganisationName) (c *pooled, room bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	if c := p.takeIdle(organisation); c != nil {
		return c, false
	}
	if p.now() < p.paused {
		return nil, false
	}
	p.evict(limit - 1)
	if p.open >= limit {
		return nil, false
	}
	p.open++
	return nil, true
}

// takeIdle returns an idle connection of the organisation, or nil; p.mu is held.
func (p *pool) takeIdle(organisation ident.OrganisationName) *pooled {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.organisation == organisation {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			if c.conn.Alive() {
				return c
			}
			p.drop(c)
		}
	}
	return nil
}

// drop closes a connection; p.mu is held.
func (p *pool) drop(c *pooled) {
	c.conn.Close()
	p.open--
}

// connect opens a connection in a place that take has reserved. While it waits for its
// turn a connection of the organisation may become free.
func (p *pool) connect(ctx context.Context, r Request, deadline time.Duration) (*pooled, error) {
	if !p.opening.Acquire(ctx, max(1, r.DialLimit), r.Organisation, r.Weight, deadline) {
		p.giveUp(false)
		return nil, errNoConnection
	}
	defer p.opening.Release()
	if c := p.instead(r.Organisation); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, max(minDial, min(dialTimeout, deadline-p.now())))
	defer cancel()
	conn, err := p.dial(ctx, p.target, r.Organisation)
	if err != nil {
		var refused *RefusedError
		p.giveUp(errors.As(err, &refused) && refused.Code == statement.TooManyConnections)
		return nil, err
	}
	return &pooled{conn: conn, organisation: r.Organisation, prepared: map[string]string{}}, nil
}

// instead returns an idle connection for a place that was reserved for a new one.
func (p *pool) instead(organisation ident.OrganisationName) *pooled {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.takeIdle(organisation)
	if c != nil {
		p.open--
	}
	return c
}

// giveUp frees a reserved place. A full upstream is asked for no connection for a while.
func (p *pool) giveUp(full bool) {
	p.mu.Lock()
	p.open--
	if full {
		p.paused = p.now() + refusalPause
	}
	p.mu.Unlock()
	p.queue.Release()
}

// release gives a connection back; a connection that is not reusable is closed.
func (p *pool) release(c *pooled, reusable bool) {
	p.mu.Lock()
	if reusable && !p.retired && p.open <= p.limit && c.conn.Alive() {
		p.idle = append(p.idle, c)
	} else {
		p.drop(c)
	}
	p.mu.Unlock()
	p.queue.Release()
}

// retire closes the idle connections, and the others when they are released.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
}

// shrink closes idle connections above a lowered limit.
func (p *pool) shrink(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.evict(limit)
}

// evict closes the idle connections that were used longest ago until at most open are
// left, if the others allow it; p.mu is held.
func (p *pool) evict(open int) {
	for p.open > open && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(oldest)
	}
}

func (p *pool) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
