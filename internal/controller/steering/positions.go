package steering

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/balance"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/staleness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
)

// A read on a replica needs a position that a primary has reported within the maximum
// staleness. In a large fleet a single VM sends so few statements to each primary that it
// seldom knows one, and its reads would burden the primaries. The VMs therefore share
// positions: the hub that follows the store for a zone requests those of the groups that
// its zone reads from a hub near each primary, and the other VMs of the zone request them
// from that hub. A relayed position is dated by the sending of the request minus its age,
// so that no delay makes it appear newer than it is.

const (
	// positionDivisor divides the shortest maximum staleness to give the interval between
	// requests. A position passes through two of them and through the replication lag.
	positionDivisor = 4
	// minPositionInterval and maxPositionInterval bound that interval.
	minPositionInterval = 200 * time.Millisecond
	maxPositionInterval = 2 * time.Second
	// readTime is the time after the last read of a group for which its positions are
	// requested.
	readTime = 5 * time.Second
)

// PositionsRequest requests the newest known positions of the primaries of groups.
type PositionsRequest struct {
	Groups []ident.GroupName `cbor:"1,keyasint"`
	// Figures are those of upstreams that the VM has observed since its last request.
	Figures []UpstreamFigures `cbor:"2,keyasint,omitempty"`
	// MaxAge is the time within which the receiver must have learned the figures of the
	// upstreams of these groups that it returns; zero if none are requested.
	MaxAge time.Duration `cbor:"3,keyasint,omitempty"`
}

// RelayedPosition is a position that a primary has reported. It is zero if none is known.
type RelayedPosition struct {
	Point ident.LogPoint `cbor:"1,keyasint"`
	// Age is the time since the request to the primary was sent.
	Age time.Duration `cbor:"2,keyasint"`
}

// PositionsResponse is the response to a PositionsRequest.
type PositionsResponse struct {
	// Positions are in the order of the groups in the request.
	Positions []RelayedPosition `cbor:"1,keyasint"`
	Figures   []UpstreamFigures `cbor:"2,keyasint,omitempty"`
}

// ServePositions handles a PositionsRequest. The VM requests the positions of these groups
// itself from then on.
func (r *Router) ServePositions(q PositionsRequest) PositionsResponse {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	response := PositionsResponse{Positions: make([]RelayedPosition, len(q.Groups))}
	for i, group := range q.Groups {
		r.readAt[group] = now
		if sentAt, point, ok := r.groupSamples(group).Newest(); ok {
			response.Positions[i] = RelayedPosition{Point: point, Age: now - sentAt}
		}
	}
	r.recordFigures(now, q.Figures)
	if q.MaxAge > 0 {
		since := now - min(q.MaxAge, balance.FigureValidity)
		response.Figures = r.figuresOfGroups(now, q.Groups, func(s *upstreamState) bool { return s.changedAt >= since })
	}
	return response
}

// RecordPosition records a position that a verified primary reported in response to a
// request sent at sentAt.
func (r *Router) RecordPosition(group ident.GroupName, sentAt time.Duration, point ident.LogPoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groupSamples(group).Add(sentAt, point)
	r.groupHistory(group).Add(sentAt, point)
}

// groupSamples returns the samples of a group; r.mu must be held.
func (r *Router) groupSamples(group ident.GroupName) *staleness.Samples {
	samples := r.samples[group]
	if samples == nil {
		samples = &staleness.Samples{}
		r.samples[group] = samples
	}
	return samples
}

// FollowPositions requests the positions of the groups that are read, until ctx ends.
func (r *Router) FollowPositions(ctx context.Context) {
	for {
		interval := positionInterval(r.cfg.Snapshot().Catalog)
		if !clock.Sleep(ctx, interval) {
			return
		}
		for vm, groups := range r.positionSources() {
			recovery.Go(r.cfg.Log, "request positions", func() {
				ctx, cancel := context.WithTimeout(ctx, interval)
				defer cancel()
				r.requestPositions(ctx, vm, groups)
			})
		}
	}
}

// positionInterval returns the interval between requests.
func positionInterval(c *catalog.Catalog) time.Duration {
	shortest := positionDivisor * maxPositionInterval
	for _, route := range c.Routes {
		if route.MaxStaleness > 0 {
			shortest = min(shortest, route.MaxStaleness)
		}
	}
	return max(minPositionInterval, shortest/positionDivisor)
}

// positionSources returns the VMs from which to request positions, with the groups.
func (r *Router) positionSources() map[ident.VMName][]ident.GroupName {
	snapshot, now := r.cfg.Snapshot(), r.cfg.Now()
	hubs := r.cfg.Hubs()
	relay, relayed := r.cfg.Relay()
	r.mu.Lock()
	defer r.mu.Unlock()
	sources := map[ident.VMName][]ident.GroupName{}
	for group, at := range r.readAt {
		if now >= at+readTime {
			delete(r.readAt, group)
			continue
		}
		source := relay
		if !relayed {
			source = r.hubNearPrimary(snapshot, hubs, group)
		}
		if source != "" {
			sources[source] = append(sources[source], group)
		}
	}
	return sources
}

// hubNearPrimary returns another VM that executes statements on the primary of a group, or
// "" if none is known.
func (r *Router) hubNearPrimary(snapshot *storesync.Snapshot, hubs []placement.VM, group ident.GroupName) ident.VMName {
	zone, ok := primaryZone(snapshot, group)
	if !ok {
		return ""
	}
	for _, vm := range placement.Rank(placement.Nearest(hubs, zone, r.cfg.Regions[zone]), "positions") {
		if vm.Name != r.cfg.Self.Name {
			return vm.Name
		}
	}
	return ""
}

// primaryZone returns the zone of the upstream that registered last as the primary of a
// group.
func primaryZone(snapshot *storesync.Snapshot, group ident.GroupName) (ident.AvailabilityZone, bool) {
	var primary catalog.Upstream
	found := false
	for _, u := range snapshot.Upstreams[group] {
		if u.Primary && (!found || u.Revision > primary.Revision) {
			primary, found = u, true
		}
	}
	return primary.Zone, found
}

func (r *Router) requestPositions(ctx context.Context, vm ident.VMName, groups []ident.GroupName) {
	sentAt := r.cfg.Now()
	request := PositionsRequest{Groups: groups}
	if relay, relayed := r.cfg.Relay(); relayed && vm == relay {
		r.addFigures(&request, sentAt)
	}
	response, err := r.cfg.RequestPositions(ctx, vm, request)
	if err != nil || len(response.Positions) != len(groups) {
		r.cfg.Log.Debug().Err(err).Str("peer", string(vm)).Msg("reading positions from peer failed")
		return
	}
	for i, p := range response.Positions {
		if p.Age >= 0 {
			r.RecordPosition(groups[i], sentAt-p.Age, p.Point)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordFigures(sentAt, response.Figures)
}
