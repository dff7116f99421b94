package shares

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed" // repeatable property tests
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// admitMaximum makes every VM admit as much as it can, with a demand that moves
// between the VMs. The buckets fill in idle periods, because an excess token shows
// only after the fleet has spent its whole burst.
func (s *sim) admitMaximum() {
	defer func() { s.Schedule(s.Now+15*time.Millisecond, s.admitMaximum) }()
	if s.Now%(s.busyFor+s.idleFor) < s.idleFor {
		return
	}
	if s.rng.IntN(20) == 0 {
		s.busyVM = s.rng.IntN(len(s.vms))
	}
	for i, vm := range s.vms {
		b, ok := vm.node.Bucket(acme)
		if !ok || !s.serves(vm) || i != s.busyVM && s.rng.IntN(10) > 0 {
			continue
		}
		b.RecordDemand(vm.clock(s), 20)
		for range 40 {
			if !s.take(vm) {
				break
			}
		}
	}
}

func drawMilliseconds(t *rapid.T, most int) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(t, "ms")) * time.Millisecond
}

// actions returns the faults that the property test injects. The names determine the
// order in which the fixed seed selects them.
func (s *sim) actions() map[string]func(*rapid.T) {
	index := rapid.IntRange(0, 9)
	pick := func(t *rapid.T) *simVM { return s.vms[index.Draw(t, "vm")%len(s.vms)] }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			s.run(s.Now + 100*time.Millisecond)
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		},
		"pass": func(t *rapid.T) { s.run(s.Now + drawMilliseconds(t, 4000)) },
		"pause": func(t *rapid.T) {
			vm := pick(t)
			vm.pausedUntil = max(vm.pausedUntil, s.Now+drawMilliseconds(t, 16000))
		},
		"restart":  func(t *rapid.T) { s.start(pick(t)) },
		"suspect":  func(t *rapid.T) { pick(t).falselySuspected[pick(t).member.Name] = true },
		"cut":      func(t *rapid.T) { s.blocked[[2]ident.VMName{pick(t).member.Name, pick(t).member.Name}] = true },
		"offline":  func(t *rapid.T) { s.platformUnreachable[pick(t).member.Name] = true },
		"outage":   func(*rapid.T) { s.platformOutage = true },
		"separate": func(t *rapid.T) { s.isolate(pick(t)) },
		"remove":   func(t *rapid.T) { s.removeVM(pick(t)) },
		"join": func(t *rapid.T) {
			if len(s.vms) < 12 {
				s.joinVM(pick(t).member.Zone)
			}
		},
		"messages": func(t *rapid.T) { s.setMessageFaults(rapid.Uint64().Draw(t, "seed")) },
		"leave": func(t *rapid.T) {
			vm := pick(t)
			vm.node.WithLedger(vm.clock(s), func(l *Ledger) { l.Leave(vm.clock(s)) })
		},
		"configure": func(t *rapid.T) { s.acceptConfiguration(s.randomChange(rapid.Uint64().Draw(t, "seed"))) },
		"heal": func(*rapid.T) {
			s.platformOutage = false
			clear(s.blocked)
			clear(s.platformUnreachable)
			s.loss, s.duplicate, s.responseLoss, s.delay, s.jitter = 0, 0, 0, time.Millisecond, time.Millisecond
			for _, vm := range s.vms {
				clear(vm.falselySuspected)
			}
		},
	}
}

// setMessageFaults sets random faults of messages and of the platform's responses.
func (s *sim) setMessageFaults(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	s.loss, s.duplicate, s.responseLoss = rng.Float64()/2, rng.Float64(), rng.Float64()/2
	s.delay, s.jitter = time.Duration(rng.Int64N(int64(50*time.Millisecond))), time.Duration(rng.Int64N(int64(900*time.Millisecond)))
}

// randomChange returns a random change of rate, burst or a zone's weight.
func (s *sim) randomChange(seed uint64) func(*configuration.Configuration) {
	rng := rand.New(rand.NewPCG(seed, 4))
	return func(c *configuration.Configuration) {
		o := c.Organisations[acme]
		switch rng.IntN(3) {
		case 0:
			o.Rate = float64(50 + rng.IntN(1000))
		case 1:
			o.Burst = float64(5 + rng.IntN(1000))
		default:
			zone := s.vms[rng.IntN(len(s.vms))].member.Zone
			z := c.Zones[zone]
			z.Weight = 1 + rng.IntN(5)
			c.Zones[zone] = z
		}
		c.Organisations[acme] = o
	}
}

// Guards against a fleet that admits more than rate*w + burst in a window w, or uses
// more share units than exist, under lost, repeated, late and reordered messages,
// paused, restarted, leaving, removed, replaced and falsely suspected VMs, network
// partitions, platform outages, lost responses and changes of the configuration.
func TestFleetNeverExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.IntRange(1, 3), 2, 3).Draw(t, "zones")
		rate := float64(rapid.IntRange(50, 1000).Draw(t, "rate"))
		burst := float64(rapid.IntRange(5, 1000).Draw(t, "burst"))
		s := newSim(rapid.Uint64().Draw(t, "seed"), zones, rate, burst)
		s.busyFor, s.idleFor = drawMilliseconds(t, 3000), drawMilliseconds(t, 5000)
		s.admitMaximum()
		s.run(15 * time.Second)
		t.Repeat(s.actions())
	})
}

// runScenario runs a fixed history in which each mutation leads to a violation and
// returns the first violation, if any.
func runScenario(rate float64, m mutation) string {
	s := newSim(1, []int{3, 2}, rate, 200)
	s.mutation = m
	s.busyFor, s.idleFor = time.Second, 1500*time.Millisecond
	s.run(15 * time.Second)
	s.admitMaximum()
	s.duplicate = 0.5
	s.run(30 * time.Second)
	s.duplicate = 0
	s.idleFor = 0      // a bucket that is never full loses nothing when its capacity is lowered
	for i := range 2 { // planned restarts
		vm := s.vms[3+i%2]
		vm.node.WithLedger(vm.clock(s), func(l *Ledger) { l.Leave(vm.clock(s)) })
		s.run(s.Now + 8*time.Second)
		s.start(vm)
		s.run(s.Now + 10*time.Second)
	}
	s.idleFor = 1500 * time.Millisecond
	suspected := s.vms[0].member.Name // seen as dead, and disconnected from its zone
	for _, vm := range s.vms[1:3] {
		vm.falselySuspected[suspected] = true
		s.blocked[[2]ident.VMName{suspected, vm.member.Name}] = true
	}
	s.run(s.Now + 10*time.Second)
	stale := s.vms[3] // never receives the lower rate
	stale.configurationBlocked = true
	s.acceptConfiguration(func(c *configuration.Configuration) {
		c.Organisations[acme] = configuration.Organisation{Rate: 20, Burst: 20}
	})
	s.run(s.Now + 20*time.Second)
	return s.violation
}

// Guards against properties that hold regardless of the protocol: each deliberate
// fault must be detected, and the same history without a fault must pass.
func TestPropertiesDetectMutations(t *testing.T) {
	for _, c := range []struct {
		name     string
		rate     float64
		mutation mutation
	}{
		{"credit twice", 200, creditLateOrRepeated},
		{"reclaim at once", 200, reclaimImmediately},
		{"ignore versions", 200, ignoreConfigurationVersion},
		// A VM that waits for share units loses its rate meanwhile. The rate is low so that
		// this loss does not offset the burst that the VM did not accrue.
		{"fresh burst", 20, startWithFullBurst},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, runScenario(c.rate, noMutation), "")
			violation := runScenario(c.rate, c.mutation)
			t.Log(violation)
			assert.Assert(t, violation != "", "the fault was not detected")
		})
	}
}
