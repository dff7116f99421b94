package queue

import (
	"math"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// class holds the waiting entries of one priority.
type class struct {
	flows map[flowKey]*flow
	// ring lists the flows of the current round. A flow that becomes empty stays until the
	// round ends, so that an organisation cannot get a second turn by returning.
	ring    []*flow
	waiting int
	// owed is the number of entries of other priorities that have started while entries of
	// this one were waiting.
	owed int
}

// flowKey identifies a flow. Transactions are apart, because they may have to wait when the
// other requests of their organisation need not.
type flowKey struct {
	organisation ident.OrganisationName
	transaction  bool
}

func keyOf(e Entry) flowKey { return flowKey{e.Organisation, e.Need == Transaction} }

// flow is the queue of one organisation in a class.
type flow struct {
	flowKey
	account *account
	weight  int
	deficit int // requests that may still start in this round
	advance int // requests started in advance
	entries orderHeap
}

// flow returns the flow of an entry.
func (q *Queue) flow(e Entry) *flow {
	c := &q.classes[e.Priority]
	f := c.flows[keyOf(e)]
	if f == nil {
		f = q.newFlow()
		f.flowKey, f.account = keyOf(e), q.account(e.Organisation)
		f.account.flows++
		f.deficit = max(1, e.Weight)
		c.flows[f.flowKey] = f
		c.ring = append(c.ring, f)
	}
	f.weight = max(1, e.Weight)
	return f
}

func (q *Queue) newFlow() *flow {
	n := len(q.freeFlows)
	if n == 0 {
		return &flow{}
	}
	f := q.freeFlows[n-1]
	q.freeFlows = q.freeFlows[:n-1]
	return f
}

// endRound removes the empty flows of a class and gives the others their next turns. A flow
// is passed over once for each request that it has started in advance.
func (q *Queue) endRound(c *class) {
	kept := c.ring[:0]
	for _, f := range c.ring {
		if len(f.entries) == 0 {
			q.dropFlow(c, f)
			continue
		}
		passed := min(f.advance, f.weight)
		f.advance -= passed
		f.deficit = min(f.weight, f.deficit+f.weight-passed)
		kept = append(kept, f)
	}
	clear(c.ring[len(kept):])
	c.ring = kept
}

func (q *Queue) dropFlow(c *class, f *flow) {
	delete(c.flows, f.flowKey)
	f.account.flows--
	q.dropAccount(f.organisation, f.account)
	*f = flow{entries: f.entries[:0]}
	q.freeFlows = append(q.freeFlows, f)
}

// pick returns the entry to start next, or nil if none can start. mayOpen tells whether an
// organisation without an idle connection may start.
func (q *Queue) pick(now time.Duration, mayOpen bool) *item {
	if it := q.pickOwed(now, mayOpen); it != nil {
		return it
	}
	if len(q.continuations) > 0 {
		return q.continuations.first(now)
	}
	for i := range q.classes {
		if it := q.pickFrom(&q.classes[i], now, mayOpen); it != nil {
			return it
		}
	}
	return nil
}

// pickOwed returns an entry of the priority that has waited longest for its least share of
// the starts, or nil if none has.
func (q *Queue) pickOwed(now time.Duration, mayOpen bool) *item {
	most := minShareStarts - 2
	var owed *class
	for i := range q.classes {
		if c := &q.classes[i]; c.owed > most {
			most, owed = c.owed, c
		}
	}
	if owed == nil {
		return nil
	}
	return q.pickFrom(owed, now, mayOpen)
}

// pickFrom returns the entry of a class to start next: of the organisations that have a
// turn left in this round, the one with the least time until it is late.
func (q *Queue) pickFrom(c *class, now time.Duration, mayOpen bool) *item {
	if c.waiting == 0 {
		return nil
	}
	for _, transaction := range [...]bool{false, true} {
		f := c.flows[flowKey{q.preferred, transaction}]
		if f != nil && f.advance < maxAdvance && q.startable(f, mayOpen) {
			f.advance++
			return f.entries.first(now)
		}
	}
	for {
		var best *item
		startable := false
		for _, f := range c.ring {
			if !q.startable(f, mayOpen) {
				continue
			}
			startable = true
			if f.deficit > 0 {
				if it := f.entries.first(now); best == nil || it.sooner(best) {
					best = it
				}
			}
		}
		if best != nil {
			best.flow.deficit--
			return best
		}
		if !startable {
			return nil
		}
		q.endRound(c)
	}
}

// startable reports whether the first entry of a flow can start.
func (q *Queue) startable(f *flow, mayOpen bool) bool {
	if len(f.entries) == 0 {
		return false
	}
	first := f.entries[0]
	if first.Need == Slot {
		return true
	}
	if limit := q.limits.Connections; limit > 0 && (q.held >= limit || first.Need == Transaction && !q.mayKeep(f, first.Priority)) {
		return false
	}
	return f.account.idle > 0 || mayOpen
}

// mayKeep reports whether a transaction may take a connection, which it holds also while it
// is idle, until a time limit. While others wait, the transactions of an organisation may use
// half of the connections. Transactions that are not of the highest priority leave a quarter.
func (q *Queue) mayKeep(f *flow, priority int) bool {
	limit := q.limits.Connections
	if q.waitingOrganisations > 1 && f.account.kept >= (limit+1)/2 {
		return false
	}
	return priority == 0 || q.kept < limit-limit/4
}

// Ahead returns a lower bound of the entries that start before an entry that is added now:
// those of higher priorities, and those of its own in the turns before it.
func (q *Queue) Ahead(e Entry, now time.Duration) int {
	priority := min(max(0, e.Priority), MaxPriority)
	if e.Need == Continuation {
		return len(q.continuations)
	}
	higher := len(q.continuations)
	for i := range priority {
		higher += q.classes[i].waiting
	}
	c, own := &q.classes[priority], 0
	if f := c.flows[keyOf(e)]; f != nil {
		probe := item{Entry: e, flow: f, late: e.Due > 0 && e.Due <= now}
		probe.ID = math.MaxUint64
		for _, it := range f.entries {
			if it.sooner(&probe) {
				own++
			}
		}
	}
	rounds := own / max(1, e.Weight)
	for _, f := range c.ring {
		if f.flowKey != keyOf(e) {
			own += min(len(f.entries), rounds*f.weight)
		}
	}
	return min(higher+own, (minShareStarts-1)+minShareStarts*own)
}
