package queue

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"gotest.tools/v3/assert"
)

// upstreamLoad is the load on one upstream whose replicas lag, so that all statements of
// its group reach it: more organisations than the VM has connections, and as much work as
// the upstream has slots for.
type upstreamLoad struct {
	slots       int           // of the upstream
	connections int           // of the VM
	weights     []float64     // share of each organisation in the statements
	perSecond   float64       // statements
	work        time.Duration // mean time in a slot
	dial        time.Duration // time in a slot of a new connection
	patience    time.Duration // time for which a statement waits for a connection
	length      time.Duration
}

// callers is what the callers of a simulated upstream get.
type callers struct {
	served       float64   // share of the statements
	organisation []float64 // the same by organisation
	dials        float64   // new connections for each served statement
	windows      []float64 // share served of the statements of each second
}

// event is the arrival of a statement, or the end of one if connection is set.
type event struct {
	at           time.Duration
	id           ID
	organisation int
	connection   bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation plays an upstreamLoad in virtual time.
type simulation struct {
	upstreamLoad
	random   *rand.Rand
	queue    *Queue
	release  func(q *Queue, organisation ident.OrganisationName)
	events   events
	idle     []int // organisations of the idle connections, least recently used first
	open     int
	busyTill []time.Duration // of the slots
	owner    map[ID]int
	arrival  map[ID]time.Duration

	offered, served []int // by organisation
	offeredIn       []int // by second of arrival
	servedIn        []int
	dials           int
}

func organisationName(i int) ident.OrganisationName {
	return ident.OrganisationName(fmt.Sprint("organisation-", i))
}

// play returns what the callers get if a slot is released by release.
func (l upstreamLoad) play(seed uint64, release func(*Queue, ident.OrganisationName)) callers {
	seconds := int(l.length/time.Second) + 1
	s := &simulation{upstreamLoad: l, random: rand.New(rand.NewPCG(seed, 1)), queue: New(l.connections), release: release,
		busyTill: make([]time.Duration, l.slots), owner: map[ID]int{}, arrival: map[ID]time.Duration{},
		offered: make([]int, len(l.weights)), served: make([]int, len(l.weights)), offeredIn: make([]int, seconds), servedIn: make([]int, seconds)}
	s.addArrivals()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.connection {
			s.idle = append(s.idle, e.organisation)
			s.release(s.queue, organisationName(e.organisation))
		} else {
			s.queue.Add(Entry{ID: e.id, Organisation: organisationName(e.organisation), Weight: 1, Deadline: e.at + s.patience})
		}
		for _, id := range s.queue.Dispatch(e.at).Run {
			s.start(id, e.at)
		}
	}
	return s.result()
}

// addArrivals adds statements at random times, at rates that follow the weights.
func (s *simulation) addArrivals() {
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	id := ID(0)
	for at := time.Duration(0); at < s.length; at += time.Duration(s.random.ExpFloat64() / s.perSecond * float64(time.Second)) {
		pick, organisation := s.random.Float64()*total, 0
		for pick > s.weights[organisation] {
			pick -= s.weights[organisation]
			organisation++
		}
		id++
		s.owner[id], s.arrival[id] = organisation, at
		s.offered[organisation]++
		s.offeredIn[at/time.Second]++
		heap.Push(&s.events, event{at: at, id: id, organisation: organisation})
	}
}

// start runs a statement on an idle connection of its organisation or on a new one, in the
// slot of the upstream that becomes free first.
func (s *simulation) start(id ID, now time.Duration) {
	organisation := s.owner[id]
	duration := time.Duration(s.random.ExpFloat64() * float64(s.work))
	if !s.takeIdle(organisation) {
		if s.open == s.connections {
			s.idle = s.idle[1:]
			s.open--
		}
		s.open++
		s.dials++
		duration += s.dial
	}
	slot := 0
	for i, till := range s.busyTill {
		if till < s.busyTill[slot] {
			slot = i
		}
	}
	end := max(now, s.busyTill[slot]) + duration
	s.busyTill[slot] = end
	s.served[organisation]++
	s.servedIn[s.arrival[id]/time.Second]++
	heap.Push(&s.events, event{at: end, organisation: organisation, connection: true})
}

func (s *simulation) takeIdle(organisation int) bool {
	for i, o := range s.idle {
		if o == organisation {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			return true
		}
	}
	return false
}

func (s *simulation) result() callers {
	var c callers
	offered, served := 0, 0
	for i, n := range s.offered {
		offered, served = offered+n, served+s.served[i]
		c.organisation = append(c.organisation, float64(s.served[i])/float64(max(1, n)))
	}
	for i, n := range s.offeredIn {
		if n > 0 {
			c.windows = append(c.windows, float64(s.servedIn[i])/float64(n))
		}
	}
	c.served, c.dials = float64(served)/float64(offered), float64(s.dials)/float64(served)
	return c
}

func lowest(values []float64) float64 {
	low := math.Inf(1)
	for _, v := range values {
		low = min(low, v)
	}
	return low
}

// Guards against an upstream that spends its slots on new connections while it is
// saturated: strict turns between more organisations than connections open one for almost
// every statement. Guards also against an organisation that pays for it.
func TestSaturatedUpstreamServesMoreOnKeptConnections(t *testing.T) {
	strictTurns := func(q *Queue, _ ident.OrganisationName) { q.Release() }
	for name, l := range map[string]upstreamLoad{
		"nine VMs": {slots: 3, connections: 12, weights: []float64{6, 4, 3, 2, 2, 1, 1, 1}, perSecond: 150, work: 24 * time.Millisecond,
			dial: 12 * time.Millisecond, patience: 200 * time.Millisecond, length: 40 * time.Second},
		"few connections": {slots: 3, connections: 4, weights: []float64{6, 4, 3, 2, 2, 1, 1, 1}, perSecond: 125, work: 24 * time.Millisecond,
			dial: 12 * time.Millisecond, patience: 200 * time.Millisecond, length: 40 * time.Second},
		"short statements": {slots: 2, connections: 6, weights: []float64{8, 6, 4, 4, 2, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1}, perSecond: 220, work: 9 * time.Millisecond,
			dial: 12 * time.Millisecond, patience: 160 * time.Millisecond, length: 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				before, after := l.play(seed, strictTurns), l.play(seed, (*Queue).ReleaseFor)
				t.Logf("served %.3f -> %.3f, worst organisation %.3f -> %.3f, worst second %.3f -> %.3f, connections for a statement %.2f -> %.2f",
					before.served, after.served, lowest(before.organisation), lowest(after.organisation),
					lowest(before.windows), lowest(after.windows), before.dials, after.dials)
				assert.Assert(t, after.served > before.served, "share of the statements served")
				assert.Assert(t, lowest(after.organisation) > lowest(before.organisation), "share served of the worst organisation")
				assert.Assert(t, lowest(after.windows) > lowest(before.windows), "share served in the worst second")
				assert.Assert(t, after.dials < before.dials, "new connections for each statement")
			}
		})
	}
}

// Guards against an organisation that floods a saturated upstream and keeps its connections
// at the cost of the others: these are served no less than in strict turns, and at least
// nine tenths of what they ask for.
func TestFloodOnKeptConnectionsLeavesOthersTheirShare(t *testing.T) {
	strictTurns := func(q *Queue, _ ident.OrganisationName) { q.Release() }
	l := upstreamLoad{slots: 3, connections: 6, weights: []float64{30, 1, 1, 1, 1}, perSecond: 300, work: 24 * time.Millisecond,
		dial: 12 * time.Millisecond, patience: 200 * time.Millisecond, length: 40 * time.Second}
	for seed := range uint64(3) {
		before, after := l.play(seed, strictTurns), l.play(seed, (*Queue).ReleaseFor)
		t.Logf("others %.3f -> %.3f, all %.3f -> %.3f", lowest(before.organisation[1:]), lowest(after.organisation[1:]), before.served, after.served)
		assert.Assert(t, lowest(after.organisation[1:]) >= 0.9)
		assert.Assert(t, after.served > before.served)
	}
}
