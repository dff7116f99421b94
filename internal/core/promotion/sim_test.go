package promotion

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

const simGroup = ident.GroupName("g")

// simulation runs three members, the platform's object and the machines of three
// VMs over a network that loses, duplicates and reorders messages. It checks on
// every promotion and acknowledgement that no acknowledged write is lost.
type simulation struct {
	random   *rand.Rand
	now      time.Duration
	queue    eventQueue
	sequence int

	members []*simMember
	vms     []*simVM
	object  Record
	version objectapi.Version
	outage  bool
	cut     map[[2]string]bool
	paused  map[string][]func() // deliveries that are deferred until the node resumes
	dead    map[string]bool     // nodes that refuse connections
	loss    int                 // percent

	// Rules that the mutation checks replace.
	rules            rules
	indexFromStreams bool
	acknowledges     func(*routing.View, ident.UpstreamName, ident.Term, ident.LogPoint) bool

	promoted    map[ident.Term]promotedLog
	acked       []write
	readsServed int
	outcomes    []Outcome
	failure     error
}

type promotedLog struct {
	member ident.UpstreamName
	log    []write
}

// write is a log entry.
type write struct {
	point ident.LogPoint
	id    int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, paused: map[string][]func(){}, loss: 5, dead: map[string]bool{},
		promoted: map[ident.Term]promotedLog{}, acknowledges: (*routing.View).Confirms,
		rules: New(simGroup, VM{}, "", nil).rules,
	}
	for _, name := range []ident.UpstreamName{"a", "b", "c"} {
		s.members = append(s.members, newSimMember(s, name))
	}
	s.members[0].status.Role = "primary"
	s.promoted[1] = promotedLog{member: "a", log: s.members[0].log}
	for i := range 3 {
		s.vms = append(s.vms, &simVM{sim: s, name: fmt.Sprintf("vm%d", i+1), zone: s.members[i].zone})
	}
	for _, vm := range s.vms {
		vm.start()
	}
	s.every(10*time.Millisecond, s.replicate)
	s.every(100*time.Millisecond, s.heartbeat)
	s.every(50*time.Millisecond, s.refuse)
	s.every(20*time.Millisecond, s.tick)
	s.every(300*time.Millisecond, s.poll)
	s.advance(300 * time.Millisecond)
	return s
}

func (s *simulation) at(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{s.now + delay, s.sequence, run})
}

func (s *simulation) every(period time.Duration, run func()) {
	s.at(period, func() { run(); s.every(period, run) })
}

// advance runs all events of the next d.
func (s *simulation) advance(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end && s.failure == nil {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// send delivers a message after a random delay; it may lose or duplicate the message.
func (s *simulation) send(from, to string, run func()) {
	if _, paused := s.paused[from]; paused || s.dead[from] {
		return
	}
	for range 1 + s.random.IntN(10)/9 {
		if s.random.IntN(100) < s.loss {
			continue
		}
		s.at(time.Duration(1+s.random.IntN(15))*time.Millisecond, func() {
			if !s.partitioned(from, to) {
				s.deliver(to, run)
			}
		})
	}
}

func (s *simulation) partitioned(a, b string) bool {
	return s.cut[[2]string{a, b}] || s.cut[[2]string{b, a}]
}

func (s *simulation) deliver(to string, run func()) {
	if s.dead[to] {
		return
	}
	if deferred, paused := s.paused[to]; paused {
		s.paused[to] = append(deferred, run)
		return
	}
	run()
}

// call sends a request and its response. done is called with true when the response
// arrives, and with false after 300 ms.
func (s *simulation) call(from, to string, serve func(), done func(responded bool)) {
	s.send(from, to, func() {
		serve()
		s.send(to, from, func() { done(true) })
	})
	s.at(300*time.Millisecond, func() { s.deliver(from, func() { done(false) }) })
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = fmt.Errorf("%s: "+format, append([]any{s.now}, args...)...)
	}
}

// checkPromotion checks that a term has one primary and that the primary holds every
// acknowledged write of older terms.
func (s *simulation) checkPromotion(term ident.Term, member ident.UpstreamName, log []write) {
	if p, ok := s.promoted[term]; ok && p.member != member {
		s.fail("term %d has the primaries %s and %s", term, p.member, member)
	}
	s.promoted[term] = promotedLog{member, append([]write(nil), log...)}
	for _, w := range s.acked {
		s.checkContains(term, w)
	}
}

// acknowledge records an acknowledged write and checks that every newer primary holds
// it, which fails if an old primary acknowledges writes.
func (s *simulation) acknowledge(w write) {
	s.acked = append(s.acked, w)
	for term := range s.promoted {
		s.checkContains(term, w)
	}
}

func (s *simulation) checkContains(term ident.Term, w write) {
	log := s.promoted[term].log
	if i := int(w.point.Position) - 1; term > w.point.Term && (i >= len(log) || log[i] != w) {
		s.fail("primary %s of term %d lacks acknowledged write %s", s.promoted[term].member, term, w.point)
	}
}

func (s *simulation) replicate() {
	for _, from := range s.members {
		if from.status.Role != "primary" || from.status.Fenced {
			continue
		}
		for _, to := range s.members {
			if to != from {
				term, log := from.status.Term, append([]write(nil), from.log...)
				s.send(from.node(), to.node(), func() { to.receiveLog(from.status.Upstream, term, log) })
			}
		}
	}
}

func (s *simulation) heartbeat() {
	for _, m := range s.members {
		m.report()
	}
}

// refuse reports refused connections to the VMs that reconnect to dead members.
func (s *simulation) refuse() {
	for _, m := range s.members {
		if !s.dead[m.node()] {
			continue
		}
		for _, vm := range s.vms {
			if !s.partitioned(vm.name, m.node()) {
				s.send(vm.name, vm.name, vm.inIncarnation(func() { vm.machine.Refused(s.now, m.status.Upstream) }))
			}
		}
	}
}

func (s *simulation) tick() {
	for _, vm := range s.vms {
		if _, paused := s.paused[vm.name]; !paused {
			vm.machine.Tick(s.now)
			vm.performActions()
		}
	}
}

func (s *simulation) poll() {
	for _, vm := range s.vms {
		vm.get()
	}
}

// heal ends every fault.
func (s *simulation) heal() {
	s.cut, s.loss, s.outage, s.dead = map[[2]string]bool{}, 0, false, map[string]bool{}
	for _, m := range s.members {
		s.resume(m.node())
		m.usable = true
	}
	for _, vm := range s.vms {
		s.resume(vm.name)
	}
	s.configure()
}

func (s *simulation) pause(node string) {
	if _, paused := s.paused[node]; !paused {
		s.paused[node] = []func(){}
	}
}

func (s *simulation) resume(node string) {
	deferred := s.paused[node]
	delete(s.paused, node)
	for _, run := range deferred {
		run()
	}
}

func (s *simulation) configure() {
	for _, vm := range s.vms {
		vm.configure()
	}
}
