package takeover

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/controller/following"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
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
	if g.busy || primary == nil || now < g.nextResume || c.rank(g.name) > 0 {
		return
	}
	var lagging []catalog.Upstream
	for _, u := range state.Upstreams[g.name] {
		if since, ok := g.lagging[u.Name]; ok && now >= since+laggingFor && u.Name != primary.Name {
			lagging = append(lagging, u)
		}
	}
	if len(lagging) == 0 {
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
	var paused []ident.UpstreamName
	for _, r := range t.ask(ctx, replicas, statusCommand) {
		if r.Paused {
			paused = append(paused, r.Name)
		}
	}
	if len(paused) == 0 {
		return
	}
	seen, err := t.read(ctx)
	if err != nil || !seen.Done && seen.Generation > 0 && c.cfg.Now() < seen.at+claimTime {
		return
	}
	for _, u := range replicas {
		for _, name := range paused {
			if u.Name == name {
				t.markPaused(u)
			}
		}
	}
	t.log(c.cfg.Log.Info()).Int("replicas", len(paused)).Msg("paused replicas resumed")
	t.resume(ctx)
}
