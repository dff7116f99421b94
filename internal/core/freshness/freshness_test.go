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

// step performs one random event. choose returns a number below its argument.
func (f *fleet) step(choose func(int) int) {
	vm := f.vms[choose(len(f.vms))]
	other := f.vms[choose(len(f.vms))]
	zone := choose(len(zones))
	switch choose(20) {
	case 0, 1, 2:
		f.now += time.Duration(1+choose(15)) * 100 * time.Millisecond
	case 3:
		f.request(vm, other)
	case 4, 5:
		f.requestAll(vm)
	case 6:
		for _, v := range f.vms {
			f.requestAll(v)
		}
	case 7, 8, 9:
		if len(f.messages) > 0 {
			f.deliver(choose(len(f.messages)))
		}
	case 10:
		if n := len(f.messages); n > 0 { // duplicate or drop a message
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
			f.abandonProposal(vm)
		}
	case 13, 14:
		f.runProposal(vm)
	case 15:
		f.acknowledge(vm)
		f.accept(other)
	case 16:
		f.start(vm)
	case 17:
		for _, v := range f.vms { // restart one zone and a random part of the other VMs
			if v.zone == zones[zone] || choose(2) == 0 && v != vm {
				f.start(v)
			}
		}
	case 18:
		vm.paused = !vm.paused
	case 19:
		f.toggleFault(choose, zone)
	}
}

func (f *fleet) toggleFault(choose func(int) int, zone int) {
	switch choose(3) {
	case 0:
		f.outage = !f.outage
	case 1:
		f.platformCut[zones[zone]] = !f.platformCut[zones[zone]]
	case 2:
		link := [2]ident.AvailabilityZone{zones[min(zone, (zone+1)%3)], zones[max(zone, (zone+1)%3)]}
		f.partitioned[link] = !f.partitioned[link]
	}
}

// requestAll sends a request to every other VM and delivers all deliverable messages.
func (f *fleet) requestAll(vm *fakeVM) {
	if vm.paused {
		return
	}
	for _, other := range f.vms {
		if other != vm {
			f.request(vm, other)
		}
	}
	f.deliverAll()
}

// runProposal advances a proposal of one VM as far as the network allows.
func (f *fleet) runProposal(vm *fakeVM) {
	if vm.accepting.version == 0 || vm.accepting.version <= f.accepted {
		f.propose(vm)
		f.deliverAll()
	}
	for _, v := range f.vms {
		f.read(v, true)
		f.requestAll(v)
		f.acknowledge(v)
	}
	f.deliverAll()
	f.read(vm, true)
	f.deliverAll()
	f.accept(vm)
}

const stepsPerRun = 150

// Guards against a VM that uses a configuration for longer than MaxStaleness after
// its successor was accepted, under all faults of the simulated fleet.
func TestSupersededVersionExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rules{})
		for range stepsPerRun {
			f.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
			if v := f.violation(); v != "" {
				t.Fatal(v)
			}
		}
	})
}

// findViolation searches seeded random runs for a violation. The number of accepted
// versions shows whether the runs make progress.
func findViolation(r rules, runs int) (found string, accepted int) {
	for seed := range runs {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		f := newFleet(r)
		for range stepsPerRun {
			f.step(random.IntN)
			if found = f.violation(); found != "" {
				return found, accepted
			}
		}
		accepted += len(f.acceptedAt)
	}
	return "", accepted
}

// Guards against a simulation that cannot detect faults: each wrong rule must cause a
// violation in the same runs in which the correct rules cause none.
func TestWrongRulesAreFound(t *testing.T) {
	const runs = 300
	found, accepted := findViolation(rules{}, runs)
	assert.Equal(t, found, "")
	assert.Assert(t, accepted > runs, "only %d versions were accepted", accepted)
	for name, r := range map[string]rules{
		"a response is dated by its arrival":  {dateByReceipt: true},
		"a restarted VM is qualified at once": {qualifyAtStart: true},
	} {
		t.Run(name, func(t *testing.T) {
			found, accepted := findViolation(r, runs)
			t.Log(accepted, found)
			assert.Assert(t, found != "")
		})
	}
}

// Guards against a platform outage that stops service. Every VM must stay fresh if
// its requests are answered twice a second, whatever the phase of a note when the
// platform fails.
func TestPlatformOutageAloneKeepsEveryVMFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		f := newFleet(rules{})
		for range choose(4) {
			f.runProposal(f.vms[choose(len(f.vms))])
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
			func() { f.runProposal(vm) },
			func() { // the acceptance takes effect but its response is lost
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
				f.requestAll(vm)
			}
			for range 5 {
				f.now += 100 * time.Millisecond
				assert.Equal(t, f.violation(), "")
				for _, vm := range f.vms {
					ok, why := vm.Fresh(f.localTime(vm))
					assert.Assert(t, ok, "%s: %s", vm.name, why)
				}
			}
		}
	})
}

// Guards against a zone that serves keyed requests for longer than MaxStaleness
// without a response from the platform or another zone.
func TestIsolatedZoneStopsAfterMaxStaleness(t *testing.T) {
	f := newFleet(rules{})
	f.platformCut["ruse-a"] = true
	f.partitioned[[2]ident.AvailabilityZone{"constanta-a", "ruse-a"}] = true
	f.partitioned[[2]ident.AvailabilityZone{"plovdiv-a", "ruse-a"}] = true
	for f.now < 10*time.Second {
		for _, vm := range f.vms {
			f.requestAll(vm)
			f.read(vm, true)
			ok, _ := vm.Fresh(f.localTime(vm))
			assert.Equal(t, ok, vm.zone != "ruse-a" || f.now < MaxStaleness, "%s at %s", vm.name, f.now)
		}
		f.deliverAll()
		f.now += 250 * time.Millisecond
	}
}

// Guards against a restarted VM that qualifies by responses to requests sent before
// its first round was complete, or although another VM restarted between the rounds:
// the VMs that knew a proposal may have restarted in the meantime.
func TestRestartNeedsTwoRounds(t *testing.T) {
	f := newFleet(rules{})
	ms := time.Millisecond
	others := f.vms[1:]
	recordRound := func(s *State, sentAt time.Duration, restarted int) {
		for i, vm := range others {
			a := vm.Attestation()
			if i == restarted {
				a.Incarnation++
			}
			s.RecordAttestation(a, sentAt)
		}
	}
	restart := func() *State {
		f.start(f.vms[0])
		f.vms[0].Adopt(1, zones)
		return f.vms[0].State
	}
	s := restart()
	recordRound(s, 1*ms, -1)
	s.Tick(5 * ms)
	recordRound(s, 3*ms, -1)
	s.Tick(6 * ms)
	assert.Assert(t, !s.Qualified())
	recordRound(s, 7*ms, -1)
	s.Tick(8 * ms)
	assert.Assert(t, s.Qualified())

	s = restart()
	recordRound(s, 1*ms, -1)
	s.Tick(5 * ms)
	recordRound(s, 6*ms, 2)
	s.Tick(7 * ms)
	assert.Assert(t, !s.Qualified())
}

// Guards against counting the VMs of a superseded share table as a majority of the zone.
func TestNewerShareTableEndsTheOlder(t *testing.T) {
	f := newFleet(rules{})
	f.outage = true
	requestAndCheck := func() bool {
		f.now += MaxStaleness
		vm := f.vm(r, 0)
		f.request(vm, f.vm(r, 1))
		f.request(vm, f.vm(c, 0))
		f.request(vm, f.vm(c, 1))
		f.deliverAll()
		fresh, _ := vm.Fresh(f.localTime(vm))
		return fresh
	}
	assert.Assert(t, requestAndCheck())
	newer := Table{Version: 2, VMs: f.vm(c, 0).Table(c).VMs}
	f.vm(c, 1).SetTable(c, newer)
	assert.Assert(t, !requestAndCheck(), "an attestation names a newer table")
	f.vm(r, 0).SetTable(c, newer)
	f.vm(c, 0).SetTable(c, newer)
	assert.Assert(t, requestAndCheck())

	vm := f.vm(r, 0)
	f.now += MaxStaleness
	now := f.localTime(vm)
	f.request(vm, f.vm(r, 1))
	f.deliverAll()
	vm.RecordZoneSummary(ZoneSummary{Zone: c, Version: 1, Table: 1}, now)
	fresh, _ := vm.Fresh(now)
	assert.Assert(t, !fresh, "a summary counted an older table")
	vm.RecordZoneSummary(ZoneSummary{Zone: c, Version: 1, Table: 2}, now+1)
	fresh, _ = vm.Fresh(now + 1)
	assert.Assert(t, fresh)
}

// Guards against a relayed reading that is older than the process and counts as one at its
// start.
func TestReadingBeforeStartKeepsItsAge(t *testing.T) {
	s := New("vm-1", "a", 1)
	s.Adopt(4, []ident.AvailabilityZone{"a"})
	s.RecordReading(Reading{Accepted: 4, Proposal: 4, At: -MaxStaleness})
	fresh, _ := s.Fresh(0)
	assert.Assert(t, !fresh && !s.Qualified())
	assert.Equal(t, s.LastReading().At, -MaxStaleness)
	s.RecordReading(Reading{Accepted: 4, Proposal: 4, At: -time.Second})
	until, _ := s.FreshUntil()
	assert.Equal(t, until, MaxStaleness-time.Second)
}
