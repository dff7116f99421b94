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
	// told is the number of VMs that are told of a suspicion, those that act first.
	told = 2
	// trustFor is the time after an answer of a primary for which the suspicions of
	// others are ignored. They may be cut off from it.
	trustFor = 3 * time.Second
)

// tell tells the VMs that act first for a group that its primary does not answer. In a
// large fleet they send it few statements themselves. c.mu is held.
func (c *Controller) tell(g *group, primary catalog.Upstream, now time.Duration) {
	if now < g.nextTell {
		return
	}
	g.nextTell = now + rankDelay
	order := placement.Rank(c.cfg.Hubs(), rankKey(g.name))
	for _, vm := range order[:min(told, len(order))] {
		if vm.Name == c.cfg.Self {
			return // those after this VM act only if it does not
		}
		c.cfg.Notify(vm.Name, execution.TargetOf(primary))
	}
}

// HandleSuspicion takes the suspicion of another VM that a primary does not answer. This VM
// asks the primary itself before it acts.
func (c *Controller) HandleSuspicion(target execution.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, now := c.group(target.Group), c.cfg.Now()
	if now >= g.trusted {
		c.evidence(g, target.Upstream).PeerSuspicion(now)
	}
}

// evidence returns what is known about a primary; c.mu is held.
func (c *Controller) evidence(g *group, name ident.UpstreamName) *core.FailureDetector {
	e, ok := g.evidence[name]
	if !ok {
		e = &core.FailureDetector{}
		g.evidence[name] = e
	}
	return e
}

// ObservePrimary takes the result of a statement that was meant for the primary.
func (c *Controller) ObservePrimary(target execution.Target, writes bool, result execution.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.evidence(c.group(target.Group), target.Upstream)
	switch {
	case result.Reason == execution.Unreachable,
		result.Outcome == execution.Unknown && result.Reason != execution.PeerLost,
		result.Outcome == execution.Failed && result.Code == statement.Timeout:
		e.Failure(c.cfg.Now(), writes)
	case result.Outcome == execution.Done:
		e.Success(writes)
	}
}
