package usage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	core "github.com/rosemarywall/rosemarywall/internal/core/usage"
	"github.com/rosemarywall/rosemarywall/internal/core/wallclock"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/relay"
	"github.com/rosemarywall/rosemarywall/internal/servicemetrics"
)

const (
	// sendInterval is the time between messages of a source. A VM that is killed loses what
	// it counted in that time.
	sendInterval = 500 * time.Millisecond
	// sendTimeout bounds a message. It exceeds a round trip between regions many times.
	sendTimeout = time.Second
	// futureTolerance is the time before the beginning of a window from which counts of it
	// are accepted. It exceeds the differences between the estimated clocks of VMs.
	futureTolerance = 500 * time.Millisecond
	// clockWarningThreshold is the error of the VM's own wall clock above which it is logged.
	clockWarningThreshold = 500 * time.Millisecond
)

// PeerClient sends requests to other VMs.
type PeerClient interface {
	Call(ctx context.Context, to ident.VMName, kind relay.Kind, request, response any) error
}

// Fleet is what is known about the other VMs.
type Fleet interface {
	PeerClient
	// Hubs returns the live hubs.
	Hubs() []placement.VM
	// RespondingHubs returns the number of hubs that respond and of those that are known.
	RespondingHubs() (responding, known int)
	// Address returns the address of a VM that responds.
	Address(vm ident.VMName) (string, bool)
	// Knows reports whether a VM is part of the fleet.
	Knows(vm ident.VMName) bool
}

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Self    relay.Identity
	Windows core.Windows
	// Lease is the shortest time between two holders; zero sets no limit.
	Lease    time.Duration
	Store    Store
	Reporter Reporter
	Fleet    Fleet
	Snapshot func() *storesync.Snapshot
	// OldestRunning returns when the oldest statement without a result was sent.
	OldestRunning func() (time.Duration, bool)
	// WallClock returns the wall-clock time of this VM since the start of 1970.
	WallClock func() time.Duration
	// UniqueID returns an identifier that no other write of any VM has.
	UniqueID func() string
	Now      func() time.Duration
	Log      zerolog.Logger
}

// Controller counts, sends, collects and reports requests.
type Controller struct {
	cfg Config
	// offset is the estimated offset of the true time since the start of 1970 from Now, in
	// nanoseconds.
	offset atomic.Int64

	// lastHubs are the newest known hubs that had not all left.
	lastHubs atomic.Pointer[[]placement.VM]

	clockMu sync.Mutex
	clock   wallclock.Estimator
	samples int
	// clockOff is set while the error of the own clock is above clockWarningThreshold.
	clockOff bool
	ownError time.Duration

	mu         sync.Mutex
	counter    *core.Counter
	roundTrips core.RoundTrips
	collector  *core.Collector
	reporter   *core.Reporter
	outboxes   map[ident.VMName]*outbox
	// organisations are those of this and of earlier configurations.
	organisations map[ident.OrganisationName]bool
	configuration ident.ConfigurationVersion
	// incarnations holds the newest known incarnation of the VMs that are probed.
	incarnations map[ident.VMName]ident.Incarnation
}

// New returns a Controller. Run must be called to start it.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg: cfg, counter: core.NewCounter(), collector: core.NewCollector(uint64(cfg.Self.Incarnation)), outboxes: map[ident.VMName]*outbox{},
		organisations: map[ident.OrganisationName]bool{}, incarnations: map[ident.VMName]ident.Incarnation{},
	}
	c.reporter = core.NewReporter(core.ReporterConfig{Self: cfg.Self.VM, Windows: cfg.Windows, Lease: cfg.Lease, UniqueID: cfg.UniqueID}, c.collector)
	c.estimateTime()
	return c
}

// Run sends counts and reports windows until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var reports sync.WaitGroup
	reports.Go(func() { recovery.Loop(ctx, c.cfg.Log, "usage reports", c.runReporter) })
	defer reports.Wait()
	c.runSender(ctx)
}

// hubs returns the live hubs. If all of them stop at the same time, it returns the last ones
// that were not known to stop: they still collect counts, and windows end meanwhile.
func (c *Controller) hubs() []placement.VM {
	if hubs := c.cfg.Fleet.Hubs(); len(hubs) > 0 {
		c.lastHubs.Store(&hubs)
		return hubs
	}
	if last := c.lastHubs.Load(); last != nil {
		return *last
	}
	return nil
}

// unix returns the estimated true time since the start of 1970 at a time of Now.
func (c *Controller) unix(at time.Duration) time.Duration {
	return at + time.Duration(c.offset.Load())
}

// CountBegun counts a statement that an upstream began or may have begun to run. Those of
// public routes have no organisation to which they could be reported.
func (c *Controller) CountBegun(b execution.Begun) {
	if b.Request.Organisation == "" {
		return
	}
	answered := b.Result.Outcome != execution.Unknown
	if !core.CountedUnit.Counts(core.Statement{OfClient: b.Request.ID != "", FirstOfOperation: b.Request.Mode != execution.Continue, Answered: answered, Code: b.Result.Code}) {
		return
	}
	address := b.Request.Target.Address
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		c.roundTrips.Observe(c.cfg.Windows.At(c.unix(b.SentAt)), address, b.AnsweredAt-b.SentAt)
	}
	began := core.BeganAt(b.SentAt, b.AnsweredAt, c.roundTrips.Half(address), 0)
	c.counter.Add(c.cfg.Windows.At(c.unix(began)), b.Request.Organisation)
}

// ObserveProbe records the wall clock and the incarnation that a peer has sent in its
// response to a probe. wallClock is zero if the peer sent none.
func (c *Controller) ObserveProbe(sentAt time.Duration, from ident.VMName, wallClock time.Duration, incarnation ident.Incarnation) {
	receivedAt := c.cfg.Now()
	c.mu.Lock()
	c.incarnations[from] = incarnation
	c.mu.Unlock()
	if wallClock <= 0 {
		return
	}
	c.clockMu.Lock()
	defer c.clockMu.Unlock()
	c.clock.Observe(wallclock.Sample{Peer: from, SentAt: sentAt, ReceivedAt: receivedAt, WallClock: wallClock})
}

// estimateTime updates the estimate of the true time.
func (c *Controller) estimateTime() {
	c.clockMu.Lock()
	defer c.clockMu.Unlock()
	now := c.cfg.Now()
	own := c.cfg.WallClock()
	c.clock.ObserveOwn(now, own)
	estimate, _ := c.clock.Estimate(now)
	c.offset.Store(int64(estimate.Offset))
	c.samples, c.ownError = estimate.Samples, own-now-estimate.Offset
	if off := c.ownError.Abs() > clockWarningThreshold; off != c.clockOff {
		c.clockOff = off
		c.cfg.Log.Warn().Bool("off", off).Dur("error_ms", c.ownError).Int("samples", c.samples).Dur("estimate_error_ms", estimate.Error).Msg("wall clock compared with peers")
	}
}

// Handle merges the totals of another VM.
func (c *Controller) Handle(from relay.Identity, m core.Message) core.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receive(core.Source{VM: from.VM, Incarnation: from.Incarnation}, m)
}

// receive merges totals; c.mu must be held.
func (c *Controller) receive(from core.Source, m core.Message) core.Response {
	c.learnOrganisations()
	return c.collector.Receive(from, m, core.Receiver{
		KnowsSource:       from.VM == c.cfg.Self.VM || c.cfg.Fleet.Knows(from.VM),
		KnowsOrganisation: func(name ident.OrganisationName) bool { return c.organisations[name] },
		Newest:            c.cfg.Windows.At(c.unix(c.cfg.Now()) + futureTolerance),
	})
}

// learnOrganisations adds the organisations of a new configuration. Those of earlier ones
// remain, since requests of them may still be reported; c.mu must be held.
func (c *Controller) learnOrganisations() {
	catalog := c.cfg.Snapshot().Catalog
	if catalog.Version == c.configuration {
		return
	}
	c.configuration = catalog.Version
	for name := range catalog.Organisations {
		c.organisations[name] = true
	}
}

// Stats returns the figures for the metrics.
func (c *Controller) Stats() servicemetrics.UsageStats {
	c.clockMu.Lock()
	clockError := c.ownError
	c.clockMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	windows, requests := c.reporter.Stats(), c.counter.Stats()
	return servicemetrics.UsageStats{
		Reported: windows.Reported, Repeated: windows.Repeated, LateWindows: windows.Late, Missed: windows.Missed, Skipped: windows.Skipped,
		Counted: requests.Counted, Lost: requests.Lost, Received: c.collector.Received(),
		Outstanding: requests.Outstanding, Generation: c.reporter.Generation(), ClockError: clockError,
	}
}

// KindReport and reportName identify the record of the reporter in the store.
const (
	KindReport objectapi.Kind = "rosemarywall-usage"
	reportName string         = "report"
)

// Store stores the record.
type Store interface {
	Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error)
	Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error)
}
