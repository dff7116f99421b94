package sharecontroller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/ratelimit"
	"github.com/rosemarywall/rosemarywall/internal/request"
)

// tickInterval is the time between ticks of the shares.Node. It is shorter than the
// demand horizon for which buckets hold tokens.
const tickInterval = 20 * time.Millisecond

// Config holds the dependencies of a Controller.
type Config struct {
	Mesh     peer.Mesh
	Platform objectapi.Client
	Source   request.ConfigurationSource
	Log      zerolog.Logger
	// Seed initialises the random number generator.
	Seed uint64
}

// Controller implements request.Limiter.
type Controller struct {
	cfg      Config
	self     peer.Member
	clock    *clock.Clock
	node     *shares.Node
	counters counters
	limiter  *ratelimit.Limiter
	reads    chan struct{}
	writes   chan shares.Write

	mu               sync.Mutex // guards the fields below
	tables           map[ident.AvailabilityZone]knownTable
	tableRequestedAt map[ident.AvailabilityZone]time.Duration // requests without a response
	observers        []func()
}

var _ request.Limiter = (*Controller)(nil)

// New returns a controller and registers its message handlers with the mesh, which must
// not have been started.
func New(cfg Config) *Controller {
	self := cfg.Mesh.Self()
	c := &Controller{
		cfg: cfg, self: self, clock: clock.New(),
		reads: make(chan struct{}, 1), writes: make(chan shares.Write, 1),
		tables:           map[ident.AvailabilityZone]knownTable{},
		tableRequestedAt: map[ident.AvailabilityZone]time.Duration{},
	}
	c.node = shares.NewNode(c.clock.Now(), self, rand.New(rand.NewPCG(cfg.Seed, uint64(self.Incarnation))))
	c.limiter = ratelimit.New(c.node.Escrow, c.clock.Now, c.sendBorrowRequests)
	c.registerHandlers()
	return c
}

// Run runs the controller until ctx ends. The messages of other VMs are handled by the
// mesh.
func (c *Controller) Run(ctx context.Context) {
	c.node.SetConfiguration(c.clock.Now(), c.cfg.Source.Current())
	c.cfg.Source.OnChange(func(current *configuration.Configuration) {
		c.node.SetConfiguration(c.clock.Now(), current)
	})
	c.cfg.Mesh.OnChange(func(members []peer.Member) { c.node.SetMembers(c.clock.Now(), members) })
	c.node.SetMembers(c.clock.Now(), c.cfg.Mesh.Members())
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){c.serveReads, c.serveWrites, c.watchTables} {
		wg.Go(func() { loop(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.tick(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	wg.Wait()
}

// SetListedVMs records a complete list of the platform's VMs.
func (c *Controller) SetListedVMs(names []ident.VMName) {
	c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) { l.SetListedVMs(names) })
}

// tick calls Tick of the shares.Node and performs its actions.
func (c *Controller) tick(ctx context.Context) {
	actions, requests := c.node.Tick(c.clock.Now())
	if actions.Read {
		select {
		case c.reads <- struct{}{}:
		default:
		}
	}
	if actions.Write != nil {
		select {
		case c.writes <- *actions.Write:
		default: // a write is in progress; the ledger repeats this one
		}
	}
	if actions.LeaseRequest != nil {
		c.counters.leaseRequests.Add(1)
		c.send(ctx, actions.Lessor, kindLeaseRequest, actions.LeaseRequest)
	}
	c.sendBorrowRequests(ctx, requests)
}

// leaveTimeout bounds Leave, which waits until loans have ended and then writes the
// table.
const leaveTimeout = shares.LoanHoldTime + 2*time.Second

// Leave hands this VM's share units over to another VM, which takes about
// shares.LoanHoldTime. It must be called after the last request and before the mesh
// leaves. Without it the share units stay unused until LeaseDuration + GuardInterval
// have passed. The error is that of the context when no other VM could take the share
// units, or the platform could not store the table, in time.
func (c *Controller) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) { l.Leave(c.clock.Now()) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for left := false; !left; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) { left = l.HasLeft() })
	}
	return nil
}

// Take implements request.Limiter.
func (c *Controller) Take(ctx context.Context, organisation ident.OrganisationName, n int) error {
	return c.limiter.Take(ctx, organisation, 0, n)
}
