// Package steering chooses where each statement runs: the upstream, the position
// that it must hold, and the VM that executes. It learns positions, lag and failures
// from the answers.
package steering

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/staleness"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

const (
	// failureTime is the time for which an upstream that could not be reached is used
	// only when no other fits.
	failureTime = 300 * time.Millisecond
	// tryInterval is the time between statements to a primary that fails.
	tryInterval = 50 * time.Millisecond
	// unreachableTime is the time for which a VM that could not reach an upstream is
	// passed over for it.
	unreachableTime = time.Second
	// saturatedTime is the time for which a VM whose connections were all in use is
	// passed over; statements take some milliseconds.
	saturatedTime = 30 * time.Millisecond
	// lagMemory is the time for which the last known position of a replica predicts
	// that it lacks a newer one.
	lagMemory = 100 * time.Millisecond
	// drainShare and evacuateShare are the parts of the bounds for which an upstream
	// that leaves is still used when no other fits. The rest covers the time until this
	// VM learned of it.
	drainShare    = 3
	evacuateShare = 4
)

// Config connects a Router.
type Config struct {
	Self    placement.VM
	Regions map[ident.AvailabilityZone]ident.Region
	State   func() *storesync.Snapshot
	// Hubs are the VMs that execute; Population is the number of VMs of the fleet.
	Hubs      func() []placement.VM
	FleetSize func() int
	Local     execution.Executor
	Remote    func(ident.VMName) execution.Executor
	Now       func() time.Duration
	// DrainTimeout and EvacuationTimeout are the times after which nothing may reach an upstream that
	// leaves or whose zone is to be left.
	DrainTimeout, EvacuationTimeout time.Duration
	// OnPrimaryResult is told the results of statements that were meant for a primary.
	OnPrimaryResult func(target execution.Target, writes bool, result execution.Result)
	// OnReplicaResult is told the results of the other statements.
	OnReplicaResult func(target execution.Target, result execution.Result)
}

// seen is what is known about an upstream from its answers.
type seen struct {
	applied     ident.LogPoint
	appliedAt   time.Duration
	failedUntil time.Duration
	// nextTry is the time of the next statement for a primary that fails.
	nextTry time.Duration
	// refusedAs is the revision of the registration under which it refused to act as
	// primary.
	refusedAs uint64
}

type seat struct {
	vm       ident.VMName
	upstream ident.UpstreamName
}

// Router implements proxy.Router. It is safe for concurrent use.
type Router struct {
	cfg Config

	mu        sync.Mutex
	upstreams map[ident.UpstreamName]*seen
	samples   map[ident.GroupName]*staleness.Samples
	// warming limits the statements that this VM sends to cold upstreams.
	warming map[ident.UpstreamName]*rate.Limiter
	// saturated and unreachable hold the times until which a VM is passed over for an
	// upstream, because its connections were in use or could not be opened.
	saturated, unreachable map[seat]time.Duration
}

// New returns a router.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg, upstreams: map[ident.UpstreamName]*seen{}, samples: map[ident.GroupName]*staleness.Samples{},
		warming:   map[ident.UpstreamName]*rate.Limiter{},
		saturated: map[seat]time.Duration{}, unreachable: map[seat]time.Duration{},
	}
}

// Choose implements proxy.Router.
func (r *Router) Choose(need proxy.Requirement) (proxy.Choice, bool) {
	state, now := r.cfg.State(), r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if need.Primary {
		u, ok := r.primary(state, need, now)
		if !ok || slices.Contains(need.Exclude, u.Name) || !r.mayTry(u.Name, now) || !r.warm(state, need, u, now, true) {
			return proxy.Choice{}, false
		}
		c := r.seat(need, u, now)
		c.VerifyLeadership = true
		return c, true
	}
	return r.read(state, need, now)
}

// mayTry reports whether a statement may go to a primary. While it fails, one
// statement at a time tries it; the others are not held up by it.
func (r *Router) mayTry(u ident.UpstreamName, now time.Duration) bool {
	s := r.upstreams[u]
	if s == nil || now >= s.failedUntil {
		return true
	}
	if now < s.nextTry {
		return false
	}
	s.nextTry = now + tryInterval
	return true
}

// primary returns the group's primary: of the upstreams that call themselves so, one
// that does not leave before others, and then the one whose registration changed last.
func (r *Router) primary(state *storesync.Snapshot, need proxy.Requirement, now time.Duration) (catalog.Upstream, bool) {
	var best catalog.Upstream
	found, bestLevel := false, unusable
	for _, u := range state.Upstreams[need.Grant.Route.Group] {
		level := r.unfit(state, need, u, now)
		if !u.Primary || level == unusable {
			continue
		}
		if s := r.upstreams[u.Name]; s != nil && s.refusedAs == u.Revision && u.Revision > 0 {
			continue
		}
		if !found || level < bestLevel || level == bestLevel && u.Revision > best.Revision {
			best, bestLevel, found = u, level, true
		}
	}
	return best, found
}

// Penalties of upstreams that leave.
const (
	fit      = 0
	leaving  = 1
	unusable = 2
)

// unfit says whether an upstream may be used at all, and whether it leaves.
func (r *Router) unfit(state *storesync.Snapshot, need proxy.Requirement, u catalog.Upstream, now time.Duration) int {
	if !catalog.RegionAllowed(r.cfg.Regions[u.Zone], need.Grant.Route.HomeRegions, need.Grant.Organisation.HomeRegions) {
		return unusable
	}
	level := fit
	if at, ok := state.Leaving[u.Name]; ok {
		level = leaving
		if now > at+r.cfg.DrainTimeout/drainShare {
			return unusable
		}
	}
	if at, ok := state.Evacuated[u.Zone]; ok {
		level = leaving
		if now > at+r.cfg.EvacuationTimeout/evacuateShare {
			return unusable
		}
	}
	return level
}

// warm reports whether a statement may go to an upstream, which it always may unless
// the upstream is cold. Each VM may use an equal part of the cold rate; with
// spend set the statement uses it.
func (r *Router) warm(state *storesync.Snapshot, need proxy.Requirement, u catalog.Upstream, now time.Duration, spend bool) bool {
	until, cold := state.SlowStartUntil[u.Name]
	if !cold || now >= until || need.Grant.Group.SlowStartRate <= 0 {
		delete(r.warming, u.Name)
		return true
	}
	part := rate.Limit(need.Grant.Group.SlowStartRate / float64(max(1, r.cfg.FleetSize())))
	limiter, ok := r.warming[u.Name]
	if !ok {
		limiter = rate.NewLimiter(part, 1)
		r.warming[u.Name] = limiter
	}
	at := epoch.Add(now)
	if limiter.Limit() != part {
		limiter.SetLimitAt(at, part)
	}
	if spend {
		return limiter.AllowN(at, 1)
	}
	return limiter.TokensAt(at) >= 1
}

// epoch turns the process clock into the times of the limiters.
var epoch = time.Unix(0, 0)

// Observe implements proxy.Router.
func (r *Router) Observe(choice proxy.Choice, writes bool, sentAt time.Duration, result execution.Result) {
	if choice.VerifyLeadership {
		r.cfg.OnPrimaryResult(choice.Target, writes, result)
	} else {
		r.cfg.OnReplicaResult(choice.Target, result)
	}
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.upstreams[choice.Target.Upstream]
	if s == nil {
		s = &seen{}
		r.upstreams[choice.Target.Upstream] = s
	}
	if !result.Position.IsZero() {
		s.applied, s.appliedAt = result.Position, now
	}
	if result.LeadershipVerified {
		samples := r.samples[choice.Target.Group]
		if samples == nil {
			samples = &staleness.Samples{}
			r.samples[choice.Target.Group] = samples
		}
		samples.Add(sentAt, result.Position)
	}
	switch {
	case result.Outcome == execution.Done:
		s.failedUntil = 0
	case result.Reason == execution.Stopping:
		r.unreachable[seat{choice.ExecutingVM, choice.Target.Upstream}] = now + unreachableTime
	case result.Reason == execution.NoConnection:
		r.saturated[seat{choice.ExecutingVM, choice.Target.Upstream}] = now + saturatedTime
	case result.Reason == execution.Unreachable, result.Outcome == execution.Unknown && result.Reason != execution.PeerLost:
		s.failedUntil = now + failureTime
		r.unreachable[seat{choice.ExecutingVM, choice.Target.Upstream}] = now + unreachableTime
	case result.Code == statement.ReadOnly && choice.VerifyLeadership:
		s.refusedAs = r.revision(choice.Target)
	}
}

func (r *Router) revision(target execution.Target) uint64 {
	for _, u := range r.cfg.State().Upstreams[target.Group] {
		if u.Name == target.Upstream {
			return u.Revision
		}
	}
	return 0
}
