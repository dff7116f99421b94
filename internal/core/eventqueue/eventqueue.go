// Package eventqueue runs events in the order of virtual time. It is used by the
// simulations that test the deterministic packages.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a queue of events. The zero value is empty and at time zero.
type Queue struct {
	// Now is the time of the running event, or the end of the last Run.
	Now          time.Duration
	events       eventHeap
	lastSequence int
}

// event is a function to call at a time. Events with the same time run in the order in
// which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	end := len(*e) - 1
	last := (*e)[end]
	(*e)[end] = event{}
	*e = (*e)[:end]
	return last
}

// Schedule adds an event. A time in the past is replaced by the present one.
func (q *Queue) Schedule(when time.Duration, run func()) {
	q.lastSequence++
	heap.Push(&q.events, event{max(when, q.Now), q.lastSequence, run})
}

// Run runs the events up to a time. Before each event it ends early if stop returns
// true. In both cases Now is then until.
func (q *Queue) Run(until time.Duration, stop func() bool) {
	for len(q.events) > 0 && q.events[0].at <= until && !stop() {
		e := heap.Pop(&q.events).(event)
		q.Now = e.at
		e.run()
	}
	q.Now = until
}
