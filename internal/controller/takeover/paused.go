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

// A replica may stay paused after a takeover, because the VM that paused it died, the
// resume command was lost, or a pause was executed late. Reads show that it lags.

const (
	// minLagDuration is the time for which a replica must lag before its status is
	// requested. Replication delays are usually shorter.
	minLagDuration = 1500 * time.Millisecond
	// lagCheckInterval is the time between two such requests.
	lagCheckInterval = 3 * time.Second
)

// ObserveReplica records the result of a read on a replica.
func (c *Controller) ObserveReplica(target execution.Target, result execution.Result) {
	lags := result.Code == statement.Lagging
	if !lags && result.Outcome != execution.Done {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(target.Group)
	since, lagging := g.laggingSince[target.Upstream]
	switch {
	case !lags:
		delete(g.laggingSince, target.Upstream)
	case !lagging:
		g.laggingSince[target.Upstream] = c.cfg.Now()
	default:
		g.laggingSince[target.Upstream] = since
	}
}

// resumeLagging resumes replicas that lag because they are paused although no takeover is
// in progress. c.mu is held.
func (c *Controller) resumeLagging(ctx context.Context, g *group, spec catalog.Group, snapshot *storesync.Snapshot, primary *catalog.Upstream, now time.Duration) {
	if g.busy || primary == nil || now < g.nextResume || len(g.laggingSince) == 0 {
		return
	}
	var lagging []catalog.Upstream
	for _, u := range snapshot.Upstreams[g.name] {
		if _, evacuated := snapshot.Evacuated[u.Zone]; evacuated {
			delete(g.laggingSince, u.Name) // its reads run elsewhere
		}
		if since, ok := g.laggingSince[u.Name]; ok && now >= since+minLagDuration && u.Name != primary.Name {
			lagging = append(lagging, u)
		}
	}
	if len(lagging) == 0 || c.rank(g.name) > 0 {
		return
	}
	g.busy, g.nextResume = true, now+lagCheckInterval
	t := &attempt{controller: c, group: g, spec: spec, snapshot: snapshot, reason: "replica lags", primary: primary}
	t.start("resume replicas", func() { t.resumePaused(ctx, lagging) })
}

// resumePaused resumes those of the replicas that are paused, unless the takeover of
// another VM may be in progress.
func (t *attempt) resumePaused(ctx context.Context, replicas []catalog.Upstream) {
	c := t.controller
	if !t.markPaused(replicas, t.sendCommand(ctx, replicas, statusCommand)) {
		return
	}
	seen, err := t.read(ctx)
	if err != nil || !seen.Done && seen.Generation > 0 && c.cfg.Now() < seen.at+claimTimeout {
		return
	}
	t.resume(ctx, seen)
}

// markPaused records the replicas that report to be paused, and reports whether there
// are any. A replica that did not respond is left to resumeLagging: a resume command
// without a response would invalidate its pauses for maxCommandDelay.
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
