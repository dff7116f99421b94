package takeover

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/controller/following"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	core "github.com/rosemarywall/rosemarywall/internal/core/takeover"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// A replica may stay paused after a takeover: the VM that paused it died, the order to
// resume was lost, or a pause was carried out late. Its readers see that it lags.

const (
	// laggingFor is the time for which a replica must lag before it is asked whether it
	// is paused. Replication delays are usually shorter.
	laggingFor = 1500 * time.Millisecond
	// laggingPause is the time between two such questions.
	laggingPause = 3 * time.Second
)

// ObserveReplica takes the result of a read at a replica.
func (c *Controller) ObserveReplica(target execution.Target, result execution.Result) {
	lags := result.Code == statement.Lagging
	if !lags && result.Outcome != execution.Done {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(target.Group)
	since, lagging := g.lagging[target.Upstream]
	switch {
	case !lags:
		delete(g.lagging, target.Upstream)
	case !lagging:
		g.lagging[target.Upstream] = c.cfg.Now()
	default:
		g.lagging[target.Upstream] = since
	}
}

// resumeForgotten looks for replicas that lag because they are paused although no
// takeover runs; c.mu is held.
func (c *Controller) resumeForgotten(ctx context.Context, g *group, spec catalog.Group, state *following.State, primary *catalog.Upstream, now time.Duration) {
	if g.busy || primary == nil || now < g.nextResume || len(g.lagging) == 0 {
		return
	}
	var lagging []catalog.Upstream
	for _, u := range state.Upstreams[g.name] {
		if since, ok := g.lagging[u.Name]; ok && now >= since+laggingFor && u.Name != primary.Name {
			lagging = append(lagging, u)
		}
	}
	if len(lagging) == 0 || c.rank(g.name) > 0 {
		return
	}
	g.busy, g.nextResume = true, now+laggingPause
	t := &attempt{controller: c, group: g, spec: spec, state: state, reason: "replica lags", primary: primary}
	go t.upkeep(func() { t.resumePaused(ctx, lagging) })
}

// resumePaused resumes those of the replicas that are paused, unless another VM's
// takeover is under way.
func (t *attempt) resumePaused(ctx context.Context, replicas []catalog.Upstream) {
	c := t.controller
	if !t.markPaused(replicas, t.ask(ctx, replicas, statusCommand)) {
		return
	}
	seen, err := t.read(ctx)
	if err != nil || !seen.Done && seen.Generation > 0 && c.cfg.Now() < seen.at+claimTime {
		return
	}
	t.resume(ctx, seen)
}

// markPaused remembers the replicas that have said that they are paused, and reports
// whether there are any. One that did not answer is left to resumeForgotten: an order to
// resume that has no answer either would make its pauses worthless for long.
func (t *attempt) markPaused(replicas []catalog.Upstream, reports []core.Report) bool {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	found := false
	for i, r := range reports {
		if r.Paused {
			found = true
			t.group.paused[replicas[i].Name] = execution.TargetOf(replicas[i])
		}
	}
	return found
}

// giveUp ends an attempt whose call certainly takes no effect, and lets the replicas
// that it has paused receive again.
func (t *attempt) giveUp(ctx context.Context) {
	seen, err := t.own(ctx)
	if err != nil {
		t.log(t.controller.cfg.Log.Info()).Err(err).Msg("replicas not resumed")
		return
	}
	if t.bound == "" {
		seen.Candidate = "" // the call of this attempt was refused or not made
	}
	t.resume(ctx, seen)
}

// resume orders the replicas that this VM has paused to receive again. The order is
// announced first: it may be carried out late, and a takeover that relies on a pause has
// to know. It is not given while a call may take effect that relies on the pauses.
func (t *attempt) resume(ctx context.Context, seen seenRecord) {
	c := t.controller
	c.mu.Lock()
	targets := maps.Clone(t.group.paused)
	c.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	start := c.cfg.Now()
	err := t.announceResume(ctx, seen, slices.Collect(maps.Keys(targets)))
	if took := c.cfg.Now() - start; err == nil && took > announcedFor {
		err = errors.Newf("the announcement took %s", took)
	}
	if err != nil {
		t.log(c.cfg.Log.Info()).Err(err).Int("replicas", len(targets)).Msg("replicas not resumed")
		return
	}
	t.log(c.cfg.Log.Info()).Int("replicas", len(targets)).Msg("replicas resumed")
	t.settleResume(ctx, t.orderResume(ctx, targets))
}

func (t *attempt) announceResume(ctx context.Context, seen seenRecord, names []ident.UpstreamName) error {
	now := t.controller.cfg.Now()
	if seen.pending(now) != "" {
		return errPending
	}
	r := seen.record
	r.Orders++
	r.Candidate, r.Resuming, r.Writer = "", seen.unanswered(now), t.controller.cfg.Unique()
	for _, name := range names {
		r.Resuming[name] = r.Orders
	}
	return t.write(ctx, r, seen.version)
}

// orderResume sends the orders and returns the replicas that have answered.
func (t *attempt) orderResume(ctx context.Context, targets map[ident.UpstreamName]execution.Target) []ident.UpstreamName {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answered []ident.UpstreamName
	for name, target := range targets {
		wg.Go(func() {
			if _, err := t.status(ctx, target, statement.Command{Kind: statement.ResumeCommand}); err != nil {
				t.log(t.controller.cfg.Log.Warn()).Err(err).Str("upstream", string(name)).Msg("replica not resumed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, name)
		})
	}
	wg.Wait()
	return answered
}

// settleResume records the answers, so that a pause of these replicas counts again.
func (t *attempt) settleResume(ctx context.Context, answered []ident.UpstreamName) {
	c := t.controller
	c.mu.Lock()
	for _, name := range answered {
		delete(t.group.paused, name)
	}
	seen := t.group.record
	c.mu.Unlock()
	if len(answered) == 0 {
		return
	}
	r := seen.record
	r.Resuming, r.Writer = maps.Clone(r.Resuming), c.cfg.Unique()
	for _, name := range answered {
		delete(r.Resuming, name)
	}
	if err := t.write(ctx, r, seen.version); err != nil {
		t.log(c.cfg.Log.Info()).Err(err).Msg("answers of resumed replicas not recorded")
	}
}
