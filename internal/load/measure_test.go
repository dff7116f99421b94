package load

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

func randomRecords(seed uint64, n int) []*Record {
	random := rand.New(rand.NewPCG(seed, 1))
	records := make([]*Record, n)
	for i := range records {
		sent := time.Duration(random.IntN(1000)) * time.Millisecond
		records[i] = &Record{Sent: sent, Done: sent + time.Duration(random.IntN(300))*time.Millisecond, Outcome: OK, Statements: 1 + random.IntN(3)}
	}
	return records
}

// A refusal counts as wrongful only while the offered load is inside rate and burst.
func TestWrongfulRefusals(t *testing.T) {
	refusal := func(at time.Duration) Record {
		return Record{Organisation: tenant, Sent: at, Outcome: NotRun, Code: resultcode.RateExceeded}
	}
	h := &History{Rates: map[ident.OrganisationName]Rate{tenant: {PerSecond: 1, Burst: 2}}}
	for range 3 {
		h.Records = append(h.Records, refusal(0)) // the third exceeds the burst
	}
	refused, offered := wrongfulRefusals(h)
	assert.Equal(t, refused, 2)
	assert.Equal(t, offered, 2)
	h.Records = append(h.Records, refusal(1500*time.Millisecond), refusal(5*time.Second))
	refused, _ = wrongfulRefusals(h)
	assert.Equal(t, refused, 3) // at 1.5 s the offered load is still over the rate
}

// An organisation that offers little must not be reported as badly served, and one
// that is starved by a larger one must be.
func TestWorstShare(t *testing.T) {
	h := &History{Rates: map[ident.OrganisationName]Rate{"large": {100, 0}, "small": {100, 0}}}
	add := func(o ident.OrganisationName, n int, outcome Outcome) {
		for i := range n {
			h.Records = append(h.Records, Record{Organisation: o, Intended: time.Duration(i), Done: 10 * time.Second, Outcome: outcome, Statements: 1})
		}
	}
	weights := map[ident.OrganisationName]float64{"large": 1, "small": 1}
	add("large", 300, OK)
	add("small", 100, OK)
	_, share := worstShare(h, weights)
	assert.Equal(t, share, 1.0)
	add("small", 100, NotRun)
	worst, share := worstShare(h, weights)
	assert.Equal(t, worst, ident.OrganisationName("small"))
	assert.Equal(t, share, 0.5)
}

// A late acknowledgement of a write sent before the fault must not end the gap.
func TestFailoverGap(t *testing.T) {
	events := []Event{{Name: "kill", Action: "kill-member", Target: "db/primary", At: 5 * time.Second}}
	write := func(sent, done time.Duration, outcome Outcome) Record {
		return Record{Kind: Write, Group: "db", Sent: sent, Done: done, Outcome: outcome}
	}
	records := []Record{
		write(4*time.Second, 4900*time.Millisecond, OK), write(4990*time.Millisecond, 5010*time.Millisecond, OK),
		write(5100*time.Millisecond, 5200*time.Millisecond, Unknown), write(5300*time.Millisecond, 5900*time.Millisecond, OK),
	}
	gaps := failoverGaps(records, events)
	assert.Equal(t, len(gaps), 1)
	assert.Equal(t, gaps[0].GapMS, 1000.0)
}

// Only requests that were due while the zone changed count.
func TestZoneChangeService(t *testing.T) {
	events := []Event{{Action: "zone-out", At: 10 * time.Second, Until: 12 * time.Second}}
	records := []Record{
		{Intended: 9 * time.Second, Outcome: NotRun}, {Intended: 11 * time.Second, Outcome: OK},
		{Intended: 20 * time.Second, Outcome: Unknown}, {Intended: 30 * time.Second, Outcome: NotRun},
	}
	assert.Equal(t, zoneChangeService(records, events), 0.5)
}
