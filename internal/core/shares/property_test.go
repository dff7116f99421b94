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

// press makes every VM admit as much as it can, with a demand that moves between
// the VMs. Idle times between let the buckets fill: only a fleet that has just
// spent its whole burst shows a token too many.
func (s *sim) press() {
	defer func() { s.Schedule(s.Now+15*time.Millisecond, s.press) }()
	if s.Now%(s.busyFor+s.idleFor) < s.idleFor {
		return
	}
	if s.rng.IntN(20) == 0 {
		s.busy = s.rng.IntN(len(s.vms))
	}
	for i, vm := range s.vms {
		b, ok := vm.node.Bucket(acme)
		if !ok || !s.serves(vm) || i != s.busy && s.rng.IntN(10) > 0 {
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

func millis(t *rapid.T, most int) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(t, "ms")) * time.Millisecond
}

// actions are the faults of the state machine.
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
		"pass": func(t *rapid.T) { s.run(s.Now + millis(t, 4000)) },
		"pause": func(t *rapid.T) {
			vm := pick(t)
			vm.paused = max(vm.paused, s.Now+millis(t, 16000))
		},
		"restart":  func(t *rapid.T) { s.start(pick(t)) },
		"suspect":  func(t *rapid.T) { pick(t).falsely[pick(t).member.Name] = true },
		"cut":      func(t *rapid.T) { s.cut[[2]ident.VMName{pick(t).member.Name, pick(t).member.Name}] = true },
		"offline":  func(t *rapid.T) { s.offPlatform[pick(t).member.Name] = true },
		"outage":   func(*rapid.T) { s.outage = true },
		"separate": func(t *rapid.T) { s.separate(pick(t)) },
		"remove":   func(t *rapid.T) { s.remove(pick(t)) },
		"join": func(t *rapid.T) {
			if len(s.vms) < 12 {
				s.join(pick(t).member.Zone)
			}
		},
		"messages": func(t *rapid.T) { s.disturb(rapid.Uint64().Draw(t, "seed")) },
		"leave": func(t *rapid.T) {
			vm := pick(t)
			vm.node.WithLedger(vm.clock(s), func(l *Ledger) { l.Leave(vm.clock(s)) })
		},
		"configure": func(t *rapid.T) { s.accept(s.change(rapid.Uint64().Draw(t, "seed"))) },
		"heal": func(*rapid.T) {
			s.outage = false
			clear(s.cut)
			clear(s.offPlatform)
			s.loss, s.duplicate, s.loseAnswers, s.delay, s.jitter = 0, 0, 0, time.Millisecond, time.Millisecond
			for _, vm := range s.vms {
				clear(vm.falsely)
			}
		},
	}
}

// disturb sets random faults of messages and of the platform's answers.
func (s *sim) disturb(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	s.loss, s.duplicate, s.loseAnswers = rng.Float64()/2, rng.Float64(), rng.Float64()/2
	s.delay, s.jitter = time.Duration(rng.Int64N(int64(50*time.Millisecond))), time.Duration(rng.Int64N(int64(900*time.Millisecond)))
}

// change returns a random change of rate, burst or a zone's weight.
func (s *sim) change(seed uint64) func(*configuration.Configuration) {
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

// Guards against every way in which the fleet could admit more than rate*w + burst
// in a window w, or use more parts than exist: messages lost, repeated, late and
// reordered, VMs paused, restarted, leaving and falsely suspected, partitions, an
// absent platform, VMs removed from its list and replaced, lost answers and concurrent changes of the configuration.
func TestFleetNeverExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.IntRange(1, 3), 2, 3).Draw(t, "zones")
		rate := float64(rapid.IntRange(50, 1000).Draw(t, "rate"))
		burst := float64(rapid.IntRange(5, 1000).Draw(t, "burst"))
		s := newSim(rapid.Uint64().Draw(t, "seed"), zones, rate, burst)
		s.busyFor, s.idleFor = millis(t, 3000), millis(t, 5000)
		s.press()
		s.run(15 * time.Second)
		t.Repeat(s.actions())
	})
}

// scenario runs one fixed history with the faults that a mutation needs.
func scenario(rate float64, m mutation) string {
	s := newSim(1, []int{3, 2}, rate, 200)
	s.mutation = m
	s.busyFor, s.idleFor = time.Second, 1500*time.Millisecond
	s.run(15 * time.Second)
	s.press()
	s.duplicate = 0.5
	s.run(30 * time.Second)
	s.duplicate = 0
	s.idleFor = 0      // a bucket that is never full loses nothing when it is lowered
	for i := range 2 { // planned restarts
		vm := s.vms[3+i%2]
		vm.node.WithLedger(vm.clock(s), func(l *Ledger) { l.Leave(vm.clock(s)) })
		s.run(s.Now + 8*time.Second)
		s.start(vm)
		s.run(s.Now + 10*time.Second)
	}
	s.idleFor = 1500 * time.Millisecond
	victim := s.vms[0].member.Name // is taken for dead, and cut off from its zone
	for _, vm := range s.vms[1:3] {
		vm.falsely[victim] = true
		s.cut[[2]ident.VMName{victim, vm.member.Name}] = true
	}
	s.run(s.Now + 10*time.Second)
	stale := s.vms[3] // never learns of a lower rate
	stale.deaf = true
	s.accept(func(c *configuration.Configuration) {
		c.Organisations[acme] = configuration.Organisation{Rate: 20, Burst: 20}
	})
	s.run(s.Now + 20*time.Second)
	return s.violation
}

// Guards against properties that hold whatever the protocol does: each deliberate
// fault must be caught, and the history without one must pass.
func TestPropertiesCatchMutations(t *testing.T) {
	for _, c := range []struct {
		name     string
		rate     float64
		mutation mutation
	}{
		{"credit twice", 200, creditTwice},
		{"reclaim at once", 200, reclaimAtOnce},
		{"ignore versions", 200, ignoreVersions},
		// A VM that waits for parts loses its rate meanwhile; at a low rate that does
		// not make up for a burst that it did not accrue.
		{"fresh burst", 20, freshBurst},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, scenario(c.rate, none), "")
			violation := scenario(c.rate, c.mutation)
			t.Log(violation)
			assert.Assert(t, violation != "", "the fault was not caught")
		})
	}
}
