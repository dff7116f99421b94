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

// model is a group whose replicas are each described by the position up to which they
// have received commits.
type model struct {
	received []int
	paused   []bool
	sync     int
	acked    int // newest acknowledged position
}

// commit delivers a commit to the given replicas that are not paused, and acknowledges
// it if enough of them have received it.
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
// any pattern, the primary continues to commit during the takeover, and any set of
// replicas responds.
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

// Guards against a check that is stricter than necessary: with one missing replica of
// three, it is enough that two replicas receive each commit.
func TestMissingReplicaWithinQuorum(t *testing.T) {
	at := func(p int) ident.LogPoint { return ident.LogPoint{Term: 1, Position: ident.Position(p)} }
	reports := []Report{{Name: "a", Reached: true, Eligible: true, Received: at(5)}, {Name: "b", Reached: true, Paused: true, Received: at(5)}, {Name: "c"}}
	assert.Equal(t, CheckPromotion(reports, "a", 3, 2), Safe)
	assert.Equal(t, CheckPromotion(reports, "a", 3, 1), NoQuorum)
	reports[1].Received = at(6)
	assert.Equal(t, CheckPromotion(reports, "a", 3, 2), Behind)
	assert.Equal(t, CheckPromotion(nil, "a", 3, 0), NoQuorum)
}

// Guards against a candidate that cannot be verified, because another replica may
// resume receiving at any time.
func TestReplicaThatMayResumeIsPreferred(t *testing.T) {
	at := func(p int) ident.LogPoint { return ident.LogPoint{Term: 1, Position: ident.Position(p)} }
	reports := []Report{{Name: "a", Reached: true, Eligible: true, Received: at(6)}, {Name: "b", Reached: true, Eligible: true, Resuming: true, Received: at(5)}}
	name, _ := ChooseCandidate(reports)
	assert.Equal(t, name, ident.UpstreamName("b"))
	reports[1].Eligible = false
	name, _ = ChooseCandidate(reports)
	assert.Equal(t, name, ident.UpstreamName("a"))
}

// Guards against a takeover after a single lost response, and against a primary that
// cannot commit and is never suspected because its reads succeed.
func TestEvidence(t *testing.T) {
	var d FailureDetector
	d.Failure(0, false)
	assert.Equal(t, d.Suspected(time.Hour), None)
	d.Failure(100*time.Millisecond, false)
	assert.Equal(t, d.Suspected(UnresponsiveTimeout-time.Millisecond), None)
	assert.Equal(t, d.Suspected(UnresponsiveTimeout), Unresponsive)
	d.Success(false)
	assert.Equal(t, d.Suspected(time.Hour), None)
	for i := range 4 {
		d.Failure(time.Duration(i)*500*time.Millisecond, true)
		d.Success(false)
	}
	assert.Equal(t, d.Suspected(2*time.Second), WriteStalled)
	d.Success(true)
	assert.Equal(t, d.Suspected(time.Hour), None)
}
