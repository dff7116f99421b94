package load

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const tenant = ident.OrganisationName("sequencer")

// sound returns a history without violations that every judge looks at.
func sound() *History {
	second := time.Second
	return &History{
		Records: []Record{
			{ID: "w1", Kind: Write, Organisation: tenant, Key: "main", Sent: second, Done: second + 50*time.Millisecond, Outcome: OK, Number: 1, Echo: "w1", Rows: 1, Whole: 1, Statements: 1},
			{ID: "r1", Kind: Read, Organisation: tenant, Key: "main", Sent: 2 * second, Done: 2*second + time.Millisecond, Outcome: OK, Needed: 1, Tried: 2, Seen: 1, Echo: "r1", Rows: 1, Whole: 1, Statements: 1},
			{ID: "w2", Kind: Write, Organisation: tenant, Key: "main", Sent: 3 * second, Done: 4 * second, Outcome: Unknown, Number: 2, Statements: 1},
			{ID: "w3", Kind: Write, Organisation: tenant, Key: "main", Sent: 5 * second, Done: 10 * second, Outcome: NotRun, Code: resultcode.NoPrimary, Number: 3},
			{ID: "k1", Kind: Scan, Organisation: tenant, Key: "old", Sent: 7 * second, Done: 7 * second, Outcome: OK, Echo: "k1", Rows: 40, Whole: 40, Statements: 1},
			{ID: "t1", Kind: Transaction, Organisation: tenant, Key: "main", Sent: 8 * second, Done: 9 * second, Outcome: NotRun, Code: resultcode.RolledBack, Number: 4},
		},
		Executions:  map[string]Execution{"w1": {Committed: 1, Present: true}, "w2": {Committed: 1, Present: true}},
		Withdrawals: []Withdrawal{{Organisation: tenant, Key: "old", Accepted: 2 * second}},
		Rates:       map[ident.OrganisationName]Rate{tenant: {PerSecond: 1, Burst: 2}},
	}
}

// A judge that never complains, or complains about a sound run, is worthless.
func TestJudgesFindExactlyTheBrokenPromise(t *testing.T) {
	breaks := map[string]struct {
		promise string
		spoil   func(*History)
	}{
		"nothing":                    {"", func(*History) {}},
		"read misses own write":      {"stale_reads", func(h *History) { h.Records[1].Seen = 0 }},
		"write is gone":              {"lost_writes", func(h *History) { delete(h.Executions, "w1") }},
		"row is gone":                {"lost_writes", func(h *History) { h.Executions["w1"] = Execution{Committed: 1} }},
		"acknowledged write twice":   {"doubled_writes", func(h *History) { h.Executions["w1"] = Execution{Committed: 2, Present: true} }},
		"unanswered write twice":     {"doubled_writes", func(h *History) { h.Executions["w2"] = Execution{Committed: 2, Present: true} }},
		"answer of another request":  {"foreign_answers", func(h *History) { h.Records[1].Echo = "r7" }},
		"answer of another session":  {"foreign_answers", func(h *History) { h.Records[1].Seen = 9 }},
		"cut answer":                 {"foreign_answers", func(h *History) { h.Records[4].Rows = 39 }},
		"malformed answer":           {"foreign_answers", func(h *History) { h.Records[4].Fault = "row 3 holds 7" }},
		"refused write committed":    {"false_not_run", func(h *History) { h.Executions["w3"] = Execution{Committed: 1} }},
		"refused write present":      {"false_not_run", func(h *History) { h.Executions["w3"] = Execution{Present: true} }},
		"rolled back but committed":  {"false_not_run", func(h *History) { h.Executions["t1"] = Execution{Committed: 1, Present: true} }},
		"withdrawn key served":       {"late_key_uses", func(h *History) { h.Records[4].Sent, h.Records[4].Done = 7*time.Second+1, 8*time.Second }},
		"more than rate and burst":   {"over_rate", func(h *History) { h.Rates[tenant] = Rate{PerSecond: 0.1, Burst: 2} }},
		"transaction costs it parts": {"over_rate", func(h *History) { h.Records[0].Statements = 4 }},
	}
	for name, b := range breaks {
		h := sound()
		b.spoil(h)
		counts, violations := Judge(h)
		for promise, n := range counts {
			want := 0
			if promise == b.promise {
				want = 1
			}
			assert.Equal(t, n, want, "%s: %s: %v", name, promise, violations)
		}
		assert.Equal(t, len(counts), len(judges))
	}
}

// Statements whose admission may lie outside a window prove nothing about it.
func TestOverRateCountsOnlyWhatIsCertain(t *testing.T) {
	h := &History{Rates: map[ident.OrganisationName]Rate{tenant: {PerSecond: 10, Burst: 5}}}
	for range 12 { // sent at once, completed after one second: 15 may be admitted
		h.Records = append(h.Records, Record{Organisation: tenant, Outcome: OK, Statements: 1, Done: time.Second})
	}
	assert.Equal(t, len(overRate(h)), 0)
	for i := range h.Records { // completed at once: only 5 may be admitted
		h.Records[i].Done = time.Millisecond
	}
	found := overRate(h)
	assert.Equal(t, len(found), 1)
	assert.Assert(t, strings.HasPrefix(found[0].Detail, "12 statements from 0s to 1ms are 7.0 over"), found[0].Detail)
	for i := range h.Records { // refused requests are not admitted
		h.Records[i].Outcome = NotRun
	}
	assert.Equal(t, len(overRate(h)), 0)
}

// The tree must find the same worst window as trying every pair of times.
func TestWorstWindowEqualsExhaustiveSearch(t *testing.T) {
	rate := Rate{PerSecond: 20, Burst: 3}
	for seed := range uint64(50) {
		records := randomRecords(seed, 40)
		best := -1e9
		for _, a := range records {
			for _, b := range records {
				n := 0.0
				for _, r := range records {
					if r.Sent >= a.Sent && r.Done <= b.Done {
						n += float64(r.Statements)
					}
				}
				if b.Done >= a.Sent {
					best = max(best, n-rate.Burst-rate.PerSecond*(b.Done-a.Sent).Seconds())
				}
			}
		}
		got := worstWindow(records, rate).excess
		assert.Assert(t, got-best < 1e-6 && best-got < 1e-6, "seed %d: %f instead of %f", seed, got, best)
	}
}
