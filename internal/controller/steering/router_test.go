package steering

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/withdrawal"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// fixture is a router for a group with its primary in zone a and replicas in b and c.
type fixture struct {
	*Router
	snapshot *storesync.Snapshot
	live     []placement.VM
	now      time.Duration
}

func newFixture() *fixture {
	f := &fixture{now: time.Minute}
	f.snapshot = &storesync.Snapshot{
		Catalog: &catalog.Catalog{}, Leaving: map[ident.UpstreamName]withdrawal.Withdrawal{}, SlowStartUntil: map[ident.UpstreamName]time.Duration{},
		Evacuated: map[ident.AvailabilityZone]withdrawal.Withdrawal{}, Upstreams: catalog.Upstreams{},
	}
	regions := map[ident.AvailabilityZone]ident.Region{}
	for i, zone := range []ident.AvailabilityZone{"a", "b", "c"} {
		regions[zone] = ident.Region("r-" + zone)
		f.snapshot.Upstreams["g1"] = append(f.snapshot.Upstreams["g1"], catalog.Upstream{Name: ident.UpstreamName("u-" + zone), Group: "g1",
			Address: "10.0.0.1:1", Zone: zone, Primary: i == 0, Revision: uint64(10 + i)})
		for n := range 2 {
			f.live = append(f.live, placement.VM{Name: ident.VMName(fmt.Sprintf("vm-%s%d", zone, n)), Zone: zone, Region: regions[zone]})
		}
	}
	f.Router = New(Config{
		Self: f.live[2], Regions: regions, Snapshot: func() *storesync.Snapshot { return f.snapshot }, Hubs: func() []placement.VM { return f.live },
		FleetSize: func() int { return len(f.live) },
		Local:     nil, Remote: func(ident.VMName) execution.Executor { return nil }, Now: func() time.Duration { return f.now },
		OnPrimaryResult: func(execution.Target, bool, execution.Result) {},
		OnReplicaResult: func(execution.Target, execution.Result) {},
	})
	return f
}

func newRequirement(consistency catalog.Consistency, primary bool) proxy.Requirement {
	return proxy.Requirement{Primary: primary, Grant: &proxy.Grant{
		Route:        catalog.Route{Group: "g1", Consistency: consistency, MaxStaleness: time.Second},
		Group:        catalog.Group{Name: "g1", MaxConnections: 10},
		Organisation: catalog.Organisation{Name: "acme"},
	}}
}

// observePrimary passes a result of the primary to the router.
func (f *fixture) observePrimary(term, position int) {
	choice := proxy.Choice{Target: execution.Target{Group: "g1", Upstream: "u-a"}, VerifyLeadership: true}
	f.Observe(choice, true, f.now, execution.Result{Outcome: execution.Done, LeadershipVerified: true, Position: point(term, position)})
}

func point(term, position int) ident.LogPoint {
	return ident.LogPoint{Term: ident.Term(term), Position: ident.Position(position)}
}

// Guards against reads on replicas when no position proves their freshness.
func TestReadWithoutSampleUsesPrimary(t *testing.T) {
	f := newFixture()
	c, ok := f.Choose(newRequirement(catalog.BoundedStaleness, false))
	assert.Assert(t, ok)
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-a"))
	assert.Assert(t, c.VerifyLeadership)
	f.observePrimary(1, 7)
	c, _ = f.Choose(newRequirement(catalog.BoundedStaleness, false))
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-b"), "the replica of the VM's own zone")
	assert.Equal(t, c.MinPosition, point(1, 7))
	assert.Assert(t, !c.VerifyLeadership)
	f.now += 2 * time.Second
	c, _ = f.Choose(newRequirement(catalog.BoundedStaleness, false))
	assert.Assert(t, c.VerifyLeadership, "the sample is older than the route allows")
}

// Guards against a read on a replica that misses the session's own commit.
func TestReadYourWritesRequiresSessionPosition(t *testing.T) {
	f := newFixture()
	f.observePrimary(1, 7)
	requirement := newRequirement(catalog.ReadYourWrites, false)
	requirement.SessionPosition = point(1, 9)
	c, _ := f.Choose(requirement)
	assert.Equal(t, c.MinPosition, point(1, 9))
	requirement.SessionPosition = point(1, 3)
	c, _ = f.Choose(requirement)
	assert.Equal(t, c.MinPosition, point(1, 7))
}

// Guards against sending writes to an upstream that refused to act as primary, and
// against preferring an older registration as primary to a newer one.
func TestNewestPrimaryRegistrationWins(t *testing.T) {
	f := newFixture()
	members := f.snapshot.Upstreams["g1"]
	members[1].Primary, members[1].Revision = true, 20
	c, ok := f.Choose(newRequirement(catalog.Primary, true))
	assert.Assert(t, ok)
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-b"))
	f.Observe(c, true, f.now, execution.Result{Outcome: execution.NotRun, Reason: execution.Refused, Code: statement.ReadOnly})
	c, _ = f.Choose(newRequirement(catalog.Primary, true))
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-a"))
	members[1].Revision = 21
	f.snapshot.Leaving["u-b"] = withdrawal.Withdrawal{LearnedAt: f.now, UsableUntil: f.now + 2*time.Second}
	c, _ = f.Choose(newRequirement(catalog.Primary, true))
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-a"), "a leaving primary does not take precedence over another")
	delete(f.snapshot.Leaving, "u-b")
	c, _ = f.Choose(newRequirement(catalog.Primary, true))
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-b"), "its registration has changed since it refused")
}

// Guards against statements to leaving upstreams after the time limits, and against
// using an upstream outside the home regions.
func TestLeavingUpstreamsAndHomeRegions(t *testing.T) {
	f := newFixture()
	f.observePrimary(1, 7)
	f.snapshot.Evacuated["b"] = withdrawal.Withdrawal{LearnedAt: f.now, UsableUntil: f.now + time.Second}
	c, _ := f.Choose(newRequirement(catalog.BoundedStaleness, false))
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-c"))
	f.snapshot.Leaving["u-a"] = withdrawal.Withdrawal{LearnedAt: f.now, UsableUntil: f.now + 2*time.Second}
	_, ok := f.Choose(newRequirement(catalog.Primary, true))
	assert.Assert(t, ok, "a leaving primary is used until another one replaces it")
	f.now += 2*time.Second + time.Millisecond
	_, ok = f.Choose(newRequirement(catalog.Primary, true))
	assert.Assert(t, !ok)
	requirement := newRequirement(catalog.BoundedStaleness, false)
	requirement.Grant.Route.HomeRegions = []ident.Region{"r-a", "r-b"}
	requirement.Grant.Organisation.HomeRegions = []ident.Region{"r-b"}
	_, ok = f.Choose(requirement)
	assert.Assert(t, !ok, "the zone of the only home region is being evacuated")
}

// Guards against running statements of a route with home regions on a VM in another
// region.
func TestHomeRegionsRestrictExecutingVM(t *testing.T) {
	f := newFixture()
	f.observePrimary(1, 7)
	f.live = f.live[2:4] // only the VMs in zone b are alive
	requirement := newRequirement(catalog.Primary, true)
	c, _ := f.Choose(requirement)
	assert.Assert(t, c.ExecutingVM == "vm-b0" || c.ExecutingVM == "vm-b1")
	requirement.Grant.Route.HomeRegions = []ident.Region{"r-a"}
	f.live = append([]placement.VM{{Name: "vm-c0", Zone: "c", Region: "r-c"}}, f.live...)
	c, ok := f.Choose(requirement)
	assert.Assert(t, ok)
	assert.Equal(t, c.ExecutingVM, f.cfg.Self.Name)
}

// Guards against sending statements again and again to a VM that cannot reach the
// upstream while others can.
func TestVMsThatCannotReachUpstreamAreSkipped(t *testing.T) {
	f := newFixture()
	fail := func() ident.VMName {
		f.now += primaryRetryInterval
		c, ok := f.Choose(newRequirement(catalog.Primary, true))
		assert.Assert(t, ok)
		f.Observe(c, true, f.now, execution.Result{Outcome: execution.NotRun, Reason: execution.Unreachable})
		return c.ExecutingVM
	}
	first, second := fail(), fail()
	assert.Assert(t, first != second)
	f.now += primaryRetryInterval
	third, ok := f.Choose(newRequirement(catalog.Primary, true))
	assert.Assert(t, ok)
	assert.Assert(t, third.ExecutingVM != first && third.ExecutingVM != second, "a VM in another zone may reach it")
	f.now += unreachableBackoff
	again, _ := f.Choose(newRequirement(catalog.Primary, true))
	assert.Equal(t, again.ExecutingVM, first)
}

// Guards against many statements waiting for a failed primary.
func TestFailedPrimaryRetryRate(t *testing.T) {
	f := newFixture()
	c, _ := f.Choose(newRequirement(catalog.Primary, true))
	f.Observe(c, true, f.now, execution.Result{Outcome: execution.Unknown})
	tried := 0
	for range 100 {
		if _, ok := f.Choose(newRequirement(catalog.Primary, true)); ok {
			tried++
		}
		f.now += time.Millisecond
	}
	assert.Equal(t, tried, 2)
	f.Observe(c, true, f.now, execution.Result{Outcome: execution.Done})
	for range 3 {
		_, ok := f.Choose(newRequirement(catalog.Primary, true))
		assert.Assert(t, ok)
	}
}

// Guards against exceeding this VM's share of the rate of an upstream in slow start.
func TestSlowStartRate(t *testing.T) {
	f := newFixture()
	f.observePrimary(1, 7)
	requirement := newRequirement(catalog.BoundedStaleness, false)
	requirement.Grant.Group.SlowStartRate = 60 // 10 a second for each of 6 VMs
	f.snapshot.SlowStartUntil["u-b"] = f.now + 10*time.Second
	sent := 0
	for range 1000 {
		f.observePrimary(1, 7)
		if c, ok := f.Choose(requirement); ok && c.Target.Upstream == "u-b" {
			sent++
		}
		f.now += time.Millisecond
	}
	assert.Assert(t, sent >= 9 && sent <= 11, "%d statements in a second", sent)
	f.now += 10 * time.Second
	f.observePrimary(1, 7)
	c, _ := f.Choose(requirement)
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-b"))
}
