package load

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/promotion"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Measures are the figures to improve once every promise holds. A measure that the
// scenario does not show is NaN.
type Measures struct {
	// ReadsOnReplicas is the share of reads that replicas served.
	ReadsOnReplicas float64
	// FailoverGaps has an entry for each fault of a primary.
	FailoverGaps []FailoverGap
	// WorstOrganisation has the lowest share of its fair rate.
	WorstOrganisation      ident.OrganisationName
	WorstOrganisationShare float64
	// WrongfulRefusals is the share of the requests inside the rate that were refused
	// with RateExceeded.
	WrongfulRefusals float64
	// WrongfulCount and InsideCount are its numerator and denominator.
	WrongfulCount, InsideCount int
	// ZoneChangeService is the share of requests answered from the note that takes a
	// zone out until zoneReturn after the note that brings it back.
	ZoneChangeService float64
	Answered, Offered int
	Outcomes          map[string]int
	Latencies         map[Kind]Latency
}

// FailoverGap is the time without acknowledged writes around a fault of a primary.
type FailoverGap struct {
	Fault string          `json:"fault"`
	Group ident.GroupName `json:"group"`
	// GapMS is from the last acknowledgement before the fault to the first after it.
	GapMS float64 `json:"gap_ms"`
	// DetectionMS is from the old primary's last status to the decision to replace it,
	// NaN when no dump shows it.
	DetectionMS float64 `json:"-"`
}

// zoneReturn is how long after its return a zone still counts as changing: the load
// ramps up over 5 s, and the note needs up to 4 s.
const zoneReturn = 9 * time.Second

func measure(result *Result) Measures {
	h := result.History
	m := Measures{
		ReadsOnReplicas:   ratio(float64(result.readsReplica), float64(result.readsReplica+result.readsPrimary)),
		ZoneChangeService: zoneChangeService(h.Records, result.Events),
		FailoverGaps:      withDetection(failoverGaps(h.Records, result.Events), result.Changes),
		Outcomes:          outcomes(h.Records), Latencies: latencies(h.Records), Offered: len(h.Records),
	}
	m.Answered = m.Outcomes[string(OK)]
	m.WorstOrganisation, m.WorstOrganisationShare = worstShare(h, result.weights)
	m.WrongfulCount, m.InsideCount = wrongfulRefusals(h)
	m.WrongfulRefusals = ratio(float64(m.WrongfulCount), float64(m.InsideCount))
	return m
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return math.NaN()
	}
	return a / b
}

// outcomes counts the records by outcome, with the code of refusals.
func outcomes(records []Record) map[string]int {
	counts := map[string]int{}
	for i := range records {
		r := &records[i]
		name := string(r.Outcome)
		if r.Outcome != OK {
			name += " " + r.Code.String()
			if r.SQLState != "" {
				name += " " + r.SQLState
			}
		}
		counts[name]++
	}
	return counts
}

// wrongfulRefusals counts refusals with RateExceeded of requests inside the rate,
// and all requests inside the rate.
func wrongfulRefusals(h *History) (refused, offered int) {
	for organisation, records := range byOrganisation(h) {
		for r, inside := range insideRate(records, h.Rates[organisation]) {
			if inside {
				offered++
			}
			if wrongful(r, inside) {
				refused++
			}
		}
	}
	return refused, offered
}

// worstShare returns the organisation whose served statements are the smallest
// share of its fair share. The fair share is the weighted max-min division of all
// served statements, where nobody gets more than it offered inside its rate.
func worstShare(h *History, weights map[ident.OrganisationName]float64) (ident.OrganisationName, float64) {
	served, demand := map[ident.OrganisationName]float64{}, map[ident.OrganisationName]float64{}
	total := 0.0
	for organisation, records := range byOrganisation(h) {
		var offered float64
		first, last := time.Duration(math.MaxInt64), time.Duration(0)
		for _, r := range records {
			if r.Code == resultcode.KeyWithdrawn || r.Code == resultcode.KeyRejected {
				continue // the operators refused it
			}
			offered += float64(max(1, r.Statements))
			first, last = min(first, r.Intended), max(last, r.Done)
			if r.Outcome == OK {
				served[organisation] += float64(r.Statements)
				total += float64(r.Statements)
			}
		}
		rate := h.Rates[organisation]
		demand[organisation] = min(offered, rate.PerSecond*(last-first).Seconds()+rate.Burst)
	}
	worst, share := ident.OrganisationName(""), math.NaN()
	for organisation, fair := range maxMin(demand, weights, total) {
		s := ratio(served[organisation], fair)
		if math.IsNaN(share) || s < share || (s == share && organisation < worst) {
			worst, share = organisation, s
		}
	}
	return worst, share
}

// maxMin divides a capacity by weight among demands so that no demand is exceeded.
func maxMin(demand, weights map[ident.OrganisationName]float64, capacity float64) map[ident.OrganisationName]float64 {
	names := make([]ident.OrganisationName, 0, len(demand))
	sum := 0.0
	for name := range demand {
		names = append(names, name)
		sum += weights[name]
	}
	sort.Slice(names, func(i, j int) bool { return demand[names[i]]/weights[names[i]] < demand[names[j]]/weights[names[j]] })
	fair := map[ident.OrganisationName]float64{}
	for _, name := range names {
		fair[name] = min(demand[name], capacity*weights[name]/sum)
		capacity -= fair[name]
		sum -= weights[name]
	}
	return fair
}

// failoverGaps measures the gap around every fault of a primary. A write that was
// sent before the fault may be acknowledged after it by the former primary, so only
// writes sent after the fault end the gap.
func failoverGaps(records []Record, events []Event) []FailoverGap {
	var gaps []FailoverGap
	for _, e := range events {
		for _, group := range stopped(records, e) {
			gaps = append(gaps, failoverGap(records, e, group))
		}
	}
	return gaps
}

// withDetection adds the detection times of the changes of primaries that VMs
// report. A VM keeps only its last change, so the times of a group are used only
// when there is one for each fault.
func withDetection(gaps []FailoverGap, changes map[ident.GroupName][]promotion.Outcome) []FailoverGap {
	faults := map[ident.GroupName]int{}
	for _, gap := range gaps {
		faults[gap.Group]++
	}
	next := map[ident.GroupName]int{}
	for i := range gaps {
		group := gaps[i].Group
		if of := changes[group]; len(of) == faults[group] {
			gaps[i].DetectionMS = float64(of[next[group]].Detection.Microseconds()) / 1000
			next[group]++
		}
	}
	return gaps
}

func failoverGap(records []Record, e Event, group ident.GroupName) FailoverGap {
	last, first := time.Duration(0), time.Duration(math.MaxInt64)
	for i := range records {
		r := &records[i]
		switch {
		case r.Outcome != OK || !r.Kind.writes() || r.Group != group:
		case r.Done <= e.At:
			last = max(last, r.Done)
		case r.Sent >= e.At:
			first = min(first, r.Done)
		}
	}
	gap := FailoverGap{Fault: e.Name, Group: group, GapMS: math.NaN(), DetectionMS: math.NaN()}
	if first != math.MaxInt64 {
		gap.GapMS = float64((first - last).Microseconds()) / 1000
	}
	return gap
}

// stopped returns the groups whose writes a fault may stop: that of a primary, or
// all groups when a zone is cut off.
func stopped(records []Record, e Event) []ident.GroupName {
	group, role, _ := strings.Cut(e.Target, "/")
	switch e.Action {
	case "kill-member", "pause-member", "cut-member":
		if role == "primary" {
			return []ident.GroupName{ident.GroupName(group)}
		}
	case "cut-zone", "cut-zone-both":
		var groups []ident.GroupName
		for i := range records {
			if !slices.Contains(groups, records[i].Group) {
				groups = append(groups, records[i].Group)
			}
		}
		slices.Sort(groups)
		return groups
	}
	return nil
}

// zoneChangeService returns the share of requests answered while zones leave and return.
func zoneChangeService(records []Record, events []Event) float64 {
	answered, due := 0.0, 0.0
	for i := range records {
		r := &records[i]
		for _, e := range events {
			if e.Action == "zone-out" && r.Intended >= e.At && r.Intended <= e.Until+zoneReturn {
				due++
				if r.Outcome == OK {
					answered++
				}
				break
			}
		}
	}
	return ratio(answered, due)
}
