package takeover

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	core "github.com/rosemarywall/rosemarywall/internal/core/takeover"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

const (
	// notifiedVMs is the number of VMs that are notified of a suspicion, in order of rank.
	notifiedVMs = 2
	// suspicionHoldoff is the time after a response of a primary for which the suspicions of
	// other VMs are ignored, because they may be cut off from it.
	suspicionHoldoff = 3 * time.Second
)

// notifySuspicion notifies the first-ranked VMs for a group that its primary does not
// respond. In a large fleet they send it few statements themselves. c.mu is held.
func (c *Controller) notifySuspicion(g *group, primary catalog.Upstream, now time.Duration) {
	if now < g.nextNotify {
		return
	}
	g.nextNotify = now + rankDelay
	order := placement.Rank(c.cfg.Hubs(), rankKey(g.name))
	for _, vm := range order[:min(notifiedVMs, len(order))] {
		if vm.Name == c.cfg.Self {
			return // the VMs ranked after this one act only if it does not
		}
		c.cfg.Notify(vm.Name, execution.TargetOf(primary))
	}
}

// HandleSuspicion records the suspicion of another VM that a primary does not respond. This
// VM sends the primary a request before it acts.
func (c *Controller) HandleSuspicion(target execution.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, now := c.group(target.Group), c.cfg.Now()
	if now >= g.trustedUntil {
		c.detector(g, target.Upstream).PeerSuspicion(now)
	}
}

// detector returns the failure detector of a primary. c.mu is held.
func (c *Controller) detector(g *group, name ident.UpstreamName) *core.FailureDetector {
	d, ok := g.detectors[name]
	if !ok {
		d = &core.FailureDetector{}
		g.detectors[name] = d
	}
	return d
}

// ObservePrimary records the result of a statement sent to the primary.
func (c *Controller) ObservePrimary(target execution.Target, writes bool, result execution.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.detector(c.group(target.Group), target.Upstream)
	switch {
	case result.Reason == execution.Unreachable,
		result.Unanswered(),
		result.Outcome == execution.Failed && result.Code == statement.Timeout:
		d.Failure(c.cfg.Now(), writes)
	case result.Outcome == execution.Done:
		d.Success(writes)
	}
}
