// Package eventqueue runs events in the order of virtual time. It serves the
// simulations that test the deterministic cores.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds events. The zero value is empty and stands at time zero.
type Queue struct {
	// Now is the time of the event that runs, or of the end of the last run.
	Now    time.Duration
	events events
	last   int
}

// event is work at a time. Events of one time run in the order of their addition.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	end := len(*e) - 1
	last := (*e)[end]
	(*e)[end] = event{}
	*e = (*e)[:end]
	return last
}

// Schedule adds an event. A time that has passed means now.
func (q *Queue) Schedule(when time.Duration, run func()) {
	q.last++
	heap.Push(&q.events, event{max(when, q.Now), q.last, run})
}

// Run runs the events up to a time, unless stop returns true before.
func (q *Queue) Run(until time.Duration, stop func() bool) {
	for len(q.events) > 0 && q.events[0].at <= until && !stop() {
		e := heap.Pop(&q.events).(event)
		q.Now = e.at
		e.run()
	}
	q.Now = until
}
