package takeover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// replicas of a model group: the commits that each has received, as a position.
type model struct {
	received []int
	paused   []bool
	sync     int
	acked    int // newest acknowledged position
}

// commit is received by the given replicas that are not paused, and acknowledged
// when enough of them have it.
func (m *model) commit(at int, receivers []int) {
	confirmed := 0
	for _, i := range receivers {
		if !m.paused[i] {
			m.received[i] = max(m.received[i], at)
			confirmed++
		}
	}
	if confirmed >= m.sync {
		m.acked = max(m.acked, at)
	}
}

// Guards against a promotion that loses an acknowledged commit: replicas receive in
// any pattern, the primary goes on committing while the takeover runs, and any set of
// replicas answers.
func TestSafeCandidateHoldsEveryAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "replicas")
		m := &model{received: make([]int, n), paused: make([]bool, n), sync: rapid.IntRange(1, n).Draw(t, "sync")}
		position := 0
		commits := func(label string) {
			for range rapid.IntRange(0, 6).Draw(t, label) {
				position++
				var receivers []int
				for i := range n {
					if rapid.Bool().Draw(t, "receives") {
						receivers = append(receivers, i)
					}
				}
				m.commit(position, receivers)
			}
		}
		report := func(i int) Report {
			return Report{Name: ident.UpstreamName(fmt.Sprint(i)), Reached: rapid.Bool().Draw(t, "reached"), Eligible: true,
				Paused: m.paused[i], Received: ident.LogPoint{Term: 1, Position: ident.Position(m.received[i])}}
		}
		commits("before")
		var first []Report
		for i := range n {
			first = append(first, report(i))
		}
		name, ok := ChooseCandidate(first)
		if !ok {
			return
		}
		var candidate int
		fmt.Sscan(string(name), &candidate)
		var reports []Report
		for i := range n {
			if i == candidate {
				continue
			}
			commits("between")
			reached := rapid.Bool().Draw(t, "pause reaches")
			m.paused[i] = reached && rapid.Bool().Draw(t, "pauses")
			r := report(i)
			r.Reached, r.Paused = reached, m.paused[i]
			reports = append(reports, r)
		}
		commits("after the pauses")
		own := report(candidate)
		own.Reached = true
		if CheckPromotion(append(reports, own), name, n, m.sync) != Safe {
			return
		}
		commits("until the promotion")
		if m.received[candidate] < m.acked {
			t.Fatalf("candidate holds %d of %d acknowledged commits", m.received[candidate], m.acked)
		}
	})
}

// Guards against a check that is stricter than needed: with one missing replica of
// three, two confirmations each are enough.
func TestMissingReplicaBelowTheConfirmations(t *testing.T) {
	at := func(p int) ident.LogPoint { return ident.LogPoint{Term: 1, Position: ident.Position(p)} }
	reports := []Report{{Name: "a", Reached: true, Eligible: true, Received: at(5)}, {Name: "b", Reached: true, Paused: true, Received: at(5)}, {Name: "c"}}
	assert.Equal(t, CheckPromotion(reports, "a", 3, 2), Safe)
	assert.Equal(t, CheckPromotion(reports, "a", 3, 1), NoQuorum)
	reports[1].Received = at(6)
	assert.Equal(t, CheckPromotion(reports, "a", 3, 2), Behind)
	assert.Equal(t, CheckPromotion(nil, "a", 3, 0), NoQuorum)
}

// Guards against a candidate whose only rival may receive again at any moment, which
// could not be verified.
func TestReplicaThatMayResumeIsTheCandidate(t *testing.T) {
	at := func(p int) ident.LogPoint { return ident.LogPoint{Term: 1, Position: ident.Position(p)} }
	reports := []Report{{Name: "a", Reached: true, Eligible: true, Received: at(6)}, {Name: "b", Reached: true, Eligible: true, Resuming: true, Received: at(5)}}
	name, _ := ChooseCandidate(reports)
	assert.Equal(t, name, ident.UpstreamName("b"))
	reports[1].Eligible = false
	name, _ = ChooseCandidate(reports)
	assert.Equal(t, name, ident.UpstreamName("a"))
}

// Guards against a change of primary after a single lost answer, and against one that
// never comes while reads still succeed on a primary that cannot commit.
func TestEvidence(t *testing.T) {
	var e FailureDetector
	e.Failure(0, false)
	assert.Equal(t, e.Suspected(time.Hour), None)
	e.Failure(100*time.Millisecond, false)
	assert.Equal(t, e.Suspected(UnresponsiveTimeout-time.Millisecond), None)
	assert.Equal(t, e.Suspected(UnresponsiveTimeout), Unresponsive)
	e.Success(false)
	assert.Equal(t, e.Suspected(time.Hour), None)
	for i := range 4 {
		e.Failure(time.Duration(i)*500*time.Millisecond, true)
		e.Success(false)
	}
	assert.Equal(t, e.Suspected(2*time.Second), WriteStalled)
	e.Success(true)
	assert.Equal(t, e.Suspected(time.Hour), None)
}
