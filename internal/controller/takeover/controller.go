package takeover

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	core "github.com/rosemarywall/rosemarywall/internal/core/takeover"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

const (
	// tickInterval is the time between checks of the groups. A VM that is not a hub acts
	// only after all hubs and checks them every idleTickInterval.
	tickInterval     = 50 * time.Millisecond
	idleTickInterval = 500 * time.Millisecond
	// rankDelay is the delay between the attempts of VMs of successive ranks. It exceeds
	// the time in which the first VM claims the group.
	rankDelay = 400 * time.Millisecond
	// attemptInterval is the time between two attempts of one VM at one group.
	attemptInterval = 700 * time.Millisecond
	// claimTimeout is the time for which the claim of another VM is respected after it was
	// first seen. The platform treats two holders within 3 s as a conflict.
	claimTimeout = 3200 * time.Millisecond
	// registrationTimeout bounds the wait for a promotion to be registered. It is less than
	// claimTimeout, during which the other VMs do not claim the group.
	registrationTimeout = 2 * time.Second
	// memberTimeout bounds a request to a member.
	memberTimeout = 500 * time.Millisecond
	storeTimeout  = 800 * time.Millisecond
	// promoteTimeout bounds the promotion call, which usually takes milliseconds. A call
	// without a response is followed by one with a higher generation.
	promoteTimeout = 600 * time.Millisecond
	// lostResponseRetryDelay is the delay before that call.
	lostResponseRetryDelay = 50 * time.Millisecond
	// maxCommandDelay is the time after which a command or call without a response is no
	// longer executed; the platform specifies 12 s.
	maxCommandDelay = 13 * time.Second
	// maxAnnouncementAge is the greatest time between the start of its announcement and
	// the sending of a command. Added to the platform's 12 s it is below
	// maxCommandDelay.
	maxAnnouncementAge = 700 * time.Millisecond
	// joinDelay is the time within which this VM learns of a member that has joined. The
	// member registers when it starts, and the watches report it within milliseconds.
	joinDelay = 150 * time.Millisecond
	// catchUpTimeout bounds the wait for a candidate that has received less than a paused
	// replica.
	catchUpTimeout      = time.Second
	catchUpPollInterval = 30 * time.Millisecond
)

// KindGroup is the kind of the objects in the store that hold the generations.
const KindGroup objectapi.Kind = "rosemarywall-groups"

// Store stores the groups' objects.
type Store interface {
	Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error)
	Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error)
}

// Promoter promotes a member through the platform.
type Promoter interface {
	Promote(ctx context.Context, holder ident.VMName, token uint64, group ident.GroupName, upstream ident.UpstreamName) error
}

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Self     ident.VMName
	Zone     ident.AvailabilityZone
	Store    Store
	Promoter Promoter
	Dial     execution.Dial
	Snapshot func() *storesync.Snapshot
	// RegistrationsComplete reports whether all live members can be assumed to be
	// registered. Before that a missing primary may be running, and a missing replica
	// may hold a commit.
	RegistrationsComplete func() bool
	// Hubs returns the VMs that replace primaries; other VMs act after all of them.
	Hubs func() []placement.VM
	// MinHolderInterval is the shortest time between two holders of a group; zero sets no
	// limit.
	MinHolderInterval time.Duration
	// MissingPrimaryDelay is the time for which no primary must be registered before one
	// is promoted. A primary that starts together with this VM registers within it.
	MissingPrimaryDelay time.Duration
	// Notify notifies a VM, without waiting, that a primary does not respond to this one.
	Notify func(vm ident.VMName, target execution.Target)
	// Confirm requests confirmation from other VMs and reports whether none of them
	// reaches the primary. If there is no other VM it returns true.
	Confirm func(ctx context.Context, target execution.Target) bool
	// UnreachableInZone requests confirmation from a VM in a zone that it does not reach an
	// upstream either. It returns false if none responds, and true if the zone has no VM.
	UnreachableInZone func(ctx context.Context, zone ident.AvailabilityZone, target execution.Target) bool
	Now               func() time.Duration
	Log               zerolog.Logger
	// UniqueID returns an identifier that no other write of any VM has.
	UniqueID func() string
}

// Controller watches all groups and replaces their primaries.
type Controller struct {
	cfg Config

	mu     sync.Mutex
	groups map[ident.GroupName]*group
}

// group is what this VM knows about one group.
type group struct {
	name      ident.GroupName
	detectors map[ident.UpstreamName]*core.FailureDetector
	// since is when the current reason for a change was first seen.
	since       time.Duration
	reason      string
	nextAttempt time.Duration // earliest time of the next attempt
	// laggingSince holds when each replica began to refuse reads because it lags.
	laggingSince map[ident.UpstreamName]time.Duration
	// nextResume is the earliest time of the next check of replicas that lag.
	nextResume time.Duration
	// nextNotify is the earliest time of the next notification of other VMs. Suspicions
	// of other VMs are ignored until trustedUntil.
	nextNotify, trustedUntil time.Duration
	// nextHolders is the earliest time of the next update of the commit holders.
	nextHolders time.Duration
	busy        bool
	record      seenRecord
	// steppedDown means that this VM has made the primary step down.
	steppedDown bool
	// paused holds the replicas that this VM has paused and not resumed.
	paused map[ident.UpstreamName]execution.Target
}

// New returns a controller.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, groups: map[ident.GroupName]*group{}}
}

// Run watches the groups until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	wait := tickInterval
	for clock.Sleep(ctx, wait) {
		c.checkGroups(ctx)
		wait = tickInterval
		if placement.Index(c.cfg.Hubs(), c.cfg.Self) < 0 {
			wait = idleTickInterval
		}
	}
}

func (c *Controller) group(name ident.GroupName) *group {
	g, ok := c.groups[name]
	if !ok {
		g = &group{name: name, detectors: map[ident.UpstreamName]*core.FailureDetector{}, paused: map[ident.UpstreamName]execution.Target{},
			laggingSince: map[ident.UpstreamName]time.Duration{}}
		c.groups[name] = g
	}
	return g
}

// checkGroups starts the takeovers that are due.
func (c *Controller) checkGroups(ctx context.Context) {
	if !c.cfg.RegistrationsComplete() {
		return
	}
	snapshot, now := c.cfg.Snapshot(), c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, spec := range snapshot.Catalog.Groups {
		g := c.group(name)
		members := snapshot.Upstreams[name]
		reason, primary := c.changeReason(snapshot, g, members, now)
		if reason == "" {
			g.since, g.reason, g.steppedDown = 0, "", false
			c.maintainHolders(ctx, g, spec, snapshot, primary, now)
			c.resumeLagging(ctx, g, spec, snapshot, primary, now)
			continue
		}
		if g.reason != reason {
			g.since, g.reason = now, reason
		}
		if reason == reasonUnresponsive {
			c.notifySuspicion(g, *primary, now)
		}
		if reason == reasonMissing && !g.steppedDown && now < g.since+c.cfg.MissingPrimaryDelay {
			continue
		}
		if g.busy || now < g.nextAttempt || now < g.since+time.Duration(c.rank(name))*rankDelay {
			continue
		}
		g.busy = true
		t := &attempt{controller: c, group: g, spec: spec, snapshot: snapshot, reason: reason, primary: primary}
		t.start("takeover", func() { t.run(ctx) })
	}
}

func rankKey(name ident.GroupName) string { return "group/" + string(name) }

// rank returns this VM's rank among the hubs for a group.
func (c *Controller) rank(name ident.GroupName) int {
	return placement.RankOf(c.cfg.Hubs(), rankKey(name), c.cfg.Self)
}

// Reasons for a change.
const (
	reasonLeaving      = "primary leaves"
	reasonMissing      = "no primary is registered"
	reasonUnresponsive = "primary does not respond"
	reasonWriteStalled = "primary completes no write"
)

// changeReason returns why the primary must be replaced, or "", and the primary if there
// is one. c.mu is held.
func (c *Controller) changeReason(snapshot *storesync.Snapshot, g *group, members []catalog.Upstream, now time.Duration) (string, *catalog.Upstream) {
	var primary *catalog.Upstream
	deregistered := func(u catalog.Upstream) bool { _, ok := snapshot.Deregistered[u.Name]; return ok }
	for i, u := range members {
		switch {
		case !u.Primary:
		case primary == nil, deregistered(*primary) && !deregistered(u), deregistered(*primary) == deregistered(u) && u.Revision > primary.Revision:
			// A registered upstream takes precedence over a deregistered one, even if the
			// latter registered as primary more recently.
			primary = &members[i]
		}
	}
	if primary == nil {
		if len(members) == 0 {
			return "", nil
		}
		return reasonMissing, nil
	}
	if w, leaves := snapshot.Leaving[primary.Name]; leaves && now >= w.LearnedAt {
		return reasonLeaving, primary
	}
	if _, leaves := snapshot.Evacuated[primary.Zone]; leaves && c.hasEligibleReplica(snapshot, members) {
		return reasonLeaving, primary
	}
	if d := g.detectors[primary.Name]; d != nil {
		switch d.Suspected(now) {
		case core.Unresponsive:
			return reasonUnresponsive, primary
		case core.WriteStalled:
			return reasonWriteStalled, primary
		}
	}
	return "", primary
}

// hasEligibleReplica reports whether a replica outside the evacuated zones may become
// the primary.
func (c *Controller) hasEligibleReplica(snapshot *storesync.Snapshot, members []catalog.Upstream) bool {
	return slices.ContainsFunc(members, func(u catalog.Upstream) bool { return !u.Primary && eligible(snapshot, u) })
}

// eligible reports whether an upstream may become the primary.
func eligible(snapshot *storesync.Snapshot, u catalog.Upstream) bool {
	_, leaves := snapshot.Leaving[u.Name]
	_, evacuated := snapshot.Evacuated[u.Zone]
	return !leaves && !evacuated && u.State == catalog.Ready
}

// withdrawn reports whether nothing may be sent to the upstreams of a zone any more. The commands of a verification are sent nevertheless, except to the primary:
// without a pause of the replicas the candidate may lack an acknowledged commit.
func (c *Controller) withdrawn(zone ident.AvailabilityZone) bool {
	w, evacuated := c.cfg.Snapshot().Evacuated[zone]
	return evacuated && !w.Usable(c.cfg.Now())
}

// endAttempt ends an attempt and sets the delay before the next one. If cleared is set it
// also discards the suspicions and the reason.
func (c *Controller) endAttempt(g *group, delay time.Duration, cleared bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g.nextAttempt = c.cfg.Now() + delay
	if cleared {
		clear(g.detectors)
		g.since, g.reason = 0, ""
	}
}

// setIdle allows the next attempt.
func (c *Controller) setIdle(g *group) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g.busy = false
}
