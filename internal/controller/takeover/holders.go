package takeover

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// The ledger of a group names the upstreams that may be alone in holding an
// acknowledged commit beside the primary. It lasts in the store, because VMs forget,
// and because the log of a replica that leaves is gone with it: without the ledger a
// VM that has just started would promote a replica that never received what the
// departed one had confirmed.
//
// An upstream enters when it is registered. It is removed when it is gone and another
// replica has received everything that the primary had after that.

const (
	// ledgerPause is the time between two looks of one VM at a ledger that differs from
	// the registrations.
	ledgerPause = time.Second
	// goneFor is the time for which a registration must be missing before its upstream
	// may be removed.
	goneFor = 3 * time.Second
)

// keepLedger starts the upkeep of a ledger that differs from the registrations; c.mu
// is held.
func (c *Controller) keepLedger(ctx context.Context, g *group, spec catalog.Group, state *storesync.Snapshot, primary *catalog.Upstream, now time.Duration) {
	if g.busy || primary == nil || now < g.nextLedger {
		return
	}
	unmarked := !g.record.Done && g.record.Candidate == primary.Name
	if g.record.at > 0 && g.record.Primary == primary.Name && !unmarked && !g.differs(state, now) {
		return
	}
	if c.rank(g.name) > 0 {
		g.nextLedger = now + ledgerPause
		return
	}
	g.busy, g.nextLedger = true, now+ledgerPause
	t := &attempt{controller: c, group: g, spec: spec, state: state, reason: "ledger", primary: primary}
	go t.upkeep(func() { t.updateLedger(ctx) })
}

// upkeep runs a step outside a takeover.
func (t *attempt) upkeep(step func()) {
	defer t.close()
	step()
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	t.group.busy = false
}

// differs reports whether the ledger lacks a registered upstream or names one that is
// gone.
func (g *group) differs(state *storesync.Snapshot, now time.Duration) bool {
	present := map[ident.UpstreamName]bool{}
	for _, u := range state.Upstreams[g.name] {
		at, gone := state.Deregistered[u.Name]
		present[u.Name] = !gone || now < at+goneFor
		if _, known := g.record.Holders[u.Name]; !known && !gone {
			return true
		}
	}
	for name := range g.record.Holders {
		if !present[name] {
			return true
		}
	}
	return false
}

// updateLedger adds what is registered, and removes what is gone and covered.
func (t *attempt) updateLedger(ctx context.Context) {
	seen, err := t.read(ctx)
	if err != nil {
		return
	}
	next := seen.record
	next.Holders = maps.Clone(seen.Holders)
	if next.Holders == nil {
		next.Holders = map[ident.UpstreamName]string{}
	}
	present := map[ident.UpstreamName]bool{}
	for _, u := range t.state.Upstreams[t.group.name] {
		if _, gone := t.state.Deregistered[u.Name]; !gone {
			present[u.Name], next.Holders[u.Name] = true, u.Address
		}
	}
	t.removeCovered(ctx, next.Holders, present)
	next.Primary = t.primary.Name
	if !seen.Done && seen.Candidate == t.primary.Name {
		// The holder has died, or could not mark its change as done.
		next.Done, next.Candidate = true, ""
	}
	if next.Primary == seen.Primary && next.Done == seen.Done && maps.Equal(next.Holders, seen.Holders) {
		return
	}
	next.Writer = t.controller.cfg.UniqueID()
	err = t.write(ctx, next, seen.version)
	t.log(t.controller.cfg.Log.Info()).Err(err).Int("holders", len(next.Holders)).Msg("ledger written")
}

// removeCovered removes upstreams that are gone, if another replica has received all
// that the primary has now.
func (t *attempt) removeCovered(ctx context.Context, holders map[ident.UpstreamName]string, present map[ident.UpstreamName]bool) {
	var gone []ident.UpstreamName
	for name, address := range holders {
		if !present[name] && !t.controller.Reachable(ctx, execution.Target{Group: t.group.name, Upstream: name, Address: address}) {
			gone = append(gone, name)
		}
	}
	if len(gone) == 0 || !t.covered(ctx, present) {
		return
	}
	for _, name := range gone {
		delete(holders, name)
	}
}

// covered asks the primary for its position, and then a replica until it has received
// that position.
func (t *attempt) covered(ctx context.Context, present map[ident.UpstreamName]bool) bool {
	c := t.controller
	status, err := t.status(ctx, execution.TargetOf(*t.primary), statusCommand(*t.primary))
	if err != nil || !status.Primary {
		return false
	}
	var replicas []catalog.Upstream
	for _, u := range t.others() {
		if present[u.Name] && fit(t.state, u) {
			replicas = append(replicas, u)
		}
	}
	deadline := c.cfg.Now() + catchUpTime
	for c.cfg.Now() < deadline {
		for _, r := range t.ask(ctx, replicas, statusCommand) {
			if r.Reached && r.Received.AtLeast(status.ReceivedPosition) {
				return true
			}
		}
		if len(replicas) == 0 || !clock.Sleep(ctx, catchUpPoll) {
			return false
		}
	}
	return false
}

// withHolders adds the upstreams that only the ledger knows: they cannot become
// primary, but may hold a commit. It drops those that have gone and that the ledger
// names no more: what they held is elsewhere.
func (t *attempt) withHolders(members []catalog.Upstream) []catalog.Upstream {
	members = slices.DeleteFunc(members, func(u catalog.Upstream) bool {
		_, gone := t.state.Deregistered[u.Name]
		_, holds := t.record.Holders[u.Name]
		return gone && !holds && len(t.record.Holders) > 0
	})
	known := map[ident.UpstreamName]bool{}
	if t.primary != nil {
		known[t.primary.Name] = true
	} else {
		known[t.record.Primary] = true
	}
	for _, u := range members {
		known[u.Name] = true
	}
	for name, address := range t.record.Holders {
		if !known[name] {
			members = append(members, catalog.Upstream{Name: name, Group: t.group.name, Address: address, State: catalog.Draining})
		}
	}
	return members
}
