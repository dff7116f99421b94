package queue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// ID identifies an entry. The caller assigns it in increasing order and must not reuse it.
type ID uint64

// Need is what an entry takes when it runs.
type Need uint8

const (
	// Slot is a slot.
	Slot Need = iota
	// Connection is a slot and a connection of the organisation. Without an idle one, a new
	// connection is opened, which takes the slot too.
	Connection
	// Transaction is Connection for a request that keeps the connection after it has run.
	Transaction
	// Continuation is a slot for a request that has its connection already. It runs before
	// the others, because it keeps that connection until it has run.
	Continuation
)

// Entry is a request that waits.
type Entry struct {
	ID           ID
	Organisation ident.OrganisationName
	// Weight is the number of requests that the organisation may start per round. Values
	// below 1 count as 1.
	Weight int
	// Priority 0 is the highest. Values above MaxPriority count as MaxPriority.
	Priority int
	Need     Need
	// Due is the time since process start at which the latency target of the request
	// ends. Zero means that it has none.
	Due time.Duration
	// Deadline is the time since process start at which the entry expires.
	Deadline time.Duration
	// Patience is the same for an upstream that does not answer.
	Patience time.Duration
}

// MaxPriority is the lowest priority that is told apart from higher ones. With more classes
// each could not have a tenth of the starts.
const MaxPriority = 7

const (
	// maxAdvance is the number of requests that an organisation may start in advance of its
	// turns. While it does, the others wait; with it a new connection serves several requests.
	maxAdvance = 4
	// minShareStarts is the number of starts of which a waiting priority gets at least one.
	minShareStarts = 10
)

// Limits bounds what runs at once. Zero means no limit, except for Slots.
type Limits struct {
	// Slots is the number of entries that may run at once, at least 1.
	Slots int
	// Connections is the number of connections that may be in use.
	Connections int
	// Dials is the number of connections that may be opened at once.
	Dials int
}

// Decision lists the entries that left the queue. It is valid until the next call.
type Decision struct {
	// Run lists the entries that may start now, in this order. Each occupies a slot
	// until Release.
	Run []ID
	// Expired lists the entries that must be rejected as not run.
	Expired []ID
}

// Start is an entry that may start now.
type Start struct {
	Entry
	// Dial is set if a connection must be opened for it.
	Dial bool
}

// Queue is the queue of one upstream. It is not safe for concurrent use.
type Queue struct {
	limits  Limits
	running int // slots in use
	held    int // connections in use
	kept    int // those of held that transactions have
	dialing int // connections being opened
	waiting map[ID]*item
	// classes holds the waiting entries by priority, without continuations.
	classes       [MaxPriority + 1]class
	continuations orderHeap
	deadlines     deadlineHeap
	accounts      map[ident.OrganisationName]*account
	// waitingOrganisations is the number of organisations with entries in classes.
	waitingOrganisations int
	// preferred is the organisation that ReleaseFor has named since the last start.
	preferred ident.OrganisationName

	decision  Decision
	freeItems []*item
	freeFlows []*flow
}

// item is a queued entry.
type item struct {
	Entry
	flow          *flow // nil for a continuation
	late          bool  // Due has passed
	index         int   // position in the heap of the flow or of the continuations
	deadlineIndex int
}

// account is what an organisation has in the queue.
type account struct {
	idle, held, kept int // connections, and those of held that transactions have
	waiting          int // entries in classes
	flows            int
}

// New returns an empty queue with the given number of slots, at least 1.
func New(slots int) *Queue {
	q := &Queue{waiting: map[ID]*item{}, accounts: map[ident.OrganisationName]*account{}}
	q.SetLimits(Limits{Slots: slots})
	for i := range q.classes {
		q.classes[i].flows = map[flowKey]*flow{}
	}
	return q
}

// SetSlots sets the number of entries that may run at once. If it is lowered below the
// number of running entries, these keep their slots until Release.
func (q *Queue) SetSlots(slots int) { q.limits.Slots = max(1, slots) }

// SetLimits sets all limits, with the effect of SetSlots.
func (q *Queue) SetLimits(l Limits) {
	q.limits = l
	q.SetSlots(l.Slots)
}

// Slots returns the number of entries that may run at once.
func (q *Queue) Slots() int { return q.limits.Slots }

// Running returns the number of slots in use.
func (q *Queue) Running() int { return q.running }

// Held returns the number of connections in use.
func (q *Queue) Held() int { return q.held }

// Waiting returns the number of waiting entries.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Idle reports whether no entry waits and no slot is in use.
func (q *Queue) Idle() bool { return q.running == 0 && len(q.waiting) == 0 }

// TryAcquire takes a slot without queueing if one is free and no entry waits.
func (q *Queue) TryAcquire() bool {
	if q.running >= q.limits.Slots || len(q.waiting) > 0 {
		return false
	}
	q.running++
	return true
}

// Add queues an entry. Next or Dispatch decides when it runs.
func (q *Queue) Add(e Entry) {
	e.Priority = min(max(0, e.Priority), MaxPriority)
	it := q.newItem(e)
	q.waiting[e.ID] = it
	heap.Push(&q.deadlines, it)
	if e.Need == Continuation {
		heap.Push(&q.continuations, it)
		return
	}
	it.flow = q.flow(e)
	heap.Push(&it.flow.entries, it)
	q.classes[e.Priority].waiting++
	if it.flow.account.waiting++; it.flow.account.waiting == 1 {
		q.waitingOrganisations++
	}
}

// Cancel removes a waiting entry. It returns false if the entry has already left the
// queue; if the entry was started, its slot must still be released.
func (q *Queue) Cancel(id ID) bool {
	it := q.waiting[id]
	if it == nil {
		return false
	}
	q.remove(it)
	return true
}

// Release frees the slot of an entry that has finished.
func (q *Queue) Release() { q.running-- }

// ReleaseFor is Release for a slot that a request of an organisation can use at less cost
// than others.
func (q *Queue) ReleaseFor(organisation ident.OrganisationName) {
	q.running--
	q.Prefer(organisation)
}

// Prefer names an organisation whose requests can start at less cost than others.
func (q *Queue) Prefer(organisation ident.OrganisationName) {
	if len(q.waiting) > 0 {
		q.preferred = organisation
	}
}

// DialBegan records that a connection is opened for a Start without Dial, because the idle
// one could not be used.
func (q *Queue) DialBegan() { q.dialing++ }

// DialEnded records that the connection of a Start with Dial is open or has failed.
func (q *Queue) DialEnded() { q.dialing-- }

// ReleaseConnection records that a connection is no longer in use. need is that of the entry
// that took it.
func (q *Queue) ReleaseConnection(organisation ident.OrganisationName, need Need) {
	q.held--
	a := q.account(organisation)
	a.held--
	if need == Transaction {
		q.kept--
		a.kept--
	}
	q.dropAccount(organisation, a)
}

// AddIdle changes the number of idle connections of an organisation.
func (q *Queue) AddIdle(organisation ident.OrganisationName, change int) {
	a := q.account(organisation)
	a.idle += change
	q.dropAccount(organisation, a)
}

// NextDeadline returns the earliest deadline of the waiting entries, or false if none
// waits.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if len(q.deadlines) == 0 {
		return 0, false
	}
	return q.deadlines[0].Deadline, true
}

// Dispatch removes the expired entries and starts waiting ones while it can.
func (q *Queue) Dispatch(now time.Duration) Decision {
	q.Expire(now)
	q.decision.Run = q.decision.Run[:0]
	for {
		s, ok := q.Next(now, true)
		if !ok {
			return q.decision
		}
		q.decision.Run = append(q.decision.Run, s.ID)
	}
}

// Expire removes and returns the entries whose deadline has passed. The result is valid
// until the next call.
func (q *Queue) Expire(now time.Duration) []ID {
	q.decision.Expired = q.decision.Expired[:0]
	for len(q.deadlines) > 0 && q.deadlines[0].Deadline <= now {
		q.expire(q.deadlines[0])
	}
	return q.decision.Expired
}

// ExpireStalled is Expire for an upstream that does not answer. It removes also the entries
// whose patience has ended, except continuations, which can run nowhere else.
func (q *Queue) ExpireStalled(now time.Duration) []ID {
	q.Expire(now)
	for _, it := range q.waiting {
		if it.flow != nil && it.Patience <= now {
			q.expire(it)
		}
	}
	slices.Sort(q.decision.Expired)
	return q.decision.Expired
}

func (q *Queue) expire(it *item) {
	q.decision.Expired = append(q.decision.Expired, it.ID)
	q.remove(it)
}

// Next removes the entry that starts next and takes what it needs. It returns false if none
// can start. mayOpen tells whether a connection may be opened. Call Expire before it.
func (q *Queue) Next(now time.Duration, mayOpen bool) (Start, bool) {
	if len(q.waiting) == 0 || q.running >= q.limits.Slots {
		return Start{}, false
	}
	// Opening connections leaves half of the slots to requests that have one, if such a
	// request waits.
	spare := mayOpen && (q.limits.Dials == 0 || q.dialing < min(q.limits.Dials, max(1, q.limits.Slots/2)))
	it := q.pick(now, spare)
	if it == nil && mayOpen && !spare && q.dialing < q.limits.Dials {
		it = q.pick(now, true)
	}
	if it == nil {
		return Start{}, false
	}
	return q.start(it), true
}

// start removes an entry and takes what it needs.
func (q *Queue) start(it *item) Start {
	s := Start{Entry: it.Entry}
	if it.flow != nil {
		q.classes[it.Priority].owed = 0
	}
	for i := range q.classes {
		if c := &q.classes[i]; c.waiting > 0 && (it.flow == nil || i != it.Priority) {
			c.owed++
		}
	}
	q.running++
	if it.Need == Connection || it.Need == Transaction {
		a := it.flow.account
		q.held++
		a.held++
		if it.Need == Transaction {
			q.kept++
			a.kept++
		}
		if s.Dial = a.idle == 0; s.Dial {
			q.dialing++
		} else {
			a.idle--
		}
	}
	q.preferred = ""
	q.remove(it)
	return s
}

// remove removes an item from all structures.
func (q *Queue) remove(it *item) {
	delete(q.waiting, it.ID)
	heap.Remove(&q.deadlines, it.deadlineIndex)
	if it.flow == nil {
		heap.Remove(&q.continuations, it.index)
	} else {
		f, c := it.flow, &q.classes[it.Priority]
		heap.Remove(&f.entries, it.index)
		if f.account.waiting--; f.account.waiting == 0 {
			q.waitingOrganisations--
		}
		if c.waiting--; c.waiting == 0 {
			c.owed = 0
			q.endRound(c)
		}
	}
	*it = item{}
	q.freeItems = append(q.freeItems, it)
}

func (q *Queue) newItem(e Entry) *item {
	n := len(q.freeItems)
	if n == 0 {
		return &item{Entry: e}
	}
	it := q.freeItems[n-1]
	q.freeItems = q.freeItems[:n-1]
	it.Entry = e
	return it
}

func (q *Queue) account(organisation ident.OrganisationName) *account {
	a := q.accounts[organisation]
	if a == nil {
		a = &account{}
		q.accounts[organisation] = a
	}
	return a
}

// dropAccount removes an account that holds nothing.
func (q *Queue) dropAccount(organisation ident.OrganisationName, a *account) {
	if a.idle == 0 && a.held == 0 && a.flows == 0 {
		delete(q.accounts, organisation)
	}
}
