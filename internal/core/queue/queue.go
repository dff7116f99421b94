package queue

import (
	"container/heap"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// ID identifies an entry. The caller assigns it and must not reuse it.
type ID uint64

// Entry is a request that waits for a slot.
type Entry struct {
	ID           ID
	Organisation ident.OrganisationName
	// Weight is the number of requests that the organisation may start per round. Values
	// below 1 count as 1.
	Weight int
	// Deadline is the time since process start at which the entry expires.
	Deadline time.Duration
}

// Decision lists the entries that left the queue.
type Decision struct {
	// Run lists the entries that may start now, in this order. Each occupies a slot
	// until Release.
	Run []ID
	// Expired lists the entries that must be rejected as not run.
	Expired []ID
}

// Queue is the queue of one upstream. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running int
	waiting map[ID]*item
	flows   map[ident.OrganisationName]*flow
	// preferred is the organisation that ReleaseFor has named since the last Dispatch.
	preferred ident.OrganisationName
	// ring lists the flows with waiting entries in round-robin order. The first is
	// served next.
	ring      []*flow
	deadlines deadlineHeap
}

// maxAdvance is the number of requests that an organisation may start in advance of its
// turns. While it does, the others wait; with it a new connection serves several requests.
const maxAdvance = 4

// item is a queued entry.
type item struct {
	Entry
	flow  *flow
	index int // position in the deadline heap
}

// flow is the queue of one organisation.
type flow struct {
	organisation ident.OrganisationName
	weight       int
	deficit      int
	advance      int // requests started in advance
	items        []*item
	waiting      int
}

// New returns an empty queue with the given number of slots, at least 1.
func New(slots int) *Queue {
	return &Queue{slots: max(1, slots), waiting: map[ID]*item{}, flows: map[ident.OrganisationName]*flow{}}
}

// SetSlots sets the number of entries that may run at once. If it is lowered below the
// number of running entries, these keep their slots until Release.
func (q *Queue) SetSlots(slots int) { q.slots = max(1, slots) }

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting entries.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Idle reports whether no entry waits and no slot is in use.
func (q *Queue) Idle() bool { return q.running == 0 && len(q.waiting) == 0 }

// TryAcquire takes a slot without queueing if one is free and no entry waits.
func (q *Queue) TryAcquire() bool {
	if q.running >= q.slots || len(q.waiting) > 0 {
		return false
	}
	q.running++
	return true
}

// Add queues an entry. Dispatch decides when it runs.
func (q *Queue) Add(e Entry) {
	f := q.flows[e.Organisation]
	if f == nil {
		f = &flow{organisation: e.Organisation}
		q.flows[e.Organisation] = f
		q.ring = append(q.ring, f)
	}
	f.weight = max(1, e.Weight)
	it := &item{Entry: e, flow: f}
	f.items = append(f.items, it)
	f.waiting++
	q.waiting[e.ID] = it
	heap.Push(&q.deadlines, it)
}

// Cancel removes a waiting entry. It returns false if the entry has already left the
// queue; if the entry was started, its slot must still be released.
func (q *Queue) Cancel(id ID) bool {
	it := q.waiting[id]
	if it == nil {
		return false
	}
	heap.Remove(&q.deadlines, it.index)
	q.remove(it)
	return true
}

// Release frees the slot of an entry that has finished.
func (q *Queue) Release() { q.running-- }

// ReleaseFor is Release for a slot that a request of an organisation can use at less cost
// than others.
func (q *Queue) ReleaseFor(organisation ident.OrganisationName) {
	q.running--
	q.preferred = organisation
}

// NextDeadline returns the earliest deadline of the waiting entries, or false if none
// waits.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if len(q.deadlines) == 0 {
		return 0, false
	}
	return q.deadlines[0].Deadline, true
}

// Dispatch removes the expired entries and starts waiting ones while slots are free.
func (q *Queue) Dispatch(now time.Duration) Decision {
	var d Decision
	for len(q.deadlines) > 0 && q.deadlines[0].Deadline <= now {
		it := heap.Pop(&q.deadlines).(*item)
		q.remove(it)
		d.Expired = append(d.Expired, it.ID)
	}
	for q.running < q.slots && len(q.waiting) > 0 {
		it := q.nextPreferred()
		if it == nil {
			it = q.next()
		}
		heap.Remove(&q.deadlines, it.index)
		q.remove(it)
		q.running++
		d.Run = append(d.Run, it.ID)
	}
	return d
}

// nextPreferred returns the first entry of the preferred organisation, or nil if none is
// waiting or the organisation has used its advance.
func (q *Queue) nextPreferred() *item {
	f := q.flows[q.preferred]
	q.preferred = ""
	if f == nil || f.advance >= maxAdvance {
		return nil
	}
	f.advance++
	return q.first(f)
}

// first returns the first waiting entry of a flow that has one.
func (q *Queue) first(f *flow) *item {
	for q.waiting[f.items[0].ID] == nil {
		f.items = f.items[1:]
	}
	return f.items[0]
}

// next returns the entry to start next. At least one must be waiting.
func (q *Queue) next() *item {
	for q.ring[0].advance > 0 && len(q.ring) > 1 {
		q.ring[0].advance--
		q.rotate()
	}
	f := q.ring[0]
	if f.deficit == 0 {
		f.deficit = f.weight
	}
	f.deficit--
	it := q.first(f)
	if f.deficit == 0 && len(q.ring) > 1 {
		q.rotate()
	}
	return it
}

// rotate moves the first flow of the ring to its end.
func (q *Queue) rotate() {
	f := q.ring[0]
	copy(q.ring, q.ring[1:])
	q.ring[len(q.ring)-1] = f
}

// remove removes an item from all structures except the deadline heap.
func (q *Queue) remove(it *item) {
	delete(q.waiting, it.ID)
	f := it.flow
	f.waiting--
	if len(f.items) > 0 && f.items[0] == it {
		f.items[0] = nil
		f.items = f.items[1:]
	}
	if f.waiting > 0 {
		return
	}
	delete(q.flows, f.organisation)
	for i, other := range q.ring {
		if other == f {
			q.ring = append(q.ring[:i], q.ring[i+1:]...)
			return
		}
	}
}

// deadlineHeap is a min-heap ordered by deadline, then by ID.
type deadlineHeap []*item

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].ID < h[j].ID
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
