package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed" // repeatable property tests
)

// Guards against a read that joins a round which started before the read arrived, a
// round that never starts or starts twice, and more than MaxReadIndexRounds in flight.
func TestReadJoinsOnlyLaterRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var scheduler ReadIndexScheduler
		var now time.Duration
		started := map[uint64]time.Duration{}
		running := map[uint64]bool{}
		arrivals := map[uint64][]time.Duration{}
		var timer time.Duration // zero: not set
		begin := func(round uint64) {
			_, twice := started[round]
			assert.Assert(t, !twice, "round %d started twice", round)
			started[round], running[round] = now, true
			assert.Assert(t, len(running) <= MaxReadIndexRounds)
		}
		due := func() {
			timer = 0
			if round, start := scheduler.StartIfDue(now); start {
				begin(round)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Microsecond
			if timer > 0 && now >= timer {
				now = timer
				due()
			}
			if rapid.Bool().Draw(t, "read") || len(running) == 0 {
				round, start, wait := scheduler.Join(now)
				arrivals[round] = append(arrivals[round], now)
				if start {
					begin(round)
				} else if wait > 0 {
					timer = now + wait
				}
				continue
			}
			oldest := uint64(0)
			for round := range running {
				if oldest == 0 || round < oldest {
					oldest = round
				}
			}
			delete(running, oldest)
			if round, start := scheduler.Finish(now); start {
				begin(round)
			}
		}
		for timer > 0 || len(running) > 0 {
			if timer > 0 {
				now = max(now, timer)
				due()
				continue
			}
			for round := range running {
				delete(running, round)
				if next, start := scheduler.Finish(now); start {
					begin(next)
				}
				break
			}
		}
		for round, reads := range arrivals {
			at, ok := started[round]
			assert.Assert(t, ok, "round %d never started", round)
			for _, arrived := range reads {
				assert.Assert(t, at >= arrived, "round %d started before its read arrived", round)
			}
		}
	})
}

// Guards against sending read-index requests to failed members before reachable ones.
func TestReadIndexOrder(t *testing.T) {
	v := NewView("g", []Member{{Upstream: "a", Zone: "z1", Region: "r1"}, {Upstream: "b", Zone: "z2", Region: "r1"}, {Upstream: "c", Zone: "z3", Region: "r2"}})
	for i := range v.Observations {
		v.Observations[i].Known = true
	}
	location := Location{Zone: "z2", Region: "r1"}
	assert.DeepEqual(t, v.ReadIndexOrder(location), []int{1, 0, 2})
	assert.DeepEqual(t, v.WithFailure(1).ReadIndexOrder(location), []int{0, 2, 1})
}
