package configcontroller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// Guards against periodic requests that open connections to the whole fleet, and against
// requests to VMs that are dead.
func TestRandomPeersChangeSlowly(t *testing.T) {
	c := &Controller{random: rand.New(rand.NewPCG(1, 1))}
	var members []peer.Member
	for i := range 500 {
		members = append(members, peer.Member{Name: ident.VMName(fmt.Sprintf("vm%03d", i))})
	}
	const requests = 10 * drawsPerReplacement
	chosen := map[ident.VMName]bool{}
	for range requests {
		chosen[c.randomPeer(members).Name] = true
	}
	assert.Assert(t, len(chosen) > randomPeerCount, "the random peers never change")
	assert.Assert(t, len(chosen) < 3*randomPeerCount, "requests to %d VMs", len(chosen))
	for name := range chosen {
		for i := range members {
			if members[i].Name == name {
				members[i].State = peer.Dead
			}
		}
	}
	alive := 0
	for range requests {
		if c.randomPeer(members).State == peer.Alive {
			alive++
		}
	}
	assert.Assert(t, alive > requests*9/10, "%d of %d requests to live VMs", alive, requests)
}

// Guards against requests to both watchers of a zone while one suffices, and against
// requests to only one watcher when the newest reading is old.
func TestWatchersAreRequestedInTurn(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		time.Sleep(5 * time.Second)
		for name, vm := range f.network.vms {
			if _, watcher := vm.watcherRank(); watcher {
				continue
			}
			assert.Equal(t, fewestWatchers(vm), 1, "%s", name)
			f.setOutage(true)
			time.Sleep(bothWatchersAge + time.Second)
			assert.Equal(t, fewestWatchers(vm), watchersPerZone, "%s", name)
			return
		}
		t.Fatal("every VM is a watcher")
	})
}

// fewestWatchers returns the smallest number of watchers of its zone among the VM's
// targets in several rounds. The random peer of a round may also be a watcher.
func fewestWatchers(vm *testVM) int {
	fewest := watchersPerZone
	for range 20 {
		n := 0
		for _, target := range vm.gossipTargets() {
			for _, watcher := range watchersOf(vm.Members(), vm.Self().Zone) {
				if watcher.Name == target.Name {
					n++
				}
			}
		}
		fewest = min(fewest, n)
	}
	return fewest
}
