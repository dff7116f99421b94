package load

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// rateTolerance absorbs the rounding of sums of floating-point numbers, in statements.
const rateTolerance = 1e-6

// byOrganisation returns the indexes of the records of each organisation.
func byOrganisation(h *History) map[ident.OrganisationName][]*Record {
	of := map[ident.OrganisationName][]*Record{}
	for i := range h.Records {
		r := &h.Records[i]
		of[r.Organisation] = append(of[r.Organisation], r)
	}
	return of
}

// overRate finds organisations with a window in which more statements were
// certainly admitted than rate x window + burst. A statement is admitted between
// sending and completion, so only those that lie whole in the window count.
func overRate(h *History) []Violation {
	var found []Violation
	for organisation, records := range byOrganisation(h) {
		rate, ok := h.Rates[organisation]
		if !ok {
			continue
		}
		if w := worstWindow(admitted(records), rate); w.excess > rateTolerance {
			found = append(found, Violation{ID: string(organisation), At: w.to, Detail: fmt.Sprintf(
				"%.0f statements from %s to %s are %.1f over %g/s and burst %g", w.statements, w.from, w.to, w.excess, rate.PerSecond, rate.Burst)})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

// admitted returns the requests that were served.
func admitted(records []*Record) []*Record {
	var served []*Record
	for _, r := range records {
		if r.Outcome == OK && r.Statements > 0 {
			served = append(served, r)
		}
	}
	return served
}

// window is a span of time with the statements that lie whole in it.
type window struct {
	from, to   time.Duration
	statements float64
	excess     float64
}

// worstWindow returns the window with the largest excess. For every start, from
// the latest to the earliest, a tree over the completion times holds the number of
// statements that the window up to that completion contains, less its allowance.
func worstWindow(records []*Record, rate Rate) window {
	ends := append([]*Record(nil), records...)
	sort.Slice(ends, func(i, j int) bool { return ends[i].Done < ends[j].Done })
	starts := append([]*Record(nil), records...)
	sort.Slice(starts, func(i, j int) bool { return starts[i].Sent > starts[j].Sent })
	index := make(map[*Record]int, len(ends))
	values := make([]float64, len(ends))
	for i, r := range ends {
		index[r] = i
		values[i] = -rate.PerSecond * r.Done.Seconds()
	}
	tree := newMaxTree(values)
	worst := window{excess: math.Inf(-1)}
	for _, r := range starts {
		tree.addFrom(index[r], float64(r.Statements))
		first := sort.Search(len(ends), func(i int) bool { return ends[i].Done >= r.Sent })
		value, at := tree.maxFrom(first)
		excess := value + rate.PerSecond*r.Sent.Seconds() - rate.Burst
		if excess > worst.excess {
			span := (ends[at].Done - r.Sent).Seconds()
			worst = window{from: r.Sent, to: ends[at].Done, excess: excess, statements: excess + rate.Burst + rate.PerSecond*span}
		}
	}
	return worst
}

// insideRate says for each record of an organisation, ordered by sending, whether
// the load offered up to then was inside rate and burst in every window that ends
// with it. Refused requests are offered load too.
func insideRate(records []*Record, rate Rate) map[*Record]bool {
	var order []*Record
	for _, r := range records {
		if r.Outcome != Unsent {
			order = append(order, r)
		}
	}
	sort.SliceStable(order, func(i, j int) bool { return order[i].Sent < order[j].Sent })
	inside := make(map[*Record]bool, len(order))
	level, last := rate.Burst, time.Duration(0)
	for _, r := range order {
		level = min(rate.Burst, level+rate.PerSecond*(r.Sent-last).Seconds())
		last = r.Sent
		level -= float64(max(1, r.Statements))
		inside[r] = level >= 0
	}
	return inside
}
