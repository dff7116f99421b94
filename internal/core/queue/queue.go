package queue

import (
	"container/heap"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// ID identifies an entry; the caller chooses it and never uses it twice.
type ID uint64

// Entry is a request that waits for a slot.
type Entry struct {
	ID           ID
	Organisation ident.OrganisationName
	// Weight is the organisation's share; values below 1 count as 1.
	Weight int
	// Deadline is the time since process start at which the entry expires.
	Deadline time.Duration
}

// Decision lists the entries that leave the queue.
type Decision struct {
	// Run may start now, in this order. Each holds a slot until Release.
	Run []ID
	// Expired must be refused as not run.
	Expired []ID
}

// Queue is the queue of one upstream. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running int
	waiting map[ID]*item
	flows   map[ident.OrganisationName]*flow
	// ring holds the flows with entries in round-robin order; the first is served.
	ring      []*flow
	deadlines deadlineHeap
}

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
	items        []*item
	live         int
}

// New returns an empty queue with the given number of slots, at least 1.
func New(slots int) *Queue {
	return &Queue{slots: max(1, slots), waiting: map[ID]*item{}, flows: map[ident.OrganisationName]*flow{}}
}

// SetSlots changes the number of entries that may run at once. Running entries
// above a lowered number keep their slots.
func (q *Queue) SetSlots(slots int) { q.slots = max(1, slots) }

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of entries that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Idle reports whether the queue holds no entry and no slot is in use.
func (q *Queue) Idle() bool { return q.running == 0 && len(q.waiting) == 0 }

// TryAcquire takes a slot at once when one is free and nothing waits.
func (q *Queue) TryAcquire() bool {
	if q.running >= q.slots || len(q.waiting) > 0 {
		return false
	}
	q.running++
	return true
}

// Add queues an entry. Step decides when it runs.
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
	f.live++
	q.waiting[e.ID] = it
	heap.Push(&q.deadlines, it)
}

// Cancel removes a waiting entry. It reports false when the entry has left the
// queue already; if it was told to run, its slot must be released.
func (q *Queue) Cancel(id ID) bool {
	it := q.waiting[id]
	if it == nil {
		return false
	}
	heap.Remove(&q.deadlines, it.index)
	q.leave(it)
	return true
}

// Release returns the slot of an entry that ran.
func (q *Queue) Release() { q.running-- }

// NextDeadline returns the earliest deadline of the waiting entries.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if len(q.deadlines) == 0 {
		return 0, false
	}
	return q.deadlines[0].Deadline, true
}

// Dispatch expires entries and starts others while slots are free.
func (q *Queue) Dispatch(now time.Duration) Decision {
	var d Decision
	for len(q.deadlines) > 0 && q.deadlines[0].Deadline <= now {
		it := heap.Pop(&q.deadlines).(*item)
		q.leave(it)
		d.Expired = append(d.Expired, it.ID)
	}
	for q.running < q.slots && len(q.waiting) > 0 {
		it := q.pick()
		heap.Remove(&q.deadlines, it.index)
		q.leave(it)
		q.running++
		d.Run = append(d.Run, it.ID)
	}
	return d
}

// pick chooses the next entry; at least one waits.
func (q *Queue) pick() *item {
	f := q.ring[0]
	if f.deficit == 0 {
		f.deficit = f.weight
	}
	f.deficit--
	for q.waiting[f.items[0].ID] == nil {
		f.items = f.items[1:]
	}
	it := f.items[0]
	if f.deficit == 0 && len(q.ring) > 1 {
		copy(q.ring, q.ring[1:])
		q.ring[len(q.ring)-1] = f
	}
	return it
}

// leave removes an item from everything but the deadline heap.
func (q *Queue) leave(it *item) {
	delete(q.waiting, it.ID)
	f := it.flow
	f.live--
	if len(f.items) > 0 && f.items[0] == it {
		f.items[0] = nil
		f.items = f.items[1:]
	}
	if f.live > 0 {
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

// deadlineHeap orders items by deadline, then by identifier.
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
