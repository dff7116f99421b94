package steering

import (
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
)

// chooseForRead chooses the upstream with the lowest penalty for a read.
func (r *Router) chooseForRead(snapshot *storesync.Snapshot, requirement proxy.Requirement, now time.Duration) (proxy.Choice, bool) {
	minPosition, known := r.minReadPosition(requirement, now)
	primary, hasPrimary := r.currentPrimary(snapshot, requirement, now)
	var best catalog.Upstream
	bestPenalty := -1
	for _, u := range snapshot.Upstreams[requirement.Grant.Route.Group] {
		isPrimary := hasPrimary && u.Name == primary.Name
		if slices.Contains(requirement.Exclude, u.Name) || !known && !isPrimary {
			continue
		}
		level := r.availability(snapshot, requirement, u, now)
		if level == unusable || !r.slowStartAllows(snapshot, requirement, u, now, false) {
			continue
		}
		if p := r.penalty(u, isPrimary, level, minPosition, now); bestPenalty < 0 || p < bestPenalty {
			best, bestPenalty = u, p
		}
	}
	if bestPenalty < 0 || !r.slowStartAllows(snapshot, requirement, best, now, true) {
		return proxy.Choice{}, false
	}
	c := r.chooseExecutor(requirement, best, now)
	c.MinPosition, c.VerifyLeadership = minPosition, !known
	return c, true
}

func (r *Router) penalty(u catalog.Upstream, isPrimary bool, level int, minPosition ident.LogPoint, now time.Duration) int {
	p := level * penaltyLeaving
	switch {
	case r.cfg.Regions[u.Zone] != r.cfg.Self.Region:
		p += penaltyRegion
	case u.Zone != r.cfg.Self.Zone:
		p += penaltyZone
	}
	if isPrimary {
		p += penaltyPrimary
	}
	if s := r.upstreams[u.Name]; s != nil {
		if now < s.failedUntil {
			p += penaltyFailed
		}
		if !isPrimary && now < s.appliedAt+positionValidity && !s.applied.AtLeast(minPosition) {
			p += penaltyLagging
		}
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
	penaltyPrimary = 50
	penaltyRegion  = 20
	penaltyZone    = 10
)
