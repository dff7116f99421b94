package load

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemarywall/rosemarywall/internal/core/promotion"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Bounds and precision of latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

// Result is what one run showed.
type Result struct {
	Scenario   Scenario
	Seed       uint64
	Baseline   Baseline
	History    *History
	Events     []Event
	Counts     map[string]int
	Violations []Violation
	Measures   Measures
	// Changes are the unplanned changes of primaries that VMs carried out, by term.
	Changes map[ident.GroupName][]promotion.Outcome
	// Dumps are the state dumps of the running VMs at the end of the load.
	Dumps map[ident.VMName]map[string]any

	readsReplica, readsPrimary int64
	weights                    map[ident.OrganisationName]float64
}

// Latency summarises the answered requests of a kind, in milliseconds from the
// time at which they were due.
type Latency struct {
	Answered int64   `json:"answered"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Max      float64 `json:"max_ms"`
}

func (result *Result) judge() {
	result.Counts, result.Violations = Judge(result.History)
	result.Measures = measure(result)
}

// Broken reports whether any promise was broken, a fault could not be carried out, or
// nothing was answered.
func (result *Result) Broken() bool {
	for _, e := range result.Events {
		if e.Error != "" {
			return true
		}
	}
	return len(result.Violations) > 0 || result.Measures.Answered == 0
}

// p99 returns the latency of answered requests in milliseconds, zero without any.
func p99(records []*Record) float64 {
	h := hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
	for _, r := range records {
		record(h, r)
	}
	return summary(h).P99
}

// record adds the latency of an answered request.
func record(h *hdrhistogram.Histogram, r *Record) {
	if r.Outcome == OK {
		_ = h.RecordValue(min(highestLatency, max(lowestLatency, (r.Done-r.Intended).Microseconds())))
	}
}

// latencies returns the latency of each kind and of all.
func latencies(records []Record) map[Kind]Latency {
	histograms := map[Kind]*hdrhistogram.Histogram{}
	for i := range records {
		r := &records[i]
		if r.Outcome != OK {
			continue
		}
		for _, kind := range []Kind{r.Kind, "all"} {
			if histograms[kind] == nil {
				histograms[kind] = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
			}
			record(histograms[kind], r)
		}
	}
	out := map[Kind]Latency{}
	for kind, h := range histograms {
		out[kind] = summary(h)
	}
	return out
}

func summary(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{Answered: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
}
