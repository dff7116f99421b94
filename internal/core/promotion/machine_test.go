package promotion

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed" // repeatable property tests
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// operations are the events that a test can trigger; pick returns a number below n.
var operations = map[string]func(s *simulation, pick func(n int) int){
	"write": func(s *simulation, pick func(int) int) {
		for range 1 + pick(3) {
			s.sequence++
			s.vms[pick(3)].write(s.sequence)
			s.advance(time.Duration(pick(20)) * time.Millisecond)
		}
	},
	"read": func(s *simulation, pick func(int) int) {
		s.vms[pick(3)].read()
		s.advance(time.Duration(pick(20)) * time.Millisecond)
	},
	"advance": func(s *simulation, pick func(int) int) { s.advance(time.Duration(1+pick(20)) * 100 * time.Millisecond) },
	"cut": func(s *simulation, pick func(int) int) {
		nodes := s.nodes()
		s.cut[[2]string{nodes[pick(len(nodes))], nodes[pick(len(nodes))]}] = true
	},
	"isolate": func(s *simulation, pick func(int) int) {
		nodes := s.nodes()
		node := nodes[pick(6)]
		for _, other := range nodes {
			s.cut[[2]string{node, other}] = true
		}
	},
	"reconnect": func(s *simulation, _ func(int) int) { s.cut = map[[2]string]bool{} },
	"heal":      func(s *simulation, _ func(int) int) { s.heal() },
	"kill":      func(s *simulation, pick func(int) int) { s.dead[s.members[pick(3)].node()] = true },
	"start":     func(s *simulation, pick func(int) int) { delete(s.dead, s.members[pick(3)].node()) },
	"pause":     func(s *simulation, pick func(int) int) { s.pause(s.nodes()[pick(6)]) },
	"resume": func(s *simulation, pick func(int) int) {
		for _, node := range s.nodes() {
			if pick(2) == 0 {
				s.resume(node)
			}
		}
	},
	"restart": func(s *simulation, pick func(int) int) {
		vm := s.vms[pick(3)]
		delete(s.paused, vm.name)
		vm.start()
	},
	"outage": func(s *simulation, pick func(int) int) { s.outage = pick(3) == 0 },
	"loss":   func(s *simulation, pick func(int) int) { s.loss = pick(40) },
	"leave": func(s *simulation, pick func(int) int) {
		m := s.members[pick(3)]
		m.usable = !m.usable
		s.configure()
	},
}

func (s *simulation) nodes() []string {
	var nodes []string
	for _, m := range s.members {
		nodes = append(nodes, m.node())
	}
	for _, vm := range s.vms {
		nodes = append(nodes, vm.name)
	}
	return append(nodes, "platform")
}

// Guards against a lost acknowledged write, an acknowledgement by an old primary,
// two primaries in a term, a read that misses an acknowledged write, and a group or a
// read that makes no progress after all faults have ended.
func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		actions := map[string]func(*rapid.T){"": func(t *rapid.T) {
			if s.failure != nil {
				t.Fatal(s.failure)
			}
		}}
		for name, run := range operations {
			actions[name] = func(t *rapid.T) {
				run(s, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
			}
		}
		t.Repeat(actions)
		s.settle()
		if s.failure != nil {
			t.Fatal(s.failure)
		}
	})
}

// runRandom runs a random schedule and returns the violation that it found.
func runRandom(seed uint64, change func(*simulation)) (*simulation, error) {
	s := newSimulation(seed)
	change(s)
	for _, vm := range s.vms {
		vm.machine.rules = s.rules
	}
	random := rand.New(rand.NewPCG(seed, 3))
	names := []string{
		"write", "write", "write", "read", "read", "advance", "advance", "cut", "isolate", "reconnect", "pause", "resume", "restart", "outage", "loss", "leave", "kill", "start", "heal",
	}
	for range 120 {
		operations[names[random.IntN(len(names))]](s, random.IntN)
	}
	return s, s.failure
}

// mutationSeeds is the number of seeds of the mutation checks. The unchanged rules
// must pass all of them.
const mutationSeeds = 100

// Guards against a simulation that does not detect a broken rule.
func TestMutantsAreDetected(t *testing.T) {
	mutants := map[string]func(*simulation){
		"choose a member other than the most advanced": func(s *simulation) {
			s.rules.compareLogs = func(a, b ident.LogPoint) int { return b.Compare(a) }
		},
		"confirm with a status of another term": func(s *simulation) {
			s.acknowledges = func(v *routing.View, primary ident.UpstreamName, _ ident.Term, point ident.LogPoint) bool {
				for i := range v.Observations {
					if v.Observations[i].Known && v.Members[i].Upstream != primary && v.Observations[i].Status.Received.AtLeast(point) {
						return true
					}
				}
				return false
			}
		},
		"read index from the last streamed statuses": func(s *simulation) { s.indexFromStreams = true },
		"fence a minority":                           func(s *simulation) { s.rules.majority = func(n int) int { return n / 2 } },
	}
	for name, change := range mutants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(mutationSeeds) {
				if _, err := runRandom(seed, change); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("the mutant passed")
		})
	}
}

// Guards against seeds that fail without a mutation, and against schedules with so
// many faults that nothing is ever promoted or acknowledged.
func TestUnchangedRulesPassMutationSeeds(t *testing.T) {
	promotions, writes, reads := 0, 0, 0
	for seed := range uint64(mutationSeeds) {
		s, err := runRandom(seed, func(*simulation) {})
		assert.NilError(t, err, "seed %d", seed)
		promotions += len(s.promoted) - 1
		writes += len(s.acked)
		reads += s.readsServed
	}
	t.Logf("%d promotions, %d acknowledged writes, %d reads", promotions, writes, reads)
	assert.Assert(t, promotions > mutationSeeds && writes > mutationSeeds && reads > mutationSeeds)
}
