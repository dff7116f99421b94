package groupcontroller

import (
	"cmp"
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/promotion"
	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

const (
	// DefaultFollowAllLimit is the number of groups up to which every VM follows all
	// groups. Their 48 streams use less than 1% of a core.
	DefaultFollowAllLimit = 16
	// permanentFollowerCount is the number of VMs that permanently follow a group. With
	// three in different zones, a proposer and a witness remain if one zone fails.
	permanentFollowerCount = 3
	// idleTimeout is how long a group is still followed after its last request.
	idleTimeout = time.Minute
	// idleSweepInterval is the interval between checks for groups without requests.
	idleSweepInterval = 10 * time.Second
	// unfollowGracePeriod is how long a group that is no longer followed still serves
	// the requests that already use it. It covers the deadlines of queueing and
	// confirmation.
	unfollowGracePeriod = 15 * time.Second
)

// followerRanking ranks the live VMs as permanent followers of groups. It ranks zones
// first, so that a VM decides whether to follow a group from the VMs in its own zone.
type followerRanking struct {
	zones []ident.AvailabilityZone
	vms   map[ident.AvailabilityZone][]peer.Member
}

func newFollowerRanking(members []peer.Member) followerRanking {
	r := followerRanking{vms: map[ident.AvailabilityZone][]peer.Member{}}
	for _, m := range members {
		if m.State == peer.Alive || m.State == peer.Suspect {
			r.vms[m.Zone] = append(r.vms[m.Zone], m)
		}
	}
	r.zones = slices.Sorted(maps.Keys(r.vms))
	return r
}

// topRanked returns the n items with the highest rendezvous hashes for the group.
func topRanked[T any](items []T, n int, group ident.GroupName, name func(T) string) []T {
	type ranked struct {
		item   T
		weight uint64
	}
	var top []ranked
	for _, item := range items {
		r := ranked{item, rendezvousHash(group, name(item))}
		at, _ := slices.BinarySearchFunc(top, r, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
		if at < n {
			top = slices.Insert(top, at, r)
			top = top[:min(n, len(top))]
		}
	}
	out := make([]T, 0, len(top))
	for _, r := range top {
		out = append(out, r.item)
	}
	return out
}

func rendezvousHash(group ident.GroupName, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(group))
	x := h.Sum64() // finalizer: the high bits of FNV mix poorly for short names
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// permanentZones returns the zones whose VMs permanently follow the group.
func (r followerRanking) permanentZones(group ident.GroupName) []ident.AvailabilityZone {
	return topRanked(r.zones, permanentFollowerCount, group, func(z ident.AvailabilityZone) string { return string(z) })
}

// permanentInZone returns the VMs in a zone of permanentZones that permanently follow
// the group. With fewer zones than permanentFollowerCount there are several per zone.
func (r followerRanking) permanentInZone(zone ident.AvailabilityZone, group ident.GroupName) []peer.Member {
	zones := min(permanentFollowerCount, len(r.zones))
	each := (permanentFollowerCount + zones - 1) / zones
	return topRanked(r.vms[zone], each, group, func(m peer.Member) string { return string(m.Name) })
}

// permanentFollowers returns all VMs that permanently follow the group.
func (r followerRanking) permanentFollowers(group ident.GroupName) []peer.Member {
	var vms []peer.Member
	for _, zone := range r.permanentZones(group) {
		vms = append(vms, r.permanentInZone(zone, group)...)
	}
	return vms
}

// isPermanentFollower reports whether the VM permanently follows the group.
func (r followerRanking) isPermanentFollower(vm peer.Member, group ident.GroupName) bool {
	return slices.Contains(r.permanentZones(group), vm.Zone) &&
		slices.ContainsFunc(r.permanentInZone(vm.Zone, group), func(m peer.Member) bool { return m.Name == vm.Name })
}

// onDemand reports whether this VM follows groups only while they are used.
func (c *Controller) onDemand(conf *configuration.Configuration) bool {
	return len(conf.Databases) > c.options.FollowAllLimit
}

// followers returns the live VMs that propose and confirm changes of a group.
func (c *Controller) followers(group ident.GroupName) []promotion.VM {
	members := c.options.Mesh.Members()
	if c.onDemand(c.options.Configuration.Current()) {
		members = c.rankingOf(members).permanentFollowers(group)
	}
	var vms []promotion.VM
	for _, vm := range members {
		if vm.State == peer.Alive || vm.State == peer.Suspect {
			vms = append(vms, promotion.VM{Name: vm.Name, Zone: vm.Zone})
		}
	}
	return vms
}

// rankingOf returns the ranking of the mesh members. It recomputes the ranking only
// when the members have changed.
func (c *Controller) rankingOf(members []peer.Member) followerRanking {
	c.rankingMu.Lock()
	defer c.rankingMu.Unlock()
	if !slices.Equal(members, c.rankedMembers) {
		c.rankedMembers, c.ranking = members, newFollowerRanking(members)
	}
	return c.ranking
}

// groupForRequest returns the group for a request, following it if necessary. It
// returns nil if the group is not configured.
func (c *Controller) groupForRequest(name ident.GroupName) *groupState {
	g := c.group(name)
	if g == nil {
		if g = c.follow(name); g == nil {
			return nil
		}
	}
	if !g.used.Load() { // avoids a contended write on every request
		g.used.Store(true)
	}
	return g
}

// follow starts following a configured group.
func (c *Controller) follow(name ident.GroupName) *groupState {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	return c.followLocked(c.options.Configuration.Current(), name)
}

// followLocked is follow for a caller that holds configMu.
func (c *Controller) followLocked(conf *configuration.Configuration, name ident.GroupName) *groupState {
	if g := c.group(name); g != nil {
		return g
	}
	database, ok := conf.Databases[name]
	if !ok || !c.started || c.stopped {
		return nil
	}
	g := c.startGroup(name, membersOf(conf, database))
	next := maps.Clone(*c.groups.Load())
	next[name] = g
	c.groups.Store(&next)
	c.spawn(func() { g.promoter.loadRecord(g.ctx) })
	return g
}

// startGroup creates a group and opens its streams.
func (c *Controller) startGroup(name ident.GroupName, members []routing.Member) *groupState {
	g := newGroup(c, name, members)
	g.idleSince = c.options.Now()
	c.spawn(g.promoter.run)
	g.configure(members)
	return g
}

// sweepIdle periodically stops following idle groups until the controller stops.
func (c *Controller) sweepIdle(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.unfollowIdle()
		}
	}
}

// unfollowIdle stops following the groups that are idle, except those that this VM
// follows permanently.
func (c *Controller) unfollowIdle() {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	if !c.onDemand(c.options.Configuration.Current()) {
		return
	}
	now, ranking := c.options.Now(), c.rankingOf(c.options.Mesh.Members())
	next := maps.Clone(*c.groups.Load())
	for name, g := range next {
		if g.used.Swap(false) || g.waiting() {
			g.idleSince = now
		}
		if now-g.idleSince >= idleTimeout && !ranking.isPermanentFollower(c.self, name) {
			delete(next, name)
			c.spawn(func() { g.stopAfter(unfollowGracePeriod) })
		}
	}
	c.groups.Store(&next)
}

// followPermanent follows the groups of which this VM is a permanent follower. The
// caller holds configMu.
func (c *Controller) followPermanent(conf *configuration.Configuration) {
	ranking := c.rankingOf(c.options.Mesh.Members())
	for name := range conf.Databases {
		if ranking.isPermanentFollower(c.self, name) {
			c.followLocked(conf, name)
		}
	}
}

// loadRecord reads the object of a newly followed group, retrying until it succeeds.
func (p *promoter) loadRecord(ctx context.Context) {
	for ctx.Err() == nil {
		p.getObject(ctx)
		p.mu.Lock()
		known := p.machine.ObjectKnown()
		p.mu.Unlock()
		if known {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(listRetryDelay):
		}
	}
}
