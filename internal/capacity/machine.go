package capacity

import (
	"container/heap"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"
)

// processorTime is the user and system time of this process.
func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// timePer returns the processor time of one run of f.
func timePer(runs int, f func()) time.Duration {
	runtime.GC()
	start := processorTime()
	for range runs {
		f()
	}
	return (processorTime() - start) / time.Duration(runs)
}

// heapOf returns what make returns and the bytes of heap that it holds.
func heapOf[T any](make func() T) (T, float64) {
	before := heapInUse()
	value := make()
	return value, float64(heapInUse() - before)
}

// heapInUse returns the heap bytes after a collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// event is work at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// timeline runs events on virtual time.
type timeline struct {
	now   time.Duration
	queue events
	seq   int
	rng   *rand.Rand
}

func newTimeline(seed uint64) *timeline {
	return &timeline{rng: rand.New(rand.NewPCG(seed, 1))}
}

func (t *timeline) at(when time.Duration, run func()) {
	t.seq++
	heap.Push(&t.queue, event{max(when, t.now), t.seq, run})
}

func (t *timeline) run(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.run()
	}
	t.now = until
}
