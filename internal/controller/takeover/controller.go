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
	// tickEvery is the time between looks at the groups, and idleEvery that of a VM that is
	// no hub and acts only after all hubs.
	tickEvery = 50 * time.Millisecond
	idleEvery = 500 * time.Millisecond
	// rankDelay separates the attempts of the VMs. It exceeds the time in which the
	// first one claims the group.
	rankDelay = 400 * time.Millisecond
	// attemptPause is the time between two attempts of one VM at one group.
	attemptPause = 700 * time.Millisecond
	// claimTime is the time for which the turn of another VM is respected, counted from
	// when it was first seen. The platform takes two holders within 3 s for a conflict.
	claimTime = 3200 * time.Millisecond
	// settleTime bounds the wait for a promotion to be registered. It stays below
	// claimTime, for which the other VMs leave the group alone.
	settleTime = 2 * time.Second
	// memberTimeout bounds a question to a member.
	memberTimeout = 500 * time.Millisecond
	storeTimeout  = 800 * time.Millisecond
	// promoteTimeout bounds the call that promotes, which is answered within
	// milliseconds. A call without an answer is followed by one of a higher generation.
	promoteTimeout = 600 * time.Millisecond
	// lostCallPause is the pause before that one.
	lostCallPause = 50 * time.Millisecond
	// lateOrder is the time after which an order without an answer is not carried out any
	// more; the platform names 12 s.
	lateOrder = 13 * time.Second
	// announcedFor is the time after the begin of its announcement within which an order
	// is sent. With the delay that the platform names it stays below lateOrder.
	announcedFor = 700 * time.Millisecond
	// joinTime is the time within which a member that has joined is known here. It
	// registers at its start, and the watches tell of it within milliseconds.
	joinTime = 150 * time.Millisecond
	// catchUpTime bounds the wait for a candidate that lacks what a paused replica has.
	catchUpTime = time.Second
	catchUpPoll = 30 * time.Millisecond
)

// KindGroup is the kind of the store's objects that hold the generations.
const KindGroup objectapi.Kind = "rosemarywall-groups"

// Store holds the generations.
type Store interface {
	Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error)
	Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error)
}

// Promoter calls the platform's promotion.
type Promoter interface {
	Promote(ctx context.Context, holder ident.VMName, token uint64, group ident.GroupName, upstream ident.UpstreamName) error
}

// Config connects a Controller.
type Config struct {
	Self     ident.VMName
	Zone     ident.AvailabilityZone
	Store    Store
	Promoter Promoter
	Dial     execution.Dial
	State    func() *storesync.Snapshot
	// RegistrationsComplete reports whether the registrations can be trusted to be complete. Before
	// that a missing primary may live, and a missing replica may hold a commit.
	RegistrationsComplete func() bool
	// Hubs are the VMs that replace primaries; others do so after all of them.
	Hubs func() []placement.VM
	// MinHolderInterval is the shortest time between two holders of a group; zero sets none.
	MinHolderInterval time.Duration
	// MissingPrimaryDelay is the time for which no primary must be registered before one is made.
	// A primary that starts beside this VM registers within it.
	MissingPrimaryDelay time.Duration
	// Notify tells a VM that a primary does not answer this one, without waiting.
	Notify func(vm ident.VMName, target execution.Target)
	// Confirm asks another VM whether it, too, fails to reach a primary. Without a VM
	// to ask it returns true.
	Confirm func(ctx context.Context, target execution.Target) bool
	Now     func() time.Duration
	Log     zerolog.Logger
	// UniqueID returns a text that no other write of any VM has.
	UniqueID func() string
}

// Controller watches all groups.
type Controller struct {
	cfg Config

	mu     sync.Mutex
	groups map[ident.GroupName]*group
}

// group is what this VM knows about one group.
type group struct {
	name     ident.GroupName
	evidence map[ident.UpstreamName]*core.FailureDetector
	// since is the time at which the present reason for a change was first seen.
	since  time.Duration
	reason string
	next   time.Duration // earliest time of the next attempt
	// lagging holds the replicas that refuse reads because they lag, and since when.
	lagging map[ident.UpstreamName]time.Duration
	// nextResume is the earliest time of the next look at replicas that lag.
	nextResume time.Duration
	// nextTell is the earliest time of the next message to those that are to act, and
	// trusted the time until which such messages are ignored.
	nextTell, trusted time.Duration
	// nextLedger is the earliest time of the next look at the ledger.
	nextLedger time.Duration
	busy       bool
	record     seenRecord
	// steppedDown says that this VM has told the primary to step down.
	steppedDown bool
	// paused are the replicas that this VM has paused and not resumed.
	paused map[ident.UpstreamName]execution.Target
}

// New returns a controller.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, groups: map[ident.GroupName]*group{}}
}

// Run watches the groups until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	wait := tickEvery
	for clock.Sleep(ctx, wait) {
		c.look(ctx)
		wait = tickEvery
		if placement.Index(c.cfg.Hubs(), c.cfg.Self) < 0 {
			wait = idleEvery
		}
	}
}

func (c *Controller) group(name ident.GroupName) *group {
	g, ok := c.groups[name]
	if !ok {
		g = &group{name: name, evidence: map[ident.UpstreamName]*core.FailureDetector{}, paused: map[ident.UpstreamName]execution.Target{},
			lagging: map[ident.UpstreamName]time.Duration{}}
		c.groups[name] = g
	}
	return g
}

// look starts the changes that are due.
func (c *Controller) look(ctx context.Context) {
	if !c.cfg.RegistrationsComplete() {
		return
	}
	state, now := c.cfg.State(), c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, spec := range state.Catalog.Groups {
		g := c.group(name)
		members := state.Upstreams[name]
		reason, primary := c.reason(state, g, members, now)
		if reason == "" {
			g.since, g.reason, g.steppedDown = 0, "", false
			c.keepLedger(ctx, g, spec, state, primary, now)
			c.resumeForgotten(ctx, g, spec, state, primary, now)
			continue
		}
		if g.reason != reason {
			g.since, g.reason = now, reason
		}
		if reason == reasonSilent {
			c.tell(g, *primary, now)
		}
		if reason == reasonMissing && !g.steppedDown && now < g.since+c.cfg.MissingPrimaryDelay {
			continue
		}
		if g.busy || now < g.next || now < g.since+time.Duration(c.rank(name))*rankDelay {
			continue
		}
		g.busy = true
		t := &attempt{controller: c, group: g, spec: spec, state: state, reason: reason, primary: primary}
		go t.run(ctx)
	}
}

func rankKey(name ident.GroupName) string { return "group/" + string(name) }

// rank returns this VM's place among the hubs for a group.
func (c *Controller) rank(name ident.GroupName) int {
	return placement.RankOf(c.cfg.Hubs(), rankKey(name), c.cfg.Self)
}

// Reasons for a change.
const (
	reasonLeaving = "primary leaves"
	reasonMissing = "no primary is registered"
	reasonSilent  = "primary does not answer"
	reasonStuck   = "primary completes no write"
)

// reason returns why the primary is to be replaced, and the primary if there is one.
// c.mu is held.
func (c *Controller) reason(state *storesync.Snapshot, g *group, members []catalog.Upstream, now time.Duration) (string, *catalog.Upstream) {
	var primary *catalog.Upstream
	gone := func(u catalog.Upstream) bool { _, gone := state.Deregistered[u.Name]; return gone }
	for i, u := range members {
		switch {
		case !u.Primary:
		case primary == nil, gone(*primary) && !gone(u), gone(*primary) == gone(u) && u.Revision > primary.Revision:
			// The claim of an upstream that has gone does not hide that of one that lives.
			primary = &members[i]
		}
	}
	if primary == nil {
		if len(members) == 0 {
			return "", nil
		}
		return reasonMissing, nil
	}
	if at, leaves := state.Leaving[primary.Name]; leaves && now >= at {
		return reasonLeaving, primary
	}
	if _, leaves := state.Evacuated[primary.Zone]; leaves && c.elsewhere(state, members) {
		return reasonLeaving, primary
	}
	if e := g.evidence[primary.Name]; e != nil {
		switch e.Suspected(now) {
		case core.Unresponsive:
			return reasonSilent, primary
		case core.WriteStalled:
			return reasonStuck, primary
		}
	}
	return "", primary
}

// elsewhere reports whether a fit replica stands outside the zones to be left.
func (c *Controller) elsewhere(state *storesync.Snapshot, members []catalog.Upstream) bool {
	return slices.ContainsFunc(members, func(u catalog.Upstream) bool { return !u.Primary && fit(state, u) })
}

// fit reports whether an upstream may become the primary.
func fit(state *storesync.Snapshot, u catalog.Upstream) bool {
	_, leaves := state.Leaving[u.Name]
	_, evacuated := state.Evacuated[u.Zone]
	return !leaves && !evacuated && u.State == catalog.Ready
}

// done ends an attempt.
func (c *Controller) done(g *group, pause time.Duration, cleared bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g.busy = false
	g.next = c.cfg.Now() + pause
	if cleared {
		clear(g.evidence)
		g.since, g.reason = 0, ""
	}
}
