package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed" // repeatable property tests
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// step does one random thing to the fleet; choose returns a number below its argument.
func (f *fleet) step(choose func(int) int) {
	vm := f.vms[choose(len(f.vms))]
	other := f.vms[choose(len(f.vms))]
	zone := choose(len(zones))
	switch choose(20) {
	case 0, 1, 2:
		f.now += time.Duration(1+choose(15)) * 100 * time.Millisecond
	case 3:
		f.ask(vm, other)
	case 4, 5:
		f.round(vm)
	case 6:
		for _, v := range f.vms {
			f.round(v)
		}
	case 7, 8, 9:
		if len(f.messages) > 0 {
			f.deliver(choose(len(f.messages)))
		}
	case 10:
		if n := len(f.messages); n > 0 { // duplicate or lose
			i := choose(n)
			if choose(2) == 0 {
				f.messages = append(f.messages, f.messages[i])
			} else {
				f.messages = append(f.messages[:i], f.messages[i+1:]...)
			}
		}
	case 11:
		f.read(vm, choose(2) == 0)
		f.deliverAll()
	case 12:
		f.propose(vm)
		if choose(2) == 0 {
			f.deliverAll()
		} else if choose(2) == 0 {
			f.giveUp(vm)
		}
	case 13, 14:
		f.acceptance(vm)
	case 15:
		f.acknowledge(vm)
		f.accept(other)
	case 16:
		f.start(vm)
	case 17:
		for _, v := range f.vms { // a zone, or all VMs but one, restart
			if v.zone == zones[zone] || choose(2) == 0 && v != vm {
				f.start(v)
			}
		}
	case 18:
		vm.paused = !vm.paused
	case 19:
		f.fault(choose, zone)
	}
}

func (f *fleet) fault(choose func(int) int, zone int) {
	switch choose(3) {
	case 0:
		f.outage = !f.outage
	case 1:
		f.cut[zones[zone]] = !f.cut[zones[zone]]
	case 2:
		link := [2]ident.AvailabilityZone{zones[min(zone, (zone+1)%3)], zones[max(zone, (zone+1)%3)]}
		f.apart[link] = !f.apart[link]
	}
}

// round asks every other VM and delivers what can be delivered.
func (f *fleet) round(vm *fakeVM) {
	if vm.paused {
		return
	}
	for _, other := range f.vms {
		if other != vm {
			f.ask(vm, other)
		}
	}
	f.deliverAll()
}

// acceptance drives a proposal by one VM as far as the network allows.
func (f *fleet) acceptance(vm *fakeVM) {
	if vm.accepting.version == 0 || vm.accepting.version <= f.accepted {
		f.propose(vm)
		f.deliverAll()
	}
	for _, v := range f.vms {
		f.read(v, true)
		f.round(v)
		f.acknowledge(v)
	}
	f.deliverAll()
	f.read(vm, true)
	f.deliverAll()
	f.accept(vm)
}

const steps = 150

// Guards against a withdrawn key that a VM honours longer than F after the note
// was accepted, under every fault of the fake fleet.
func TestNoVMHonoursASupersededVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rules{})
		for range steps {
			f.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
			if v := f.violation(); v != "" {
				t.Fatal(v)
			}
		}
	})
}

// violationIn searches seeded random runs for a violation; it also returns the
// number of accepted versions, which shows that the runs do something.
func violationIn(r rules, runs int) (found string, accepted int) {
	for seed := range runs {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		f := newFleet(r)
		for range steps {
			f.step(random.IntN)
			if found = f.violation(); found != "" {
				return found, accepted
			}
		}
		accepted += len(f.acceptedAt)
	}
	return "", accepted
}

// Guards against a test that cannot find faults: each wrong rule must produce a
// violation in the same runs in which the right rules produce none.
func TestWrongRulesAreFound(t *testing.T) {
	const runs = 300
	found, accepted := violationIn(rules{}, runs)
	assert.Equal(t, found, "")
	assert.Assert(t, accepted > runs, "only %d versions were accepted", accepted)
	for name, r := range map[string]rules{
		"an answer is dated by its arrival": {dateByArrival: true},
		"a restarted VM attests at once":    {trustRestart: true},
	} {
		t.Run(name, func(t *testing.T) {
			found, accepted := violationIn(r, runs)
			t.Log(accepted, found)
			assert.Assert(t, found != "")
		})
	}
}

// Guards against a platform outage that stops service: whatever phase a note is
// in when the platform fails, every VM stays fresh while its questions are
// answered twice a second.
func TestPlatformOutageAloneKeepsEveryVMFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		f := newFleet(rules{})
		for range choose(4) {
			f.acceptance(f.vms[choose(len(f.vms))])
			f.deliverAll()
		}
		f.now += 100 * time.Millisecond
		for _, vm := range f.vms {
			f.read(vm, true)
		}
		f.deliverAll()
		vm := f.vms[choose(len(f.vms))]
		phases := []func(){
			func() { f.propose(vm) },
			f.deliverAll,
			func() { f.read(f.vms[choose(len(f.vms))], true); f.deliverAll() },
			func() { f.acceptance(vm) },
			func() { // the acceptance takes effect and its answer is lost
				if len(f.messages) > 0 {
					f.deliver(0)
				}
			},
		}
		for _, phase := range phases[:choose(len(phases)+1)] {
			phase()
		}
		f.outage = true
		for range 20 {
			for _, vm := range f.vms {
				f.round(vm)
			}
			for range 5 {
				f.now += 100 * time.Millisecond
				assert.Equal(t, f.violation(), "")
				for _, vm := range f.vms {
					ok, why := vm.Fresh(f.local(vm))
					assert.Assert(t, ok, "%s: %s", vm.name, why)
				}
			}
		}
	})
}

// Guards against a zone that serves keyed requests although neither the platform
// nor another zone answers it.
func TestIsolatedZoneStopsAfterF(t *testing.T) {
	f := newFleet(rules{})
	f.cut["ruse-a"] = true
	f.apart[[2]ident.AvailabilityZone{"constanta-a", "ruse-a"}] = true
	f.apart[[2]ident.AvailabilityZone{"plovdiv-a", "ruse-a"}] = true
	for f.now < 10*time.Second {
		for _, vm := range f.vms {
			f.round(vm)
			f.read(vm, true)
			ok, _ := vm.Fresh(f.local(vm))
			assert.Equal(t, ok, vm.zone != "ruse-a" || f.now < MaxStaleness, "%s at %s", vm.name, f.now)
		}
		f.deliverAll()
		f.now += 250 * time.Millisecond
	}
}

// Guards against a restarted VM that qualifies by answers to questions asked before
// its first round was complete, or although a VM restarted between the rounds:
// the VMs that knew a proposal may have restarted meanwhile.
func TestRestartNeedsTwoRounds(t *testing.T) {
	f := newFleet(rules{})
	ms := time.Millisecond
	others := f.vms[1:]
	hear := func(s *State, asked time.Duration, restarted int) {
		for i, vm := range others {
			a := vm.Attestation()
			if i == restarted {
				a.Incarnation++
			}
			s.RecordAttestation(a, asked)
		}
	}
	restart := func() *State {
		f.start(f.vms[0])
		f.vms[0].Adopt(1, zones)
		return f.vms[0].State
	}
	s := restart()
	hear(s, 1*ms, -1)
	s.Tick(5 * ms)
	hear(s, 3*ms, -1)
	s.Tick(6 * ms)
	assert.Assert(t, !s.Qualified())
	hear(s, 7*ms, -1)
	s.Tick(8 * ms)
	assert.Assert(t, s.Qualified())

	s = restart()
	hear(s, 1*ms, -1)
	s.Tick(5 * ms)
	hear(s, 6*ms, 2)
	s.Tick(7 * ms)
	assert.Assert(t, !s.Qualified())
}

// Guards against a zone for which the members of a superseded share table speak.
func TestNewerShareTableEndsTheOlder(t *testing.T) {
	f := newFleet(rules{})
	f.outage = true
	ask := func() bool {
		f.now += MaxStaleness
		vm := f.vm(r, 0)
		f.ask(vm, f.vm(r, 1))
		f.ask(vm, f.vm(c, 0))
		f.ask(vm, f.vm(c, 1))
		f.deliverAll()
		fresh, _ := vm.Fresh(f.local(vm))
		return fresh
	}
	assert.Assert(t, ask())
	newer := Table{Version: 2, VMs: f.vm(c, 0).Table(c).VMs}
	f.vm(c, 1).SetTable(c, newer)
	assert.Assert(t, !ask(), "an attestation names a newer table")
	f.vm(r, 0).SetTable(c, newer)
	f.vm(c, 0).SetTable(c, newer)
	assert.Assert(t, ask())

	vm := f.vm(r, 0)
	f.now += MaxStaleness
	now := f.local(vm)
	f.ask(vm, f.vm(r, 1))
	f.deliverAll()
	vm.RecordZoneSummary(ZoneSummary{Zone: c, Version: 1, Table: 1}, now)
	fresh, _ := vm.Fresh(now)
	assert.Assert(t, !fresh, "a summary counted an older table")
	vm.RecordZoneSummary(ZoneSummary{Zone: c, Version: 1, Table: 2}, now+1)
	fresh, _ = vm.Fresh(now + 1)
	assert.Assert(t, fresh)
}
