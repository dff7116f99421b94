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

// Clock returns the time since the start of the process, as clock.Clock does.
type Clock interface {
	Now() time.Duration
}

// Options configures a Controller. All fields except OnGroup and Log are required.
type Options struct {
	Mesh     peer.Mesh
	Platform objectapi.Client
	Clock    Clock
	Writer   *objectapi.Writer
	// Seed seeds the admission during a ramp and the choice of random peers.
	Seed uint64
	// ShareTable decodes the VMs of a share-table object.
	ShareTable func(value json.RawMessage) ([]ident.VMName, error)
	// OnGroup, if not nil, receives the group objects of the platform's watch while
	// this VM is a watcher.
	OnGroup func(objectapi.Object)
	Log     zerolog.Logger
}

// Controller keeps the configuration of this VM up to date and proves that it is
// current. It implements request.ConfigurationSource and request.Authoriser.
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

	applySemaphore chan struct{} // held while this VM applies or completes a note
	completions    sync.WaitGroup

	mu                   sync.Mutex // guards all fields below
	state                *freshness.State
	random               *rand.Rand
	randomPeers          [randomPeerCount]ident.VMName
	watcherTurn          int // selects the next watcher of the zone
	current              *policy
	pending              *policy
	proposal             proposal // the highest known proposal
	zoneAcks             map[ident.AvailabilityZone]zoneAck
	vmAcks               map[ident.VMName]ballot
	versionReports       map[ident.VMName]versionReport
	rampStart            time.Duration
	watching             bool // this VM is a watcher and the platform responds
	listeners            []func(*configuration.Configuration)
	unnotified           []*configuration.Configuration // not yet passed to the listeners
	configurationChanged chan struct{}
	ballotSince          time.Duration // when the known ballot was first seen, or a version adopted
	ackDue               chan struct{}
}

var (
	_ request.ConfigurationSource = (*Controller)(nil)
	_ request.Authoriser          = (*Controller)(nil)
)

// New returns a controller. It registers message handlers with the mesh and must be
// called before the mesh starts. The controller works while Run is running.
func New(o Options) *Controller {
	self := o.Mesh.Self()
	c := &Controller{
		mesh: o.Mesh, platform: o.Platform, clock: o.Clock, writer: o.Writer, shareTable: o.ShareTable, onGroup: o.OnGroup, log: o.Log,
		vars:                 new(expvar.Map).Init(),
		state:                freshness.New(self.Name, self.Zone, self.Incarnation),
		random:               rand.New(rand.NewPCG(o.Seed, 1)),
		zoneAcks:             map[ident.AvailabilityZone]zoneAck{},
		vmAcks:               map[ident.VMName]ballot{},
		versionReports:       map[ident.VMName]versionReport{},
		rampStart:            noRamp,
		configurationChanged: make(chan struct{}, 1),
		applySemaphore:       make(chan struct{}, 1),
		ackDue:               make(chan struct{}, 1),
	}
	c.ramp.random = rand.New(rand.NewPCG(o.Seed, 2))
	c.current = newPolicy(configuration.Empty(), self.Zone)
	c.publishSnapshot()
	c.registerMessages()
	return c
}

// Current returns the newest accepted configuration that this VM knows.
func (c *Controller) Current() *configuration.Configuration {
	return c.snapshot.Load().accepted.configuration
}

// OnChange registers a function that Run calls with each new configuration, in order.
func (c *Controller) OnChange(changed func(*configuration.Configuration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, changed)
}

// Vars returns the controller's counters for publication by expvar.
func (c *Controller) Vars() *expvar.Map { return c.vars }

// Run runs the controller until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	var running sync.WaitGroup
	for _, task := range []func(context.Context){c.notifyListeners, c.gossip, c.watch, c.runAcknowledger} {
		running.Go(func() { task(ctx) })
	}
	running.Wait()
	c.completions.Wait()
	return ctx.Err()
}

func (c *Controller) notifyListeners(ctx context.Context) {
	for {
		c.mu.Lock()
		pending, listeners := c.unnotified, c.listeners
		c.unnotified = nil
		c.mu.Unlock()
		for _, configuration := range pending {
			for _, changed := range listeners {
				changed(configuration)
			}
		}
		select {
		case <-c.configurationChanged:
		case <-ctx.Done():
			return
		}
	}
}

// adopt puts an accepted configuration into force unless its version is in force
// already or older. The caller holds c.mu.
func (c *Controller) adopt(next *configuration.Configuration) {
	if next.Version <= c.state.Version() {
		return
	}
	old := c.current
	c.current = newPolicy(next, c.mesh.Self().Zone)
	c.state.Adopt(next.Version, zonesOf(next))
	if c.pending != nil && c.pending.configuration.Version <= next.Version {
		c.pending = nil
	}
	// Version 0 is in force when a VM starts. Receiving its first configuration is no
	// return to service.
	if old.zoneOut && !c.current.zoneOut && old.configuration.Version > 0 {
		c.rampStart = c.clock.Now()
	}
	c.unnotified = append(c.unnotified, next)
	signal(c.configurationChanged)
	c.log.Info().Uint64("version", uint64(next.Version)).Msg("configuration in force")
	c.ballotSince = c.clock.Now()
}

// publishSnapshot replaces the snapshot that requests are checked against. The caller
// holds c.mu.
func (c *Controller) publishSnapshot() {
	s := &snapshot{accepted: c.current, pending: c.pending, rampStart: c.rampStart}
	s.acceptedUntil, s.pendingUntil = c.state.FreshUntil()
	if old := c.snapshot.Load(); old == nil || *old != *s {
		c.snapshot.Store(s)
	}
}

// signal wakes the reader of a channel of capacity 1 without blocking.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// update changes the state under c.mu and publishes the resulting snapshot.
func (c *Controller) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.state.Tick(c.clock.Now())
	c.publishSnapshot()
}

func zonesOf(c *configuration.Configuration) []ident.AvailabilityZone {
	zones := make([]ident.AvailabilityZone, 0, len(c.Zones))
	for zone := range c.Zones {
		zones = append(zones, zone)
	}
	return zones
}
