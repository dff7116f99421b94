package steering

import (
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/balance"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
)

// chooseForRead chooses the upstream for a read: the balancer decides between those of the
// lowest penalty.
func (r *Router) chooseForRead(snapshot *storesync.Snapshot, requirement proxy.Requirement, now time.Duration) (proxy.Choice, bool) {
	minPosition, known := r.minReadPosition(requirement, now)
	primary, hasPrimary := r.currentPrimary(snapshot, requirement, now)
	r.usable, r.candidates = r.usable[:0], r.candidates[:0]
	for _, u := range snapshot.Upstreams[requirement.Grant.Route.Group] {
		isPrimary := hasPrimary && u.Name == primary.Name
		if slices.Contains(requirement.Exclude, u.Name) || !known && !isPrimary {
			continue
		}
		level := r.availability(snapshot, requirement, u, now)
		if level == unusable || !r.slowStartAllows(snapshot, requirement, u, now, false) {
			continue
		}
		c := r.candidate(requirement, u, isPrimary, now)
		c.Class = level*penaltyLeaving + r.penalty(u, isPrimary, minPosition, now)
		r.usable, r.candidates = append(r.usable, u), append(r.candidates, c)
	}
	i := r.balancer.Choose(now, requirement.Grant.Route.LatencyTarget, r.candidates)
	if i < 0 || !r.slowStartAllows(snapshot, requirement, r.usable[i], now, true) {
		return proxy.Choice{}, false
	}
	c := r.chooseExecutor(requirement, r.usable[i], now)
	c.MinPosition, c.VerifyLeadership = minPosition, !known
	return c, true
}

// candidate describes an upstream to the balancer.
func (r *Router) candidate(requirement proxy.Requirement, u catalog.Upstream, isPrimary bool, now time.Duration) balance.Candidate {
	c := balance.Candidate{
		Upstream: u.Name, Slots: u.Slots, Primary: isPrimary,
		Distance: balance.Distance(u.Zone, r.cfg.Regions[u.Zone], r.cfg.Self.Zone, r.cfg.Self.Region),
		// All VMs prefer the same one of equally distant upstreams for an organisation, so
		// that its connections are reused.
		Order: balance.Order(string(requirement.Grant.Organisation.Name), string(u.Name)),
	}
	c.Trip, c.TripKnown = r.trips.Latest(u.Zone, now)
	if c.Distance == 0 {
		c.TripKnown = true // a hub without others in its zone measures none
	}
	return c
}

// penalty ranks upstreams by rules that take precedence over the expected time.
func (r *Router) penalty(u catalog.Upstream, isPrimary bool, minPosition ident.LogPoint, now time.Duration) int {
	s := r.upstreams[u.Name]
	if s == nil {
		return 0
	}
	p := 0
	if now < s.failedUntil {
		p += penaltyFailed
	}
	if !isPrimary && !s.applied.AtLeast(minPosition) && s.lag.Lacks(now, r.groupHistory(u.Group), minPosition, r.random) {
		p += penaltyLagging
	}
	return p
}

// minReadPosition returns the position that a read must see, or false if none is known.
func (r *Router) minReadPosition(requirement proxy.Requirement, now time.Duration) (ident.LogPoint, bool) {
	route := requirement.Grant.Route
	r.readAt[route.Group] = now
	samples := r.samples[route.Group]
	if samples == nil {
		return ident.LogPoint{}, false
	}
	position, ok := samples.OldestWithin(now, route.MaxStaleness)
	if ok && route.Consistency == catalog.ReadYourWrites && requirement.SessionPosition.Compare(position) > 0 {
		position = requirement.SessionPosition
	}
	return position, ok
}

// Penalties rank upstreams for reads. Each outweighs the sum of the smaller ones.
const (
	penaltyLeaving = 1000
	penaltyFailed  = 400
	penaltyLagging = 200
)
