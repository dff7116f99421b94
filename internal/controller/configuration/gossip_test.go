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

// Guards against a VM that opens connections to the whole fleet by its regular
// questions, and against one that keeps asking VMs that are gone.
func TestContactsChangeSlowly(t *testing.T) {
	c := &Controller{random: rand.New(rand.NewPCG(1, 1))}
	var members []peer.Member
	for i := range 500 {
		members = append(members, peer.Member{Name: ident.VMName(fmt.Sprintf("vm%03d", i))})
	}
	const questions = 10 * contactDraws
	asked := map[ident.VMName]bool{}
	for range questions {
		asked[c.contact(members).Name] = true
	}
	assert.Assert(t, len(asked) > randomContacts, "the contacts never change")
	assert.Assert(t, len(asked) < 3*randomContacts, "%d VMs asked", len(asked))
	for name := range asked {
		for i := range members {
			if members[i].Name == name {
				members[i].State = peer.Dead
			}
		}
	}
	alive := 0
	for range questions {
		if c.contact(members).State == peer.Alive {
			alive++
		}
	}
	assert.Assert(t, alive > questions*9/10, "%d of %d questions to live VMs", alive, questions)
}

// Guards against questions to both watchers of a zone while one is enough, and
// against asking one that does not help when the reading grows old.
func TestWatchersAreAskedInTurn(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.setUp()
		time.Sleep(5 * time.Second)
		for name, vm := range f.network.vms {
			if _, watcher := vm.rank(); watcher {
				continue
			}
			assert.Equal(t, fewestWatchers(vm), 1, "%s", name)
			f.setOutage(true)
			time.Sleep(bothAfter + time.Second)
			assert.Equal(t, fewestWatchers(vm), watchersPerZone, "%s", name)
			return
		}
		t.Fatal("every VM is a watcher")
	})
}

// fewestWatchers returns the least number of watchers of its zone that the VM would
// ask in several rounds; the random VM of a round may be a watcher as well.
func fewestWatchers(vm *testVM) int {
	fewest := watchersPerZone
	for range 20 {
		n := 0
		for _, target := range vm.targets() {
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
