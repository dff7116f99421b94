package configcontroller

import (
	"context"
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/freshness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/request"
)

// Clock gives the time since the start of the process, as clock.Clock does.
type Clock interface {
	Now() time.Duration
}

// Options are the parts that a Controller uses. All but OnGroup and Log are needed.
type Options struct {
	Mesh     peer.Mesh
	Platform objectapi.Client
	Clock    Clock
	Writer   *objectapi.Writer
	// Seed drives the ramp and the choice of peers.
	Seed uint64
	// ShareTable returns the VMs that a share-table object lists.
	ShareTable func(value json.RawMessage) ([]ident.VMName, error)
	// OnGroup is given the group objects that the platform's watch shows while this
	// VM is a watcher; nil ignores them.
	OnGroup func(objectapi.Object)
	Log     zerolog.Logger
}

// Controller keeps the configuration of this VM current and proves that it is.
// It implements request.ConfigurationSource and request.Authoriser.
type Controller struct {
	mesh       peer.Mesh
	platform   objectapi.Client
	clock      Clock
	writer     *objectapi.Writer
	shareTable func(json.RawMessage) ([]ident.VMName, error)
	onGroup    func(objectapi.Object)
	log        zerolog.Logger
	ramp       ramp
	snapshot   atomic.Pointer[snapshot]
	vars       *expvar.Map

	applying   chan struct{} // holds one element while a note goes through this VM
	completing sync.WaitGroup

	mu        sync.Mutex // guards all fields below
	core      *freshness.State
	random    *rand.Rand
	contacts  [randomContacts]ident.VMName
	turn      int // of the watchers of the zone
	current   *view
	held      *view
	known     proposal // the highest proposal known
	zoneAcks  map[ident.AvailabilityZone]zoneAck
	acks      map[ident.VMName]ballot
	versions  map[ident.VMName]reported
	rampFrom  time.Duration
	watching  bool // this VM is a watcher and its platform answers
	listeners []func(*configuration.Configuration)
	pending   []*configuration.Configuration // not yet given to listeners
	changed   chan struct{}
	since     time.Duration // when the known ballot was first seen
	ackDue    chan struct{}
}

var (
	_ request.ConfigurationSource = (*Controller)(nil)
	_ request.Authoriser          = (*Controller)(nil)
)

// New returns a controller. It registers its messages with the mesh and must be
// called before the mesh starts; Run does the work.
func New(o Options) *Controller {
	self := o.Mesh.Self()
	c := &Controller{
		mesh: o.Mesh, platform: o.Platform, clock: o.Clock, writer: o.Writer, shareTable: o.ShareTable, onGroup: o.OnGroup, log: o.Log,
		vars:     new(expvar.Map).Init(),
		core:     freshness.New(self.Name, self.Zone, self.Incarnation),
		random:   rand.New(rand.NewPCG(o.Seed, 1)),
		zoneAcks: map[ident.AvailabilityZone]zoneAck{},
		acks:     map[ident.VMName]ballot{},
		versions: map[ident.VMName]reported{},
		rampFrom: notReturning,
		changed:  make(chan struct{}, 1),
		applying: make(chan struct{}, 1),
		ackDue:   make(chan struct{}, 1),
	}
	c.ramp.random = rand.New(rand.NewPCG(o.Seed, 2))
	c.current = newView(configuration.Empty(), self.Zone)
	c.publish()
	c.registerMessages()
	return c
}

// Current returns the newest accepted configuration that this VM knows.
func (c *Controller) Current() *configuration.Configuration {
	return c.snapshot.Load().accepted.configuration
}

// OnChange registers a function that Run calls with each newer configuration, in order.
func (c *Controller) OnChange(changed func(*configuration.Configuration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, changed)
}

// Vars returns the counters of this component for publication by expvar.
func (c *Controller) Vars() *expvar.Map { return c.vars }

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, part := range []func(context.Context){c.notifyListeners, c.exchange, c.watch, c.acknowledger} {
		running.Go(func() { part(ctx) })
	}
	running.Wait()
	c.completing.Wait()
	return ctx.Err()
}

func (c *Controller) notifyListeners(ctx context.Context) {
	for {
		c.mu.Lock()
		pending, listeners := c.pending, c.listeners
		c.pending = nil
		c.mu.Unlock()
		for _, configuration := range pending {
			for _, changed := range listeners {
				changed(configuration)
			}
		}
		select {
		case <-c.changed:
		case <-ctx.Done():
			return
		}
	}
}

// adopt puts an accepted configuration into force. Lower versions and the one in
// force are ignored. The caller holds the lock.
func (c *Controller) adopt(next *configuration.Configuration) {
	if next.Version <= c.core.Version() {
		return
	}
	old := c.current
	c.current = newView(next, c.mesh.Self().Zone)
	c.core.Adopt(next.Version, zonesOf(next))
	if c.held != nil && c.held.configuration.Version <= next.Version {
		c.held = nil
	}
	// A VM that starts takes the configuration in steps and is not returning to service.
	if old.zoneOut && !c.current.zoneOut && old.configuration.Version > 0 {
		c.rampFrom = c.clock.Now()
	}
	c.pending = append(c.pending, next)
	wake(c.changed)
	c.log.Info().Uint64("version", uint64(next.Version)).Msg("configuration in force")
	c.since = c.clock.Now()
}

// publish replaces the snapshot that requests are decided by. The caller holds the lock.
func (c *Controller) publish() {
	s := &snapshot{accepted: c.current, held: c.held, rampFrom: c.rampFrom}
	s.acceptedUntil, s.heldUntil = c.core.FreshUntil()
	if old := c.snapshot.Load(); old == nil || *old != *s {
		c.snapshot.Store(s)
	}
}

// wake makes the reader of a channel of capacity 1 run once more.
func wake(due chan struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

// locked runs a step on the state and publishes the result.
func (c *Controller) locked(step func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step()
	c.core.Tick(c.clock.Now())
	c.publish()
}

func zonesOf(c *configuration.Configuration) []ident.AvailabilityZone {
	zones := make([]ident.AvailabilityZone, 0, len(c.Zones))
	for zone := range c.Zones {
		zones = append(zones, zone)
	}
	return zones
}
