package takeover

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	core "github.com/rosemarywall/rosemarywall/internal/core/takeover"
	"github.com/rosemarywall/rosemarywall/internal/execution"
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
func (c *Controller) resumeForgotten(ctx context.Context, g *group, spec catalog.Group, state *storesync.Snapshot, primary *catalog.Upstream, now time.Duration) {
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
