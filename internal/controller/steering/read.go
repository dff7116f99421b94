package steering

import (
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
)

// read chooses the upstream of a read by the smallest penalty.
func (r *Router) read(state *storesync.Snapshot, need proxy.Requirement, now time.Duration) (proxy.Choice, bool) {
	point, known := r.point(need, now)
	primary, hasPrimary := r.primary(state, need, now)
	var best catalog.Upstream
	bestPenalty := -1
	for _, u := range state.Upstreams[need.Grant.Route.Group] {
		isPrimary := hasPrimary && u.Name == primary.Name
		if slices.Contains(need.Exclude, u.Name) || !known && !isPrimary {
			continue
		}
		level := r.unfit(state, need, u, now)
		if level == unusable || !r.warm(state, need, u, now, false) {
			continue
		}
		if p := r.penalty(u, isPrimary, level, point, now); bestPenalty < 0 || p < bestPenalty {
			best, bestPenalty = u, p
		}
	}
	if bestPenalty < 0 || !r.warm(state, need, best, now, true) {
		return proxy.Choice{}, false
	}
	c := r.seat(need, best, now)
	c.MinPosition, c.VerifyLeadership = point, !known
	return c, true
}

func (r *Router) penalty(u catalog.Upstream, isPrimary bool, level int, point ident.LogPoint, now time.Duration) int {
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
		if !isPrimary && now < s.appliedAt+lagMemory && !s.applied.AtLeast(point) {
			p += penaltyLagging
		}
	}
	return p
}

// point returns the position that a read must see; false when none is known.
func (r *Router) point(need proxy.Requirement, now time.Duration) (ident.LogPoint, bool) {
	route := need.Grant.Route
	samples := r.samples[route.Group]
	if samples == nil {
		return ident.LogPoint{}, false
	}
	point, ok := samples.OldestWithin(now, route.MaxStaleness)
	if ok && route.Consistency == catalog.ReadYourWrites && need.SessionPosition.Compare(point) > 0 {
		point = need.SessionPosition
	}
	return point, ok
}

// Penalties order upstreams for reads; each outweighs the sum of the smaller ones.
const (
	penaltyLeaving = 1000
	penaltyFailed  = 400
	penaltyLagging = 200
	penaltyPrimary = 50
	penaltyRegion  = 20
	penaltyZone    = 10
)
