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

// The commit holders of a group, called ledger in the log, are the upstreams that may
// be the only ones besides the primary to hold an acknowledged commit. They are kept in
// the store, because VMs lose their state and the log of a replica that leaves is lost
// with it: otherwise a VM that has just started would promote a replica that never
// received what the departed one had acknowledged.
//
// An upstream is added when it is registered. It is removed when it is deregistered, does not
// respond although its availability zone does, and another replica has since received
// everything that the primary had. An upstream that does not respond together with its zone
// may be cut off, and confirm commits again after the cut.

const (
	// holdersInterval is the time between updates by one VM of commit holders that differ
	// from the registrations.
	holdersInterval = time.Second
	// deregisteredDelay is the time for which a registration must be missing before its
	// upstream may be removed.
	deregisteredDelay = 3 * time.Second
)

// maintainHolders starts an update of commit holders that differ from the registrations.
// c.mu is held.
func (c *Controller) maintainHolders(ctx context.Context, g *group, spec catalog.Group, snapshot *storesync.Snapshot, primary *catalog.Upstream, now time.Duration) {
	if g.busy || primary == nil || now < g.nextHolders {
		return
	}
	unmarked := !g.record.Done && g.record.Candidate == primary.Name
	formerEra := g.record.at > 0 && g.record.version.Era() < snapshot.Era
	confirmed := g.record.Primary == primary.Name && (g.record.PrimaryCall == g.record.CallNumber || g.record.pendingCandidate(now) != "")
	if g.record.at > 0 && confirmed && !unmarked && !formerEra && !g.record.unsaved && !g.holdersDiffer(snapshot, now) {
		return
	}
	if c.rank(g.name) > 0 && !formerEra && !g.record.unsaved {
		g.nextHolders = now + holdersInterval
		return
	}
	g.busy, g.nextHolders = true, now+holdersInterval
	t := &attempt{controller: c, group: g, spec: spec, snapshot: snapshot, reason: "ledger", primary: primary}
	t.start("update commit holders", func() { t.updateHolders(ctx) })
}

// holdersDiffer reports whether the commit holders lack a registered upstream or its log, or
// include a deregistered one.
func (g *group) holdersDiffer(snapshot *storesync.Snapshot, now time.Duration) bool {
	present := map[ident.UpstreamName]bool{}
	for _, u := range snapshot.Upstreams[g.name] {
		at, deregistered := snapshot.Deregistered[u.Name]
		present[u.Name] = !deregistered || now < at+deregisteredDelay
		if _, known := g.record.Logs[u.Name]; !deregistered && (!known || g.record.logLost(u)) {
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

// registered returns the registered upstreams of the group.
func (t *attempt) registered() []catalog.Upstream { return registeredIn(t.snapshot, t.group.name) }

func registeredIn(snapshot *storesync.Snapshot, group ident.GroupName) []catalog.Upstream {
	return slices.DeleteFunc(slices.Clone(snapshot.Upstreams[group]), func(u catalog.Upstream) bool {
		_, deregistered := snapshot.Deregistered[u.Name]
		return deregistered
	})
}

// updateHolders adds the registered upstreams to the commit holders, and removes the
// deregistered ones, and the logs that are lost, whose commits are on another replica.
func (t *attempt) updateHolders(ctx context.Context) {
	seen, err := t.read(ctx)
	if err != nil {
		return
	}
	registered := t.registered()
	next := seen.record.addHolders(registered)
	t.removeCovered(ctx, &next, registered)
	next.Primary = t.primary.Name
	switch {
	case !seen.Done && seen.Candidate == t.primary.Name:
		// The holder of the generation died or could not mark its change as done.
		next.Done, next.Candidate, next.Demoted, next.PrimaryCall = true, "", false, next.CallNumber
	case seen.pendingCandidate(t.controller.cfg.Now()) == "" && next.PrimaryCall != next.CallNumber && t.leads(ctx):
		next.PrimaryCall = next.CallNumber
	case next.Primary != seen.Primary:
		next.PrimaryCall = 0
	}
	if next.Primary == seen.Primary && next.Done == seen.Done && next.PrimaryCall == seen.PrimaryCall &&
		maps.Equal(next.Holders, seen.Holders) && maps.Equal(next.Logs, seen.Logs) && !seen.unsaved {
		return
	}
	next.Writer = t.controller.cfg.UniqueID()
	err = t.write(ctx, next, seen.version)
	t.log(t.controller.cfg.Log.Info()).Err(err).Int("holders", len(next.Holders)).Msg("ledger written")
}

// leads reports whether the registered primary responds as the primary.
func (t *attempt) leads(ctx context.Context) bool {
	status, err := t.status(ctx, execution.TargetOf(*t.primary), statusCommand(*t.primary))
	return err == nil && status.Primary
}

// removeCovered removes deregistered upstreams that have gone and logs that are lost, if a
// registered replica has received everything that the primary has now.
func (t *attempt) removeCovered(ctx context.Context, r *record, registered []catalog.Upstream) {
	if t.controller.withdrawn(t.primary.Zone) {
		return // its position cannot be read
	}
	present := map[ident.UpstreamName]bool{}
	var restarted []catalog.Upstream
	for _, u := range registered {
		present[u.Name] = true
		if r.logLost(u) {
			restarted = append(restarted, u)
		}
	}
	var gone []ident.UpstreamName
	for name, address := range r.Holders {
		if !present[name] && t.gone(ctx, execution.Target{Group: t.group.name, Upstream: name, Address: address}, r.Logs[name].Zone) {
			gone = append(gone, name)
		}
	}
	if len(gone)+len(restarted) == 0 || !t.caughtUp(ctx, present) {
		return
	}
	for _, name := range gone {
		delete(r.Holders, name)
		delete(r.Logs, name)
	}
	for _, u := range restarted {
		r.Logs[u.Name] = holderLog{Incarnation: u.Incarnation, Zone: u.Zone}
	}
}

// gone reports whether a deregistered member has gone rather than been cut off: it responds
// neither to this VM nor to one in its zone.
func (t *attempt) gone(ctx context.Context, target execution.Target, zone ident.AvailabilityZone) bool {
	c := t.controller
	if c.withdrawn(zone) || c.Reachable(ctx, target) {
		return false // nothing is sent to a zone that is evacuated
	}
	return c.isolatedInZone(ctx, zone, target)
}

// caughtUp reads the primary's position and reports whether a replica reaches it within
// catchUpTimeout.
func (t *attempt) caughtUp(ctx context.Context, present map[ident.UpstreamName]bool) bool {
	c := t.controller
	status, err := t.status(ctx, execution.TargetOf(*t.primary), statusCommand(*t.primary))
	if err != nil || !status.Primary {
		return false
	}
	var replicas []catalog.Upstream
	for _, u := range t.nonPrimaryMembers() {
		if present[u.Name] && eligible(t.snapshot, u) {
			replicas = append(replicas, u)
		}
	}
	deadline := c.cfg.Now() + catchUpTimeout
	for c.cfg.Now() < deadline {
		for _, r := range t.sendCommand(ctx, replicas, statusCommand) {
			if r.Reached && r.Received.AtLeast(status.ReceivedPosition) {
				return true
			}
		}
		if len(replicas) == 0 || !clock.Sleep(ctx, catchUpPollInterval) {
			return false
		}
	}
	return false
}

// withHolders adds the commit holders that are not registered: they cannot become
// primary, but may hold a commit. It drops deregistered members that are no longer
// commit holders, because another replica has what they held. lostLogs are the members
// that have started again without the log that may hold a commit.
func (t *attempt) withHolders(members []catalog.Upstream) []catalog.Upstream {
	members = slices.DeleteFunc(members, func(u catalog.Upstream) bool {
		_, deregistered := t.snapshot.Deregistered[u.Name]
		_, holds := t.record.Holders[u.Name]
		return deregistered && !holds && t.holdersKnown
	})
	t.lostLogs = nil
	for _, u := range members {
		if t.record.logLost(u) {
			t.lostLogs = append(t.lostLogs, u.Name)
		}
	}
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
			members = append(members, catalog.Upstream{Name: name, Group: t.group.name, Address: address, State: catalog.Draining, Incarnation: t.record.Logs[name].Incarnation})
		}
	}
	return members
}
