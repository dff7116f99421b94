package steering

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// world is a router with a group of a primary in zone a and replicas in b and c.
type world struct {
	*Router
	state *storesync.Snapshot
	live  []placement.VM
	now   time.Duration
}

func newWorld() *world {
	w := &world{now: time.Minute}
	w.state = &storesync.Snapshot{
		Catalog: &catalog.Catalog{}, Leaving: map[ident.UpstreamName]time.Duration{}, SlowStartUntil: map[ident.UpstreamName]time.Duration{},
		Evacuated: map[ident.AvailabilityZone]time.Duration{}, Upstreams: catalog.Upstreams{},
	}
	regions := map[ident.AvailabilityZone]ident.Region{}
	for i, zone := range []ident.AvailabilityZone{"a", "b", "c"} {
		regions[zone] = ident.Region("r-" + zone)
		w.state.Upstreams["g1"] = append(w.state.Upstreams["g1"], catalog.Upstream{Name: ident.UpstreamName("u-" + zone), Group: "g1",
			Address: "10.0.0.1:1", Zone: zone, Primary: i == 0, Revision: uint64(10 + i)})
		for n := range 2 {
			w.live = append(w.live, placement.VM{Name: ident.VMName(fmt.Sprintf("vm-%s%d", zone, n)), Zone: zone, Region: regions[zone]})
		}
	}
	w.Router = New(Config{
		Self: w.live[2], Regions: regions, State: func() *storesync.Snapshot { return w.state }, Hubs: func() []placement.VM { return w.live },
		FleetSize: func() int { return len(w.live) },
		Local:     nil, Remote: func(ident.VMName) execution.Executor { return nil }, Now: func() time.Duration { return w.now },
		DrainTimeout: 6 * time.Second, EvacuationTimeout: 4 * time.Second, OnPrimaryResult: func(execution.Target, bool, execution.Result) {},
		OnReplicaResult: func(execution.Target, execution.Result) {},
	})
	return w
}

func need(consistency catalog.Consistency, primary bool) proxy.Requirement {
	return proxy.Requirement{Primary: primary, Grant: &proxy.Grant{
		Route:        catalog.Route{Group: "g1", Consistency: consistency, MaxStaleness: time.Second},
		Group:        catalog.Group{Name: "g1", MaxConnections: 10},
		Organisation: catalog.Organisation{Name: "acme"},
	}}
}

// led reports an answer of the primary.
func (w *world) led(term, position int) {
	choice := proxy.Choice{Target: execution.Target{Group: "g1", Upstream: "u-a"}, VerifyLeadership: true}
	w.Observe(choice, true, w.now, execution.Result{Outcome: execution.Done, LeadershipVerified: true, Position: point(term, position)})
}

func point(term, position int) ident.LogPoint {
	return ident.LogPoint{Term: ident.Term(term), Position: ident.Position(position)}
}

// Guards against reads on replicas without a position to prove their freshness.
func TestReadWithoutASampleGoesToThePrimary(t *testing.T) {
	w := newWorld()
	c, ok := w.Choose(need(catalog.BoundedStaleness, false))
	assert.Assert(t, ok)
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-a"))
	assert.Assert(t, c.VerifyLeadership)
	w.led(1, 7)
	c, _ = w.Choose(need(catalog.BoundedStaleness, false))
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-b"), "the replica of the VM's own zone")
	assert.Equal(t, c.MinPosition, point(1, 7))
	assert.Assert(t, !c.VerifyLeadership)
	w.now += 2 * time.Second
	c, _ = w.Choose(need(catalog.BoundedStaleness, false))
	assert.Assert(t, c.VerifyLeadership, "the sample is older than the route allows")
}

// Guards against a session that does not see its own commit on a replica.
func TestReadYourWritesAsksForTheSessionsCommit(t *testing.T) {
	w := newWorld()
	w.led(1, 7)
	n := need(catalog.ReadYourWrites, false)
	n.SessionPosition = point(1, 9)
	c, _ := w.Choose(n)
	assert.Equal(t, c.MinPosition, point(1, 9))
	n.SessionPosition = point(1, 3)
	c, _ = w.Choose(n)
	assert.Equal(t, c.MinPosition, point(1, 7))
}

// Guards against work for an upstream that refused to act as primary, and against an
// older claim that wins over a newer one.
func TestNewestClaimIsThePrimary(t *testing.T) {
	w := newWorld()
	members := w.state.Upstreams["g1"]
	members[1].Primary, members[1].Revision = true, 20
	c, ok := w.Choose(need(catalog.Primary, true))
	assert.Assert(t, ok)
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-b"))
	w.Observe(c, true, w.now, execution.Result{Outcome: execution.NotRun, Reason: execution.Refused, Code: statement.ReadOnly})
	c, _ = w.Choose(need(catalog.Primary, true))
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-a"))
	members[1].Revision = 21
	w.state.Leaving["u-b"] = w.now
	c, _ = w.Choose(need(catalog.Primary, true))
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-a"), "the claim of one that has gone does not hide the other")
	delete(w.state.Leaving, "u-b")
	c, _ = w.Choose(need(catalog.Primary, true))
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-b"), "its registration has changed since")
}

// Guards against work for upstreams that leave, beyond the bounds, and against a
// homeless route.
func TestLeavingAndHomes(t *testing.T) {
	w := newWorld()
	w.led(1, 7)
	w.state.Evacuated["b"] = w.now
	c, _ := w.Choose(need(catalog.BoundedStaleness, false))
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-c"))
	w.state.Leaving["u-a"] = w.now
	_, ok := w.Choose(need(catalog.Primary, true))
	assert.Assert(t, ok, "a primary that leaves is used until another one leads")
	w.now += 2*time.Second + time.Millisecond
	_, ok = w.Choose(need(catalog.Primary, true))
	assert.Assert(t, !ok)
	n := need(catalog.BoundedStaleness, false)
	n.Grant.Route.HomeRegions = []ident.Region{"r-a", "r-b"}
	n.Grant.Organisation.HomeRegions = []ident.Region{"r-b"}
	_, ok = w.Choose(n)
	assert.Assert(t, !ok, "the only home is to be left")
}

// Guards against a route with homes whose statements are sent to a VM elsewhere.
func TestHomesBindTheExecutingVM(t *testing.T) {
	w := newWorld()
	w.led(1, 7)
	w.live = w.live[2:4] // only the VMs of zone b live
	n := need(catalog.Primary, true)
	c, _ := w.Choose(n)
	assert.Assert(t, c.ExecutingVM == "vm-b0" || c.ExecutingVM == "vm-b1")
	n.Grant.Route.HomeRegions = []ident.Region{"r-a"}
	w.live = append([]placement.VM{{Name: "vm-c0", Zone: "c", Region: "r-c"}}, w.live...)
	c, ok := w.Choose(n)
	assert.Assert(t, ok)
	assert.Equal(t, c.ExecutingVM, w.cfg.Self.Name)
}

// Guards against requests that keep going to a VM which cannot reach the upstream
// while others can.
func TestVMsThatCannotReachTheUpstreamArePassedOver(t *testing.T) {
	w := newWorld()
	fail := func() ident.VMName {
		w.now += tryInterval
		c, ok := w.Choose(need(catalog.Primary, true))
		assert.Assert(t, ok)
		w.Observe(c, true, w.now, execution.Result{Outcome: execution.NotRun, Reason: execution.Unreachable})
		return c.ExecutingVM
	}
	first, second := fail(), fail()
	assert.Assert(t, first != second)
	w.now += tryInterval
	third, ok := w.Choose(need(catalog.Primary, true))
	assert.Assert(t, ok)
	assert.Assert(t, third.ExecutingVM != first && third.ExecutingVM != second, "a VM of another zone may reach it")
	w.now += unreachableTime
	again, _ := w.Choose(need(catalog.Primary, true))
	assert.Equal(t, again.ExecutingVM, first)
}

// Guards against many statements that wait in vain for a primary which has failed.
func TestFailedPrimaryIsTriedByOneStatementAtATime(t *testing.T) {
	w := newWorld()
	c, _ := w.Choose(need(catalog.Primary, true))
	w.Observe(c, true, w.now, execution.Result{Outcome: execution.Unknown})
	tried := 0
	for range 100 {
		if _, ok := w.Choose(need(catalog.Primary, true)); ok {
			tried++
		}
		w.now += time.Millisecond
	}
	assert.Equal(t, tried, 2)
	w.Observe(c, true, w.now, execution.Result{Outcome: execution.Done})
	for range 3 {
		_, ok := w.Choose(need(catalog.Primary, true))
		assert.Assert(t, ok)
	}
}

// Guards against a cold upstream that gets more than its part of the cold rate.
func TestColdUpstreamIsSpared(t *testing.T) {
	w := newWorld()
	w.led(1, 7)
	n := need(catalog.BoundedStaleness, false)
	n.Grant.Group.SlowStartRate = 60 // 10 a second for each of 6 VMs
	w.state.SlowStartUntil["u-b"] = w.now + 10*time.Second
	sent := 0
	for range 1000 {
		w.led(1, 7)
		if c, ok := w.Choose(n); ok && c.Target.Upstream == "u-b" {
			sent++
		}
		w.now += time.Millisecond
	}
	assert.Assert(t, sent >= 9 && sent <= 11, "%d statements in a second", sent)
	w.now += 10 * time.Second
	w.led(1, 7)
	c, _ := w.Choose(n)
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-b"))
}
