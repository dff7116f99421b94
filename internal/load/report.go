package load

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// maxPrintedViolations bounds the printed violations of one promise.
const maxPrintedViolations = 5

// Report is a run beside the runs of its baselines, with the same seed.
type Report struct {
	Result    *Result
	Baselines []*Result
}

// Figure is a measure beside its baseline. Absent values were not shown by the run.
type Figure struct {
	Measure      string   `json:"measure"`
	Value        *float64 `json:"value"`
	BaselineName Baseline `json:"baseline_name,omitempty"`
	Baseline     *float64 `json:"baseline,omitempty"`
	Ratio        *float64 `json:"ratio,omitempty"`
	Note         string   `json:"note,omitempty"`
}

// value returns nil for a value that JSON cannot hold.
func value(v float64) *float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return nil
	}
	return &v
}

// comparison says which baseline a measure is compared with.
type comparison struct {
	name     string
	baseline Baseline
	of       func(*Result) float64
	note     func(*Result) string
}

var comparisons = []comparison{
	{"reads_on_replicas", ReadsOnPrimary, func(r *Result) float64 { return r.Measures.ReadsOnReplicas }, nil},
	{"read_p99_ms", ReadsOnPrimary, func(r *Result) float64 { return r.Measures.latency(Read).P99 }, nil},
	{"failover_gap_ms", "", func(r *Result) float64 { return r.Measures.longestGap() }, gapNote},
	{"worst_organisation_share", FirstComeQueue, func(r *Result) float64 { return r.Measures.WorstOrganisationShare },
		func(r *Result) string { return string(r.Measures.WorstOrganisation) }},
	{"others_p99_ms", FirstComeQueue, func(r *Result) float64 { return r.othersLatency() }, nil},
	{"wrongful_refusals", StaticShares, func(r *Result) float64 { return r.Measures.WrongfulRefusals },
		func(r *Result) string {
			return fmt.Sprintf("%d of %d inside the rate", r.Measures.WrongfulCount, r.Measures.InsideCount)
		}},
	{"zone_change_service", "", func(r *Result) float64 { return r.Measures.ZoneChangeService }, nil},
}

// latency returns the latency of a kind, with NaN when none was answered.
func (m Measures) latency(kind Kind) Latency {
	if l, ok := m.Latencies[kind]; ok {
		return l
	}
	return Latency{P50: math.NaN(), P99: math.NaN(), Max: math.NaN()}
}

func (m Measures) longestGap() float64 {
	longest := math.NaN()
	for _, gap := range m.FailoverGaps {
		if math.IsNaN(longest) || gap.GapMS > longest {
			longest = gap.GapMS
		}
	}
	return longest
}

func gapNote(r *Result) string {
	var notes []string
	for _, gap := range r.Measures.FailoverGaps {
		note := fmt.Sprintf("%s %s %.0f ms", gap.Fault, gap.Group, gap.GapMS)
		if !math.IsNaN(gap.DetectionMS) {
			note += fmt.Sprintf(" (detection %.0f)", gap.DetectionMS)
		}
		notes = append(notes, note)
	}
	return strings.Join(notes, "; ")
}

// Figures returns all measures beside their baselines.
func (report *Report) Figures() []Figure {
	figures := make([]Figure, 0, len(comparisons))
	for _, c := range comparisons {
		own := c.of(report.Result)
		f := Figure{Measure: c.name, Value: value(own)}
		if c.note != nil && f.Value != nil {
			f.Note = c.note(report.Result)
		}
		for _, b := range report.Baselines {
			if b.Baseline == c.baseline {
				f.BaselineName, f.Baseline = b.Baseline, value(c.of(b))
				f.Ratio = value(ratio(own, c.of(b)))
			}
		}
		figures = append(figures, f)
	}
	return figures
}

// Broken reports whether the system under test broke a promise. Baselines are not judged.
func (report *Report) Broken() bool { return report.Result.Broken() }

// WriteJSON writes one JSON object.
func (report *Report) WriteJSON(w io.Writer) error {
	r := report.Result
	out := map[string]any{
		"scenario": r.Scenario.Name, "installation": r.Scenario.Installation, "seed": r.Seed, "counts": r.Counts,
		"violations": r.Violations, "events": r.Events, "outcomes": r.Measures.Outcomes, "latency": r.Measures.Latencies,
		"measures": report.Figures(), "failover_gaps": gapsOf(r.Measures.FailoverGaps), "organisations": r.organisations(),
	}
	encoder := json.NewEncoder(w)
	return encoder.Encode(out)
}

func gapsOf(gaps []FailoverGap) []map[string]any {
	out := make([]map[string]any, len(gaps))
	for i, gap := range gaps {
		out[i] = map[string]any{"fault": gap.Fault, "group": gap.Group, "gap_ms": value(gap.GapMS), "detection_ms": value(gap.DetectionMS)}
	}
	return out
}

// WriteText writes the report for people.
func (report *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	r := report.Result
	fmt.Fprintf(&b, "scenario %s (%s), installation %s, seed %d\n", r.Scenario.Name, r.Scenario.Title, r.Scenario.Installation, r.Seed)
	for _, e := range r.Events {
		fmt.Fprintf(&b, "  %8s  %s %s %s", e.At.Round(time.Millisecond), e.Action, e.Target, e.Value)
		if e.Until > 0 {
			fmt.Fprintf(&b, " until %s", e.Until.Round(time.Millisecond))
		}
		if e.Error != "" {
			fmt.Fprintf(&b, " FAILED: %s", e.Error)
		}
		b.WriteByte('\n')
	}
	report.writeCounts(&b)
	report.writeFigures(&b)
	writeLatencies(&b, r)
	writeMap(&b, "outcomes", r.Measures.Outcomes)
	for _, o := range r.organisations() {
		fmt.Fprintf(&b, "  %-18s offered %5d  answered %5d  refused for rate %5d  other %5d  p99 %8.1f ms\n", o.Name, o.Offered, o.Answered, o.RateExceeded, o.Other, o.P99)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (report *Report) writeCounts(b *strings.Builder) {
	b.WriteString("promises (violations)\n")
	printed := map[string]int{}
	for _, j := range judges {
		fmt.Fprintf(b, "  %-26s %d\n", j.promise, report.Result.Counts[j.promise])
	}
	for _, v := range report.Result.Violations {
		if printed[v.Promise]++; printed[v.Promise] <= maxPrintedViolations {
			fmt.Fprintf(b, "    %s %s at %s: %s\n", v.Promise, v.ID, v.At.Round(time.Millisecond), v.Detail)
		}
	}
}

func (report *Report) writeFigures(b *strings.Builder) {
	b.WriteString("measures                          value   baseline      ratio\n")
	for _, f := range report.Figures() {
		fmt.Fprintf(b, "  %-26s %10s %10s %10s  %s %s\n", f.Measure, show(f.Value), show(f.Baseline), show(f.Ratio), f.BaselineName, f.Note)
	}
}

func show(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.4g", *v)
}

func writeLatencies(b *strings.Builder, r *Result) {
	b.WriteString("latency from the due time (ms)   answered      p50      p99      max\n")
	for _, kind := range []Kind{Read, Scan, Write, Transaction, "all"} {
		if l, ok := r.Measures.Latencies[kind]; ok {
			fmt.Fprintf(b, "  %-30s %8d %8.1f %8.1f %8.1f\n", kind, l.Answered, l.P50, l.P99, l.Max)
		}
	}
}

func writeMap(b *strings.Builder, title string, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(b, "%s\n", title)
	for _, name := range names {
		fmt.Fprintf(b, "  %-26s %d\n", name, counts[name])
	}
}

// othersLatency returns the largest p99 of the organisations that no fault
// overloads; NaN in a scenario without such a fault.
func (result *Result) othersLatency() float64 {
	overloaded := map[ident.OrganisationName]bool{}
	for _, f := range result.Scenario.Faults {
		if f.Action == "overload" {
			overloaded[ident.OrganisationName(f.Target)] = true
		}
	}
	worst := math.NaN()
	if len(overloaded) == 0 {
		return worst
	}
	for _, o := range result.organisations() {
		if !overloaded[o.Name] && (math.IsNaN(worst) || o.P99 > worst) {
			worst = o.P99
		}
	}
	return worst
}

// Organisation is what one organisation offered and got.
type Organisation struct {
	Name         ident.OrganisationName `json:"name"`
	Offered      int                    `json:"offered"`
	Answered     int                    `json:"answered"`
	RateExceeded int                    `json:"rate_exceeded"`
	Other        int                    `json:"other"`
	P99          float64                `json:"p99_ms"`
}

func (result *Result) organisations() []Organisation {
	var all []Organisation
	for name, records := range byOrganisation(result.History) {
		o := Organisation{Name: name, Offered: len(records)}
		for _, r := range records {
			switch {
			case r.Outcome == OK:
				o.Answered++
			case wrongful(r, true):
				o.RateExceeded++
			default:
				o.Other++
			}
		}
		o.P99 = p99(records)
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}
