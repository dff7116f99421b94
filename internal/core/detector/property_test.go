package detector

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed" // repeatable property tests
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// checkStep returns a check of the invariants of one VM's view.
func (s *sim) checkStep(t *rapid.T) func(*simVM) {
	type seen struct{ by, of ident.VMName }
	highest := map[seen]ident.Incarnation{}
	generations := map[ident.VMName]int{}
	return func(vm *simVM) {
		self := vm.detector.Self()
		if self.State == Dead || self.State == Suspect {
			t.Fatalf("%s considers itself %s", self.Name, self.State)
		}
		if generations[self.Name] != vm.generation {
			generations[self.Name] = vm.generation
			for _, name := range s.names {
				delete(highest, seen{self.Name, name})
			}
		}
		for name, e := range vm.detector.members {
			key := seen{self.Name, name}
			if e.Member.Incarnation < highest[key] {
				t.Fatalf("%s reverted to an earlier incarnation of %s", self.Name, name)
			}
			highest[key] = e.Member.Incarnation
		}
		limit := vm.detector.cfg.MaxUpdateBytes + 100 // allows for the additional record about the receiver
		if s.largest > limit {
			t.Fatalf("a probe message carries about %d bytes of records", s.largest)
		}
	}
}

// differences describes the first incorrect member state in the views, or returns "".
func (s *sim) differences() string {
	for _, name := range s.names {
		vm := s.vms[name]
		if !vm.running || vm.left {
			continue
		}
		for _, other := range s.names {
			o := s.vms[other]
			m, known := vm.detector.Member(other)
			state := fmt.Sprintf("%s sees %s as %s/%d (known %v), which has incarnation %d", name, other, m.State, m.Incarnation, known, o.self.Incarnation)
			switch {
			case o.running && !o.left && (!known || m.State != Alive || m.Incarnation != o.self.Incarnation):
				return state
			case (!o.running || o.left) && known && !m.State.inactive():
				return state + " and is stopped"
			}
		}
	}
	return ""
}

func (s *sim) actions() map[string]func(*rapid.T) {
	index := rapid.IntRange(0, len(s.names)-1)
	pick := func(t *rapid.T) *simVM { return s.vms[s.names[index.Draw(t, "vm")]] }
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { s.run(s.Now + 200*time.Millisecond) },
		"pass": func(t *rapid.T) {
			s.run(s.Now + time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms"))*time.Millisecond)
		},
		"pause": func(t *rapid.T) {
			pick(t).paused = s.Now + time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms"))*time.Millisecond
		},
		"restart": func(t *rapid.T) {
			if vm := pick(t); s.running() > 2 || !vm.running {
				s.stop(vm)
				s.start(vm)
			}
		},
		"stop": func(t *rapid.T) {
			if s.running() > 2 {
				s.stop(pick(t))
			}
		},
		"leave": func(t *rapid.T) {
			if vm := pick(t); s.running() > 2 && vm.running && !vm.left && vm.paused <= s.Now {
				vm.left = true
				s.deliver(vm, vm.detector.Leave(s.Now))
				generation := vm.generation
				s.Schedule(s.Now+100*time.Millisecond, func() {
					if vm.generation == generation {
						s.stop(vm)
					}
				})
			}
		},
		"cut": func(t *rapid.T) { s.blocked[[2]ident.VMName{pick(t).self.Name, pick(t).self.Name}] = true },
		"partition": func(t *rapid.T) {
			side := rapid.Uint64().Draw(t, "side")
			for i, a := range s.names {
				for j, b := range s.names {
					if side>>i&1 != side>>j&1 {
						s.blocked[[2]ident.VMName{a, b}] = true
					}
				}
			}
		},
		"messages": func(t *rapid.T) {
			s.loss, s.duplicate = rapid.Float64Range(0, 0.5).Draw(t, "loss"), rapid.Float64Range(0, 1).Draw(t, "duplicate")
			s.jitter = time.Duration(rapid.IntRange(1, 600).Draw(t, "jitter")) * time.Millisecond
		},
		"heal": func(*rapid.T) { s.heal() },
	}
}

func (s *sim) heal() {
	clear(s.blocked)
	s.loss, s.duplicate, s.jitter = 0, 0, time.Millisecond
	for _, vm := range s.vms {
		vm.paused = min(vm.paused, s.Now)
	}
}

// running counts the VMs that run and have not left.
func (s *sim) running() (n int) {
	for _, vm := range s.vms {
		if vm.running && !vm.left {
			n++
		}
	}
	return n
}

// convergenceTime is the time without faults after which views must agree. It allows for
// several exchanges of records.
const convergenceTime = 3 * time.Minute

// Guards against views that remain incorrect after faults have ended (missing members,
// stopped members considered alive, live members considered dead after a partition,
// earlier incarnations), and against probe messages that grow with the number of changes.
func TestViewsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 3).Draw(t, "zones"), rapid.IntRange(1, 3).Draw(t, "per zone"))
		for _, name := range s.names {
			s.start(s.vms[name])
		}
		s.onStep = s.checkStep(t)
		s.publishPlatformList()
		s.run(30 * time.Second)
		if d := s.differences(); d != "" {
			t.Fatalf("after start: %s", d)
		}
		t.Repeat(s.actions())
		s.heal()
		s.run(s.Now + convergenceTime)
		if d := s.differences(); d != "" {
			t.Fatal(d)
		}
	})
}

// Guards against an isolated VM that declares all others dead, and against others that
// do not detect its isolation.
func TestIsolatedVMDeclaresNobodyDead(t *testing.T) {
	s := newSim(3, 3, 3)
	for _, name := range s.names {
		s.start(s.vms[name])
	}
	s.run(30 * time.Second)
	isolated := s.vms[s.names[4]]
	for _, name := range s.names {
		s.blocked[[2]ident.VMName{isolated.self.Name, name}] = true
		s.blocked[[2]ident.VMName{name, isolated.self.Name}] = true
	}
	s.run(2 * time.Minute)
	for _, m := range isolated.detector.Members() {
		assert.Assert(t, m.State != Dead, "%s", m.Name)
	}
	for _, name := range s.names {
		if m, _ := s.vms[name].detector.Member(isolated.self.Name); name != isolated.self.Name {
			assert.Equal(t, m.State, Dead, "in the view of %s", name)
		}
	}
}

// Guards against a suspicion of a member that this VM cannot reach but others can.
func TestBlockedLinkCausesNoSuspicion(t *testing.T) {
	s := newSim(4, 1, 5)
	for _, name := range s.names {
		s.start(s.vms[name])
	}
	s.run(20 * time.Second)
	s.blocked[[2]ident.VMName{s.names[0], s.names[1]}] = true
	s.run(2 * time.Minute)
	for _, name := range s.names {
		assert.Equal(t, s.vms[name].detector.Stats().Suspicions, uint64(0), "by %s", name)
		for _, m := range s.vms[name].detector.Members() {
			assert.Equal(t, m.State, Alive, "%s in the view of %s", m.Name, name)
		}
	}
}

// Guards against a VM that suspects others because acknowledgements arrived while it was
// paused.
func TestPausedVMRaisesNoSuspicions(t *testing.T) {
	s := newSim(5, 1, 5)
	for _, name := range s.names {
		s.start(s.vms[name])
	}
	s.run(20 * time.Second)
	paused := s.vms[s.names[2]]
	for range 20 {
		s.run(paused.detector.nextProbeAt + 500*time.Microsecond) // a probe is in flight
		paused.paused = s.Now + 3*time.Second
		for _, name := range s.names { // acknowledgements do not reach the paused VM
			s.blocked[[2]ident.VMName{name, paused.self.Name}] = true
		}
		s.run(paused.paused - 1)
		clear(s.blocked)
		s.run(s.Now + 5*time.Second)
	}
	assert.Equal(t, paused.detector.Stats().Suspicions, uint64(0))
}
