package promotion

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// newLosslessSimulation returns a simulation without message loss.
func newLosslessSimulation(seed uint64) *simulation {
	s := newSimulation(seed)
	s.loss = 0
	s.advance(time.Second)
	return s
}

// onlyOutcome returns the single change that was completed.
func (s *simulation) onlyOutcome(t *testing.T) Outcome {
	t.Helper()
	assert.NilError(t, s.failure)
	assert.Equal(t, len(s.outcomes), 1)
	return s.outcomes[0]
}

// Guards against a failover that exceeds its target of 1 s for a process failure or
// 3 s for a partition, also if the first-ranked VM fails together with the primary.
func TestFailoverTargets(t *testing.T) {
	faults := map[string]struct {
		cause  func(*simulation)
		target time.Duration
	}{
		"dead process":    {func(s *simulation) { s.dead["member-a"] = true }, time.Second},
		"isolated member": {func(s *simulation) { operations["isolate"](s, func(int) int { return 0 }) }, 3 * time.Second},
		"isolated zone": {func(s *simulation) {
			operations["isolate"](s, func(int) int { return 0 })
			operations["isolate"](s, func(int) int { return 3 })
		}, 3 * time.Second},
		"paused zone": {func(s *simulation) { s.pause("member-a"); s.pause("vm1") }, 3 * time.Second},
		"dead zone":   {func(s *simulation) { s.dead["member-a"] = true; s.pause("vm1") }, time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			var detection, total time.Duration
			for seed := range uint64(50) {
				s := newLosslessSimulation(seed)
				fault.cause(s)
				s.advance(5 * time.Second)
				o := s.onlyOutcome(t)
				assert.Assert(t, o.Total() < fault.target, "seed %d: %+v", seed, o)
				detection, total = max(detection, o.Detection), max(total, o.Total())
			}
			t.Logf("largest detection %s, total %s", detection, total)
		})
	}
}

// Guards against an unnecessary change of primary: during a platform outage, with one
// isolated VM, and after a short pause.
func TestNoUnnecessaryChange(t *testing.T) {
	for name, cause := range map[string]func(*simulation){
		"platform outage": func(s *simulation) { s.outage = true },
		"isolated VM":     func(s *simulation) { operations["isolate"](s, func(int) int { return 4 }) },
		"short pause":     func(s *simulation) { s.pause("member-a"); s.advance(600 * time.Millisecond); s.resume("member-a") },
	} {
		t.Run(name, func(t *testing.T) {
			s := newLosslessSimulation(1)
			cause(s)
			s.advance(10 * time.Second)
			assert.NilError(t, s.failure)
			assert.Equal(t, s.version, objectapi.Version(0))
		})
	}
}

// Guards against a group that stays unavailable if its proposer dies at any point of
// a change.
func TestTakeoverAfterProposerDies(t *testing.T) {
	for delay := 50 * time.Millisecond; delay < time.Second; delay += 5 * time.Millisecond {
		s := newLosslessSimulation(7)
		s.dead["member-a"] = true
		for end := s.now + delay; s.now < end; {
			s.advance(5 * time.Millisecond)
		}
		for _, vm := range s.vms {
			if vm.machine.attempt != nil {
				s.dead[vm.name] = true
			}
		}
		s.advance(5 * time.Second)
		assert.NilError(t, s.failure)
		p := s.promoted[s.object.Term]
		assert.Equal(t, s.object.State, Serving, "proposer died after %s", delay)
		assert.Assert(t, p.member == "b" || p.member == "c", "proposer died after %s", delay)
	}
}

// Guards against a planned move that drops writes in progress: every write that the
// old primary accepted must be acknowledged, and the target must be usable.
func TestPlannedMove(t *testing.T) {
	s := newLosslessSimulation(3)
	s.members[0].usable, s.members[1].usable = false, false
	s.configure()
	for i := range 400 {
		s.vms[i%3].write(i + 1)
		s.advance(5 * time.Millisecond)
	}
	s.advance(time.Second)
	o := s.onlyOutcome(t)
	assert.Assert(t, o.Planned && o.Primary == "c", "%+v", o)
	for _, vm := range s.vms {
		assert.Equal(t, len(vm.pending), 0)
	}
	t.Logf("%d writes acknowledged", len(s.acked))
}

// Guards against a primary that never accepts writes again: the handover took effect,
// its response was lost and operators withdrew the move.
func TestMoveIsCompletedAfterLostHandover(t *testing.T) {
	s := newLosslessSimulation(4)
	s.members[0].usable = false
	s.configure()
	for s.object.State != Moving {
		s.advance(time.Millisecond)
	}
	s.pause("member-a")
	s.advance(400 * time.Millisecond)
	s.resume("member-a")
	assert.Assert(t, s.members[0].writesStopped)
	s.members[0].usable = true
	s.configure()
	s.settle()
	assert.NilError(t, s.failure)
	assert.Assert(t, s.object.Term > 1)
}

// Guards against repeated changes of primary because of short partitions, and against
// a new primary that dies and is not replaced within the flap window.
func TestFlapLimit(t *testing.T) {
	s := newLosslessSimulation(5)
	s.dead["member-a"] = true
	s.advance(2 * time.Second)
	first := s.onlyOutcome(t)
	delete(s.dead, "member-a")
	node := "member-" + string(first.Primary)
	s.pause(node)
	s.advance(1500 * time.Millisecond)
	s.resume(node)
	s.advance(time.Second)
	s.onlyOutcome(t)
	s.dead[node] = true
	s.advance(time.Second)
	assert.NilError(t, s.failure)
	assert.Equal(t, len(s.outcomes), 2)
	assert.Equal(t, s.outcomes[1].Reason, reasonDead)
	assert.Assert(t, s.outcomes[1].Primary != ident.UpstreamName(first.Primary))
}
