package staleness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

func point(term, position int) ident.LogPoint {
	return ident.LogPoint{Term: ident.Term(term), Position: ident.Position(position)}
}

// Guards against choosing a sample that is too old for the route, and against one newer
// than necessary, which replicas may not have applied yet.
func TestOldestSampleWithinTheAge(t *testing.T) {
	var s Samples
	_, ok := s.OldestWithin(time.Second, time.Hour)
	assert.Assert(t, !ok)
	s.Add(1*time.Second, point(1, 10))
	s.Add(2*time.Second, point(1, 20))
	s.Add(3*time.Second, point(1, 30))
	got, ok := s.OldestWithin(3500*time.Millisecond, 1500*time.Millisecond)
	assert.Assert(t, ok)
	assert.Equal(t, got, point(1, 20))
	_, ok = s.OldestWithin(10*time.Second, 1500*time.Millisecond)
	assert.Assert(t, !ok)
}

// Guards against accepting a late response of a replaced primary.
func TestLateResponseOfOlderTermIsIgnored(t *testing.T) {
	var s Samples
	s.Add(1*time.Second, point(2, 10))
	s.Add(2*time.Second, point(1, 99))
	got, ok := s.OldestWithin(2*time.Second, 500*time.Millisecond)
	assert.Assert(t, !ok, "%v", got)
}

// Guards against a read that misses a commit older than the maximum staleness: for any
// order and spacing of samples, the chosen position must cover every commit that was
// acknowledged before now - maxAge.
func TestChosenPointCoversEveryOldCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Samples
		acknowledged := []time.Duration{} // commit i+1 was acknowledged at this time
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "commit") {
				acknowledged = append(acknowledged, now)
			} else {
				s.Add(now, point(1, len(acknowledged)))
			}
		}
		maxAge := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
		got, ok := s.OldestWithin(now, maxAge)
		if !ok {
			return
		}
		for i, at := range acknowledged {
			if at < now-maxAge && got.Position < ident.Position(i+1) {
				t.Fatalf("commit %d acknowledged at %v is not covered at %v by point %v", i+1, at, now, got)
			}
		}
	})
}
