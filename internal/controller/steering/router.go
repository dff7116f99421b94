// Package steering chooses where each statement runs: the upstream, the minimum log
// position that it must have applied, and the VM that runs the statement there. It
// tracks positions, replication lag and failures from the results.
package steering

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/balance"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/staleness"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

const (
	// failureBackoff is how long an upstream that could not be reached is used only as a
	// last resort.
	failureBackoff = 300 * time.Millisecond
	// primaryRetryInterval is the minimum time between statements to a failing primary.
	primaryRetryInterval = 50 * time.Millisecond
	// unreachableBackoff is how long a VM that could not reach an upstream is skipped for
	// that upstream.
	unreachableBackoff = time.Second
	// saturatedBackoff is how long a VM whose connections to an upstream were all in use
	// is skipped. A typical statement takes a few milliseconds.
	saturatedBackoff = 30 * time.Millisecond
)

// Config holds the dependencies and settings of a Router.
type Config struct {
	Self     placement.VM
	Regions  map[ident.AvailabilityZone]ident.Region
	Snapshot func() *storesync.Snapshot
	// Hubs returns the VMs that run statements for others.
	Hubs func() []placement.VM
	// FleetSize returns the number of VMs in the fleet.
	FleetSize func() int
	Local     execution.Executor
	Remote    func(ident.VMName) execution.Executor
	Now       func() time.Duration
	// OnPrimaryResult receives the results of statements that required a primary.
	OnPrimaryResult func(target execution.Target, writes bool, result execution.Result)
	// OnReplicaResult receives the results of all other statements.
	OnReplicaResult func(target execution.Target, result execution.Result)
	// Relay returns the hub of this zone from which positions are requested. The result is
	// false if this VM requests them from the hubs near the primaries.
	Relay func() (ident.VMName, bool)
	// RequestPositions sends a request to a VM.
	RequestPositions func(ctx context.Context, vm ident.VMName, request PositionsRequest) (PositionsResponse, error)
	// Seed is the seed of the random choices, which should differ between VMs.
	Seed uint64
	Log  zerolog.Logger
}

// upstreamState is the state of an upstream, as derived from its results.
type upstreamState struct {
	applied ident.LogPoint
	lag     balance.Lag
	// observedAt is the time of the last result, and changedAt that of the last result or
	// figures of another VM.
	observedAt, changedAt time.Duration
	failedUntil           time.Duration
	// nextRetry is the earliest time of the next statement to a failing primary.
	nextRetry time.Duration
	// refusedRevision is the revision of the registration under which the upstream
	// refused to act as primary.
	refusedRevision uint64
}

// vmUpstream is the key of failures that a VM had on an upstream.
type vmUpstream struct {
	vm       ident.VMName
	upstream ident.UpstreamName
}

// Router implements proxy.Router. It is safe for concurrent use.
type Router struct {
	cfg Config

	mu        sync.Mutex
	upstreams map[ident.UpstreamName]*upstreamState
	samples   map[ident.GroupName]*staleness.Samples
	// readAt holds the time of the last read that needed a position, of this VM or of one
	// that requests positions from it.
	readAt map[ident.GroupName]time.Duration
	// slowStartLimiters limit the rate of statements from this VM to upstreams in slow
	// start.
	slowStartLimiters map[ident.UpstreamName]*rate.Limiter
	// saturated and unreachable hold the time until which a VM is skipped for an
	// upstream because its connections were all in use or could not be opened.
	saturated, unreachable map[vmUpstream]time.Duration

	random    *rand.Rand
	balancer  *balance.Balancer
	trips     balance.Trips
	histories map[ident.GroupName]*balance.History
	// figuresSentAt is the time of the last request that carried figures.
	figuresSentAt time.Duration
	// usable and candidates are reused by each choice.
	usable     []catalog.Upstream
	candidates []balance.Candidate
}

// New returns a router.
func New(cfg Config) *Router {
	random := rand.New(rand.NewPCG(cfg.Seed, 0))
	return &Router{
		random: random, balancer: balance.New(random), histories: map[ident.GroupName]*balance.History{},
		cfg: cfg, upstreams: map[ident.UpstreamName]*upstreamState{}, samples: map[ident.GroupName]*staleness.Samples{},
		readAt:            map[ident.GroupName]time.Duration{},
		slowStartLimiters: map[ident.UpstreamName]*rate.Limiter{},
		saturated:         map[vmUpstream]time.Duration{}, unreachable: map[vmUpstream]time.Duration{},
	}
}

// Choose implements proxy.Router.
func (r *Router) Choose(requirement proxy.Requirement) (proxy.Choice, bool) {
	snapshot, now := r.cfg.Snapshot(), r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if requirement.Primary {
		u, ok := r.currentPrimary(snapshot, requirement, now)
		if !ok || slices.Contains(requirement.Exclude, u.Name) || !r.mayRetryPrimary(u.Name, now) || !r.slowStartAllows(snapshot, requirement, u, now, true) {
			return proxy.Choice{}, false
		}
		c := r.chooseExecutor(requirement, u, now)
		c.VerifyLeadership = true
		return c, true
	}
	return r.chooseForRead(snapshot, requirement, now)
}

// mayRetryPrimary reports whether a statement may go to a primary. A failing primary
// receives one statement per primaryRetryInterval, so that the others do not wait for
// it.
func (r *Router) mayRetryPrimary(u ident.UpstreamName, now time.Duration) bool {
	s := r.upstreams[u]
	if s == nil || now >= s.failedUntil {
		return true
	}
	if now < s.nextRetry {
		return false
	}
	s.nextRetry = now + primaryRetryInterval
	return true
}

// currentPrimary returns the group's primary. Of the upstreams that are registered as
// primary it prefers one that is not leaving, then the one whose registration changed
// last.
func (r *Router) currentPrimary(snapshot *storesync.Snapshot, requirement proxy.Requirement, now time.Duration) (catalog.Upstream, bool) {
	var best catalog.Upstream
	found, bestLevel := false, unusable
	for _, u := range snapshot.Upstreams[requirement.Grant.Route.Group] {
		level := r.availability(snapshot, requirement, u, now)
		if !u.Primary || level == unusable {
			continue
		}
		if s := r.upstreams[u.Name]; s != nil && s.refusedRevision == u.Revision && u.Revision > 0 {
			continue
		}
		if !found || level < bestLevel || level == bestLevel && u.Revision > best.Revision {
			best, bestLevel, found = u, level, true
		}
	}
	return best, found
}

// Availability levels of an upstream, in order of preference.
const (
	available = 0
	leaving   = 1
	unusable  = 2
)

// availability reports whether an upstream may be used, and whether it is leaving.
func (r *Router) availability(snapshot *storesync.Snapshot, requirement proxy.Requirement, u catalog.Upstream, now time.Duration) int {
	if !catalog.RegionAllowed(r.cfg.Regions[u.Zone], requirement.Grant.Route.HomeRegions, requirement.Grant.Organisation.HomeRegions) {
		return unusable
	}
	leaves, isLeaving := snapshot.Leaving[u.Name]
	evacuation, isEvacuated := snapshot.Evacuated[u.Zone]
	if isLeaving && !leaves.Usable(now) || isEvacuated && !evacuation.Usable(now) {
		return unusable
	}
	if isLeaving || isEvacuated {
		return leaving
	}
	return available
}

// slowStartAllows reports whether a statement may go to an upstream. Only upstreams in
// slow start are limited: each VM may use an equal share of the slow-start rate. If
// consume is set, the statement counts against that share.
func (r *Router) slowStartAllows(snapshot *storesync.Snapshot, requirement proxy.Requirement, u catalog.Upstream, now time.Duration, consume bool) bool {
	until, slowStarting := snapshot.SlowStartUntil[u.Name]
	if !slowStarting || now >= until || requirement.Grant.Group.SlowStartRate <= 0 {
		delete(r.slowStartLimiters, u.Name)
		return true
	}
	share := rate.Limit(requirement.Grant.Group.SlowStartRate / float64(max(1, r.cfg.FleetSize())))
	limiter, ok := r.slowStartLimiters[u.Name]
	if !ok {
		limiter = rate.NewLimiter(share, 1)
		r.slowStartLimiters[u.Name] = limiter
	}
	at := epoch.Add(now)
	if limiter.Limit() != share {
		limiter.SetLimitAt(at, share)
	}
	if consume {
		return limiter.AllowN(at, 1)
	}
	return limiter.TokensAt(at) >= 1
}

// epoch converts process-clock durations to the time.Time values of the limiters.
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
	s := r.upstreamState(choice.Target.Upstream)
	r.observeFigures(choice, s, result, now)
	if result.LeadershipVerified {
		r.groupSamples(choice.Target.Group).Add(sentAt, result.Position)
	}
	switch {
	case result.Outcome == execution.Done:
		s.failedUntil = 0
	case result.Reason == execution.Stopping:
		r.unreachable[vmUpstream{choice.ExecutingVM, choice.Target.Upstream}] = now + unreachableBackoff
	case result.Reason == execution.NoConnection:
		r.saturated[vmUpstream{choice.ExecutingVM, choice.Target.Upstream}] = now + saturatedBackoff
	case result.Reason == execution.Unreachable, result.Unanswered():
		s.failedUntil = now + failureBackoff
		r.unreachable[vmUpstream{choice.ExecutingVM, choice.Target.Upstream}] = now + unreachableBackoff
	case result.Code == statement.ReadOnly && choice.VerifyLeadership:
		s.refusedRevision = r.revision(choice.Target)
	}
}

func (r *Router) revision(target execution.Target) uint64 {
	u, _ := r.registered(target)
	return u.Revision
}
