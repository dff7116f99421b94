package groupcontroller

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// followFleet starts six VMs in three zones that follow groups on demand, because the
// configuration has a second group beside that of f.
func followFleet(t *testing.T, f *fakeGroup, test func(fleet []*Controller)) {
	conf := testConfiguration(nil)
	network, store := &fakeNetwork{}, &fakePlatform{objects: map[string]objectapi.Object{}}
	source := &fakeSource{current: conf}
	conf.Databases["other"] = configuration.Database{}
	var fleet []*Controller
	for i := range 6 {
		zone := ident.AvailabilityZone([]string{"za", "zb", "zc"}[i%3])
		fleet = append(fleet, New(Options{
			Mesh: network.join(ident.VMName(fmt.Sprint("vm", i)), zone), Platform: store, Configuration: source,
			NewAgent: f.newAgent, Log: zerolog.Nop(), FollowAllLimit: 1,
		}))
	}
	for _, c := range fleet {
		c.Start()
	}
	time.Sleep(time.Second)
	test(fleet)
	for _, c := range fleet {
		c.Stop()
	}
}

// following returns the VMs that follow the test group, and their zones.
func following(fleet []*Controller) (vms []*Controller, zones map[ident.AvailabilityZone]bool) {
	zones = map[ident.AvailabilityZone]bool{}
	for _, c := range fleet {
		if c.group(testGroup) != nil {
			vms = append(vms, c)
			zones[c.self.Zone] = true
		}
	}
	return vms, zones
}

// nonFollower returns a VM that does not follow the test group.
func nonFollower(fleet []*Controller) *Controller {
	for _, c := range fleet {
		if c.group(testGroup) == nil {
			return c
		}
	}
	return nil
}

// Guards against a group without witnesses in different zones, against a VM that cannot
// serve a group which it did not follow before, and against streams that stay open after
// the last request or close while requests arrive.
func TestFollowOnDemand(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		followFleet(t, newFakeGroup(), func(fleet []*Controller) {
			vms, zones := following(fleet)
			assert.Equal(t, len(vms), permanentFollowerCount)
			assert.Equal(t, len(zones), permanentFollowerCount)
			c := nonFollower(fleet)
			for range 4 { // one request every 40 s keeps the group followed
				target, err := c.Primary(within(t, time.Second), testGroup)
				assert.NilError(t, err)
				assert.Equal(t, target.Upstream, ident.UpstreamName("a"))
				assert.NilError(t, c.Confirm(within(t, time.Second), target, at(1, 1)))
				time.Sleep(40 * time.Second)
			}
			g := c.group(testGroup)
			assert.Assert(t, g != nil)
			time.Sleep(idleTimeout + idleSweepInterval + unfollowGracePeriod)
			assert.Assert(t, c.group(testGroup) == nil)
			assert.Assert(t, g.ctx.Err() != nil, "streams are still open")
			vms, _ = following(fleet)
			assert.Equal(t, len(vms), permanentFollowerCount)
		})
	})
}

// Guards against a dead primary that is not replaced within the target, or replaced
// twice, when only some VMs follow its group, and against a VM that follows the group
// for its requests and does not learn the new primary.
func TestFailoverOnDemand(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFakeGroup()
		followFleet(t, f, func(fleet []*Controller) {
			c := nonFollower(fleet)
			_, err := c.Primary(within(t, time.Second), testGroup)
			assert.NilError(t, err)
			f.setPoints("c", at(1, 9), at(1, 9))
			synctest.Wait()
			f.change("a", func(m *fakeMember) { m.refuse = true })
			time.Sleep(time.Second)
			vms, _ := following(fleet)
			assert.Equal(t, len(vms), permanentFollowerCount+1)
			for _, vm := range vms {
				target, err := vm.Primary(within(t, time.Millisecond), testGroup)
				assert.NilError(t, err)
				assert.Equal(t, target.Upstream, ident.UpstreamName("c"))
				assert.Equal(t, target.Term, ident.Term(2))
			}
			unplanned, _ := promotions(fleet)
			assert.Equal(t, unplanned, int64(1))
		})
	})
}

// Guards against VMs that disagree on the permanent followers of a group, and against a
// VM that follows far more than its share of the groups.
func TestPermanentFollowersAreBalanced(t *testing.T) {
	network := &fakeNetwork{}
	for i := range 60 {
		network.join(ident.VMName(fmt.Sprintf("vm%02d", i)), ident.AvailabilityZone(fmt.Sprint("z", i%6)))
	}
	members := network.meshes[0].Members()
	ranking := newFollowerRanking(members)
	const groups = 2000
	load := map[ident.VMName]int{}
	for i := range groups {
		name := ident.GroupName(fmt.Sprint("group-", i))
		vms := ranking.permanentFollowers(name)
		assert.Equal(t, len(vms), permanentFollowerCount)
		zones := map[ident.AvailabilityZone]bool{}
		for _, vm := range vms {
			zones[vm.Zone] = true
			load[vm.Name]++
		}
		assert.Equal(t, len(zones), permanentFollowerCount)
		for _, m := range members {
			assert.Equal(t, ranking.isPermanentFollower(m, name), containsMember(vms, m.Name))
		}
	}
	for _, m := range members {
		mean := groups * permanentFollowerCount / len(members)
		assert.Assert(t, load[m.Name] > mean/2 && load[m.Name] < 2*mean, "%s follows %d", m.Name, load[m.Name])
	}
}

// Guards against a proposer that opens a connection to every VM in a large fleet, and
// against records that do not reach VMs in other zones.
func TestRecordsAreRelayedByWatchers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		network := &fakeNetwork{}
		const zones, perZone = 5, 8
		for i := range zones * perZone {
			network.join(ident.VMName(fmt.Sprintf("vm%02d", i)), ident.AvailabilityZone(fmt.Sprint("z", i%zones)))
		}
		conf := testConfiguration(nil)
		conf.Databases["other"] = configuration.Database{}
		var sent sync.Map // receiving VM name to the set of sending VM names
		var fleet []*Controller
		for _, mesh := range network.meshes {
			fleet = append(fleet, New(Options{
				Mesh: mesh, Platform: &fakePlatform{objects: map[string]objectapi.Object{}},
				Configuration: &fakeSource{current: conf}, Log: zerolog.Nop(), FollowAllLimit: 1,
			}))
			receive := mesh.handlers[kindRecord]
			mesh.handlers[kindRecord] = func(from peer.Member, body cbor.RawMessage) {
				senders, _ := sent.LoadOrStore(mesh.self.Name, &sync.Map{})
				senders.(*sync.Map).Store(from.Name, true)
				receive(from, body)
			}
		}
		fleet[0].announceRecord(recordMessage{Group: testGroup, Version: 3})
		time.Sleep(time.Second)
		direct := 0
		for _, mesh := range network.meshes[1:] {
			senders, received := sent.Load(mesh.self.Name)
			assert.Assert(t, received, "%s received no record", mesh.self.Name)
			if _, ok := senders.(*sync.Map).Load(fleet[0].self.Name); ok {
				direct++
			}
		}
		assert.Equal(t, direct, perZone-1+relaysPerZone*(zones-1))
		for _, c := range fleet {
			c.Stop()
		}
	})
}

func containsMember(vms []peer.Member, name ident.VMName) bool {
	return slices.ContainsFunc(vms, func(m peer.Member) bool { return m.Name == name })
}
