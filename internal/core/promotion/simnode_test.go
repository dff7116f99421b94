package promotion

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// simMember is a member of the group with its agent.
type simMember struct {
	sim           *simulation
	zone          ident.AvailabilityZone
	usable        bool
	status        group.Status
	proposer      string
	writesStopped bool // after a handover
	log           []write
}

func newSimMember(s *simulation, name ident.UpstreamName) *simMember {
	first := write{point: ident.LogPoint{Term: 1, Position: 1}}
	return &simMember{
		sim: s, zone: "z" + ident.AvailabilityZone(name), usable: true, log: []write{first},
		status: group.Status{
			Group: simGroup, Upstream: name, Term: 1, Role: group.RoleReplica, Primary: "a", Received: first.point, Applied: first.point,
		},
	}
}

func (m *simMember) node() string { return "member-" + string(m.status.Upstream) }

func (m *simMember) setLog(log []write) {
	m.log = log
	m.status.Received = log[len(log)-1].point
	m.status.Applied = m.status.Received
}

func (m *simMember) append(id int) write {
	w := write{ident.LogPoint{Term: m.status.Term, Position: ident.Position(len(m.log) + 1)}, id}
	m.setLog(append(append([]write(nil), m.log...), w))
	return w
}

// report sends the status to every VM.
func (m *simMember) report() {
	status := m.status
	for _, vm := range m.sim.vms {
		m.sim.send(m.node(), vm.name, func() { vm.status(status) })
	}
}

func (m *simMember) receiveLog(from ident.UpstreamName, term ident.Term, log []write) {
	if m.status.Term != term || m.status.Fenced || m.status.Role != group.RoleReplica || m.status.Primary != from {
		return
	}
	same := 0
	for same < len(m.log) && same < len(log) && m.log[same] == log[same] {
		same++
	}
	if same == len(log) { // an older message
		return
	}
	m.setLog(log)
	m.report()
}

func (m *simMember) fence(call Fence) Result {
	st := &m.status
	if call.Term < st.Term || call.Term == st.Term && call.Proposer != m.proposer {
		return Result{}
	}
	if call.Term > st.Term {
		st.Term, st.Role, st.Fenced, m.proposer, m.writesStopped = call.Term, group.RoleReplica, true, call.Proposer, false
		m.report()
	}
	return Result{OK: true, Status: *st}
}

func (m *simMember) promote(call Promote) Result {
	st := &m.status
	if call.Term != st.Term || call.Proposer != m.proposer {
		return Result{}
	}
	if st.Fenced {
		m.sim.checkPromotion(call.Term, st.Upstream, m.log)
		st.Role, st.Fenced, st.Primary = group.RolePrimary, false, st.Upstream
		m.append(0)
		m.report()
	}
	return Result{OK: true, Status: *st}
}

func (m *simMember) follow(call Follow) {
	st := &m.status
	if call.Term < st.Term || call.Term == st.Term && st.Role == group.RolePrimary {
		return
	}
	st.Term, st.Fenced, st.Role, st.Primary, m.writesStopped = call.Term, false, group.RoleReplica, call.Primary, false
	m.report()
}

func (m *simMember) handover(call Handover) Result {
	if call.Term != m.status.Term || m.status.Role != group.RolePrimary || m.status.Fenced {
		return Result{}
	}
	m.writesStopped = true
	return Result{OK: true, Status: m.status}
}

// simVM is a VM with its machine and its view of the group.
type simVM struct {
	sim         *simulation
	name        string
	zone        ident.AvailabilityZone
	incarnation int
	machine     *Machine
	view        *routing.View
	pending     []pendingWrite
	reads       []*pendingRead
}

type pendingWrite struct {
	primary ident.UpstreamName
	write   write
}

// start begins a new incarnation of the VM, without the state of the previous one.
func (vm *simVM) start() {
	vm.incarnation++
	random := rand.New(rand.NewPCG(vm.sim.random.Uint64(), 2))
	vm.machine = New(simGroup, VM{ident.VMName(vm.name), vm.zone}, fmt.Sprintf("%s.%d", vm.name, vm.incarnation), random)
	vm.machine.rules = vm.sim.rules
	var members []routing.Member
	for _, m := range vm.sim.members {
		members = append(members, routing.Member{Upstream: m.status.Upstream, Zone: m.zone, Usable: true})
	}
	vm.view, vm.pending, vm.reads = routing.NewView(simGroup, members), nil, nil
	vm.configure()
	vm.get()
}

func (vm *simVM) configure() {
	var members []Member
	for _, m := range vm.sim.members {
		members = append(members, Member{Upstream: m.status.Upstream, Zone: m.zone, Usable: m.usable})
	}
	var vms []VM
	for _, other := range vm.sim.vms {
		vms = append(vms, VM{ident.VMName(other.name), other.zone})
	}
	vm.machine.Configure(vm.sim.now, members, vms)
}

// inIncarnation returns a function that runs an event unless the VM has restarted
// since.
func (vm *simVM) inIncarnation(run func()) func() {
	incarnation := vm.incarnation
	return func() {
		if vm.incarnation == incarnation {
			run()
			vm.performActions()
		}
	}
}

func (vm *simVM) status(status group.Status) {
	vm.machine.Status(vm.sim.now, status)
	vm.view = vm.view.WithStatus(vm.view.MemberIndex(status.Upstream), status, vm.sim.now)
	kept := vm.pending[:0]
	for _, p := range vm.pending {
		if vm.sim.acknowledges(vm.view, p.primary, p.write.point.Term, p.write.point) {
			vm.sim.acknowledge(p.write)
		} else {
			kept = append(kept, p)
		}
	}
	vm.pending = kept
	vm.serveReads()
	vm.performActions()
}

// write runs one write of a client through this VM.
func (vm *simVM) write(id int) {
	i, ok := vm.view.WritePrimary()
	if !ok {
		return
	}
	m := vm.sim.members[i]
	vm.sim.send(vm.name, m.node(), func() {
		if m.status.Role != group.RolePrimary || m.status.Fenced || m.writesStopped {
			return
		}
		w := m.append(id)
		vm.sim.send(m.node(), vm.name, vm.inIncarnation(func() {
			vm.pending = append(vm.pending, pendingWrite{m.status.Upstream, w})
		}))
	})
}

// performActions performs the machine's actions and updates the view.
func (vm *simVM) performActions() {
	vm.sim.outcomes = append(vm.sim.outcomes, vm.machine.TakeOutcomes()...)
	r := vm.machine.record
	vm.view = vm.view.WithRecord(routing.Record{Term: r.Term, Serving: r.State != Fencing, Primary: r.Primary}).WithWritesPaused(vm.machine.HoldsWrites())
	for _, action := range vm.machine.TakeActions() {
		switch a := action.(type) {
		case Get:
			vm.get()
		case Put:
			vm.put(a)
		case Fence:
			vm.member(a.Upstream, func(m *simMember) Result { return m.fence(a) }, func(r Result) { vm.machine.Fenced(vm.sim.now, a, r) })
		case Promote:
			vm.member(a.Upstream, func(m *simMember) Result { return m.promote(a) }, func(r Result) { vm.machine.Promoted(vm.sim.now, a, r) })
		case Handover:
			vm.member(a.Upstream, func(m *simMember) Result { return m.handover(a) }, func(r Result) { vm.machine.HandedOver(vm.sim.now, a, r) })
		case Follow:
			vm.member(a.Upstream, func(m *simMember) Result { m.follow(a); return Result{} }, func(Result) {})
		default:
			vm.sendToPeers(action)
		}
	}
}

func (vm *simVM) sendToPeers(action any) {
	now := func() time.Duration { return vm.sim.now }
	from := ident.VMName(vm.name)
	for _, other := range vm.sim.vms {
		deliver := func(run func(*Machine)) {
			vm.sim.send(vm.name, other.name, other.inIncarnation(func() { run(other.machine) }))
		}
		switch a := action.(type) {
		case RequestConfirmation:
			if other.name == string(a.To) {
				deliver(func(m *Machine) { m.ConfirmationRequest(now(), from, a.Request) })
			}
		case Respond:
			if other.name == string(a.To) {
				deliver(func(m *Machine) { m.ConfirmationResponse(now(), from, a.Response) })
			}
		case Announce:
			deliver(func(m *Machine) { m.Object(now(), a.Version, a.Record) })
		}
	}
}

func (vm *simVM) member(name ident.UpstreamName, serve func(*simMember) Result, done func(Result)) {
	m := vm.sim.members[vm.view.MemberIndex(name)]
	var r Result
	vm.sim.call(vm.name, m.node(), func() { r = serve(m) }, func(responded bool) {
		if !responded {
			r = Result{}
		}
		result := r
		vm.inIncarnation(func() { done(result) })()
	})
}

func (vm *simVM) get() {
	s := vm.sim
	var version objectapi.Version
	var record Record
	failed := false
	s.call(vm.name, "platform", func() { version, record, failed = s.version, s.object, s.outage }, func(responded bool) {
		vm.inIncarnation(func() { vm.machine.GetDone(s.now, responded && !failed, version, record) })()
	})
}

func (vm *simVM) put(a Put) {
	s := vm.sim
	outcome, version, record := PutUnknown, objectapi.Version(0), Record{}
	serve := func() {
		if s.outage {
			outcome = PutUnknown
			return
		}
		outcome = PutConflict
		if s.version == a.IfVersion {
			s.version, s.object, outcome = s.version+1, a.Record, PutAccepted
		}
		version, record = s.version, s.object
	}
	s.call(vm.name, "platform", serve, func(responded bool) {
		if !responded {
			vm.inIncarnation(func() { vm.machine.PutDone(s.now, a.Record.Writer, PutUnknown, 0, Record{}) })()
			return
		}
		vm.inIncarnation(func() { vm.machine.PutDone(s.now, a.Record.Writer, outcome, version, record) })()
	})
}
