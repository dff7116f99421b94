package upstream

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
)

// Defaults of Config.
const (
	defaultDialTimeout = 2 * time.Second
	defaultMaxMessage  = 16 << 20 // bytes of one message that is decoded as a whole
	defaultIdleTimeout = 10 * time.Minute
	defaultReset       = "DISCARD ALL"
)

// Credentials are the user and password for upstreams. They must not appear in
// errors, logs or state dumps.
type Credentials struct {
	User     string
	Password string
}

// String hides the password.
func (c Credentials) String() string { return c.User }

// GoString hides the password.
func (c Credentials) GoString() string { return c.User }

// Config configures Pools.
type Config struct {
	Credentials Credentials
	// TLS returns the configuration for a new connection, so that certificates can
	// be reloaded; nil means plain TCP.
	TLS func() *tls.Config
	// DialTimeout limits the opening of a connection; default 2 s.
	DialTimeout time.Duration
	// IdleTimeout is the time after which EvictIdle closes an unused connection;
	// default 10 min.
	IdleTimeout time.Duration
	// MaxMessage is the largest message in bytes that is decoded; default 16 MiB.
	MaxMessage int
	// Reset is the statement that removes session state; default DISCARD ALL.
	Reset string
	// Now returns the time since process start.
	Now func() time.Duration
	// Dial replaces the network dialer in tests.
	Dial pgconn.DialFunc
}

type poolKey struct {
	group    ident.GroupName
	upstream ident.UpstreamName
}

// Pools holds one pool per upstream. It is safe for concurrent use.
type Pools struct {
	cfg   Config
	mu    sync.RWMutex
	pools map[poolKey]*pool
	// params are the parameters that the first upstream of the group reported.
	params map[ident.GroupName]map[string]string
}

// New returns Pools without connections.
func New(cfg Config) *Pools {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.MaxMessage == 0 {
		cfg.MaxMessage = defaultMaxMessage
	}
	if cfg.Reset == "" {
		cfg.Reset = defaultReset
	}
	if cfg.Now == nil {
		start := time.Now()
		cfg.Now = func() time.Duration { return time.Since(start) }
	}
	return &Pools{cfg: cfg, pools: map[poolKey]*pool{}, params: map[ident.GroupName]map[string]string{}}
}

// Acquire leases a connection to the target. It waits until one is free or ctx ends.
// Idle connections that prefer accepts come first; prefer may be nil. An error means
// that nothing was sent on behalf of the request.
func (p *Pools) Acquire(ctx context.Context, target request.Target, prefer func(*Conn) bool) (*Lease, error) {
	return p.pool(target).acquire(ctx, target, prefer)
}

func (p *Pools) pool(target request.Target) *pool {
	key := poolKey{target.Group, target.Upstream}
	p.mu.RLock()
	pl := p.pools[key]
	p.mu.RUnlock()
	if pl != nil {
		return pl
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl = p.pools[key]; pl == nil {
		pl = &pool{pools: p, leases: map[*Conn]struct{}{}}
		p.pools[key] = pl
	}
	return pl
}

// Parameters returns the parameters that an upstream of the group reported at
// startup, or nil before the first connection. The map must not be modified.
func (p *Pools) Parameters(group ident.GroupName) map[string]string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.params[group]
}

func (p *Pools) setParameters(group ident.GroupName, params map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.params[group] != nil {
		return
	}
	copied := make(map[string]string, len(params))
	for k, v := range params {
		copied[k] = v
	}
	p.params[group] = copied
}

// SetLeaving sets whether an upstream is leaving service. The idle connections of a
// leaving upstream are closed at once and its leased connections at release.
func (p *Pools) SetLeaving(group ident.GroupName, upstream ident.UpstreamName, leaving bool) {
	p.pool(request.Target{Group: group, Upstream: upstream}).setLeaving(leaving)
}

// errReplaced reports that an upstream was replaced as primary while it did not
// respond.
var errReplaced = errors.New("upstream was replaced")

// CloseReplaced closes every connection to a primary that did not respond and was
// replaced in the given term. The outcome of requests that wait for its responses is
// resolved at once, and requests that still target it in an earlier term are routed to
// another upstream.
func (p *Pools) CloseReplaced(group ident.GroupName, upstream ident.UpstreamName, term ident.Term) {
	p.pool(request.Target{Group: group, Upstream: upstream}).disconnectAll(term)
}

// EvictIdle closes connections that have been idle for Config.IdleTimeout.
func (p *Pools) EvictIdle() {
	for _, pl := range p.allPools() {
		pl.evictIdle(p.cfg.Now() - p.cfg.IdleTimeout)
	}
}

// Close closes every connection.
func (p *Pools) Close() {
	for _, pl := range p.allPools() {
		pl.disconnectAll(0)
	}
}

func (p *Pools) allPools() []*pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]*pool, 0, len(p.pools))
	for _, pl := range p.pools {
		out = append(out, pl)
	}
	return out
}

// PoolState describes a pool in a state dump.
type PoolState struct {
	Group    ident.GroupName    `json:"group"`
	Upstream ident.UpstreamName `json:"upstream"`
	Term     ident.Term         `json:"term"`
	Idle     int                `json:"idle"`
	Leased   int                `json:"leased"`
	Opening  int                `json:"opening"`
	Waiting  int                `json:"waiting"`
	// Limit is the current limit of the connections of this VM to the upstream.
	Limit   int  `json:"limit"`
	Leaving bool `json:"leaving"`
}

// Dump returns the state of all pools.
func (p *Pools) Dump() []PoolState {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]PoolState, 0, len(p.pools))
	for key, pl := range p.pools {
		s := pl.state()
		s.Group, s.Upstream = key.group, key.upstream
		out = append(out, s)
	}
	return out
}
