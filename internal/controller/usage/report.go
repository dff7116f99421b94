package usage

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	core "github.com/rosemarywall/rosemarywall/internal/core/usage"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// stepInterval is the time between checks of what the reporter has to do, and
	// idleStepInterval that on the other VMs.
	stepInterval     = 100 * time.Millisecond
	idleStepInterval = 500 * time.Millisecond
	// maxActions limits the actions of one check.
	maxActions   = 8
	storeTimeout = 800 * time.Millisecond
	// reportTimeout bounds a call of the platform, which may be slow. The report is sent
	// again after it.
	reportTimeout = 2 * time.Second
)

// runReporter carries out what the reporter decides until ctx ends.
func (c *Controller) runReporter(ctx context.Context) {
	wait := idleStepInterval
	for clock.Sleep(ctx, wait) {
		wait = idleStepInterval
		if c.rank() == 0 {
			wait = stepInterval
		}
		for n := 0; n < maxActions && c.step(ctx); n++ {
		}
	}
}

// rank returns the rank of this VM among the hubs, or -1. A VM that stops and knows no other
// hub continues to report.
func (c *Controller) rank() int {
	hubs := c.hubs()
	if len(hubs) == 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.reporter.Holds() {
			return 0
		}
		return -1
	}
	return slices.IndexFunc(placement.Rank(hubs, rankKey), func(v placement.VM) bool { return v.Name == c.cfg.Self.VM })
}

// view returns what this VM knows about the fleet.
func (c *Controller) view() core.View {
	responding, known := c.cfg.Fleet.RespondingHubs()
	v := core.View{Rank: c.rank(), Minority: responding*2 <= known && known > 0, Alive: func(vm ident.VMName) bool {
		_, responds := c.cfg.Fleet.Address(vm)
		return responds || vm == c.cfg.Self.VM
	}}
	for _, hub := range c.hubs() {
		v.Hubs = append(v.Hubs, hub.Name)
	}
	c.clockMu.Lock()
	samples := c.samples
	c.clockMu.Unlock()
	if samples*2 < responding {
		v.Rank = -1 // this VM has just started and knows its own clock only
	}
	return v
}

// step carries out one action of the reporter and reports whether there was one.
func (c *Controller) step(ctx context.Context) bool {
	view, now := c.view(), c.cfg.Now()
	c.mu.Lock()
	view.Unsettled, view.HasUnsettled = c.counter.Oldest()
	held := c.reporter.Holds()
	a := c.reporter.Next(now, c.unix(now), view)
	c.mu.Unlock()
	switch a.Kind {
	case core.ReadRecord:
		c.read(ctx)
	case core.WriteRecord:
		c.write(ctx, a)
	case core.SendReport:
		c.report(ctx, a)
	default:
		return false
	}
	c.logClaim(held)
	return true
}

// logClaim logs a change of the reporter.
func (c *Controller) logClaim(held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if holds := c.reporter.Holds(); holds != held {
		c.cfg.Log.Info().Bool("holds", holds).Uint64("generation", c.reporter.Generation()).Msg("usage reporter changed")
	}
}

func (c *Controller) read(ctx context.Context) {
	startedAt := c.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := c.cfg.Store.Get(ctx, KindReport, reportName)
	var record core.Record
	switch {
	case resultcode.Is(err, resultcode.PlatformNotFound):
		err = nil
	case err == nil:
		if decodeErr := o.Decode(&record); decodeErr != nil {
			c.cfg.Log.Warn().Err(decodeErr).Msg("usage record unreadable, it is replaced")
			record = core.Record{}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.cfg.Log.Info().Err(err).Msg("usage record not read")
		c.reporter.ReadFailed(c.cfg.Now())
		return
	}
	c.reporter.RecordRead(startedAt, c.cfg.Now(), record, o.Version)
}

func (c *Controller) write(ctx context.Context, a core.Action) {
	if len(a.Missing) > 0 {
		c.cfg.Log.Warn().Int64("window", a.Record.Window).Int("missing", len(a.Missing)).Str("first", string(a.Missing[0])).Msg("usage window closed without all counts")
	}
	startedAt := c.cfg.Now()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := c.cfg.Store.Put(call, KindReport, reportName, a.Record, a.Base)
	if err != nil {
		c.cfg.Log.Info().Err(err).Int64("window", a.Record.Window).Uint64("generation", a.Record.Generation).Msg("usage record not written")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reporter.RecordWritten(startedAt, c.cfg.Now(), a, writeOutcome(err), o.Version)
}

// writeOutcome returns what is known of a write. The store may still carry out a write
// without a response.
func writeOutcome(err error) core.Outcome {
	switch resultcode.Of(err) {
	case resultcode.PlatformConflict, resultcode.PlatformHistoryGone, resultcode.PlatformNotFound:
		return core.Conflicted
	case resultcode.PlatformQuota, resultcode.PlatformUnavailable, resultcode.PlatformTooLarge, resultcode.PlatformBadRequest:
		return core.HadNoEffect
	}
	if err == nil {
		return core.Succeeded
	}
	return core.Uncertain
}

func (c *Controller) report(ctx context.Context, a core.Action) {
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	outcome := core.HadNoEffect
	var err error
	if c.cfg.Now() <= a.NotAfter {
		err = c.cfg.Reporter.ReportUsage(call, c.cfg.Self.VM, a.Record.Generation, a.Record.Window, a.Record.Counts)
		outcome = reportOutcome(err)
	}
	now := c.cfg.Now()
	line := c.cfg.Log.Info()
	if outcome != core.Succeeded {
		line = c.cfg.Log.Warn().Err(err)
	}
	line.Bool("accepted", outcome == core.Succeeded).Int64("window", a.Record.Window).Uint64("generation", a.Record.Generation).
		Uint64("requests", a.Record.Counts.Sum()).Int("organisations", len(a.Record.Counts)).
		Dur("after_ms", c.unix(now)-c.cfg.Windows.End(a.Record.Window)).Msg("usage report sent")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reporter.ReportSent(now, c.unix(now), a, outcome)
}

// reportOutcome returns what is known of a report.
func reportOutcome(err error) core.Outcome {
	if outcome := writeOutcome(err); resultcode.Of(err) != resultcode.PlatformNotFound {
		return outcome
	}
	return core.HadNoEffect
}
