package promotion

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// pendingRead is a strict read that has its read index and waits for a member.
type pendingRead struct {
	acked int // number of writes acknowledged when the read arrived
	point ident.LogPoint
}

// read runs a strict read of a client through this VM.
func (vm *simVM) read() {
	s := vm.sim
	r := &pendingRead{acked: len(s.acked)}
	if s.indexFromStreams {
		for i := range vm.view.Observations {
			if p := vm.view.Observations[i].Status.Received; p.Compare(r.point) > 0 {
				r.point = p
			}
		}
		vm.reads = append(vm.reads, r)
		vm.serveReads()
		return
	}
	round := routing.NewReadIndexRound(len(s.members))
	for i, m := range s.members {
		var status group.Status
		s.call(vm.name, m.node(), func() { status = m.status }, func(responded bool) {
			vm.inIncarnation(func() {
				if !responded || round.Done() || !round.AddResponse(i, status.Received) {
					return
				}
				r.point = round.Point()
				vm.reads = append(vm.reads, r)
				vm.serveReads()
			})()
		})
	}
}

// serveReads sends each pending read to a member that has reached its read index.
func (vm *simVM) serveReads() {
	kept := vm.reads[:0]
	for _, r := range vm.reads {
		i := vm.view.SelectReplica(routing.Requirement{MinApplied: r.point}, routing.Location{Zone: vm.zone}, nil, 0, vm.sim.now)
		if i < 0 {
			if p, ok := vm.view.ReadPrimaryAt(r.point); ok {
				i = p
			}
		}
		if i < 0 {
			kept = append(kept, r)
			continue
		}
		m := vm.sim.members[i]
		vm.sim.send(vm.name, m.node(), func() { vm.sim.checkRead(m, r) })
	}
	vm.reads = kept
}

// checkRead checks that a read sees every write acknowledged before it.
func (s *simulation) checkRead(m *simMember, r *pendingRead) {
	s.readsServed++
	for _, w := range s.acked[:r.acked] {
		if i := int(w.point.Position) - 1; i >= len(m.log) || m.log[i] != w {
			s.fail("a read at %s on %s misses acknowledged write %s", r.point, m.status.Upstream, w.point)
		}
	}
}

// settle ends all faults and checks that the group serves writes and reads again.
func (s *simulation) settle() {
	s.heal()
	s.advance(20 * time.Second)
	acked, served := len(s.acked), s.readsServed
	for i, vm := range s.vms {
		vm.write(-1 - i)
		vm.read()
	}
	s.advance(time.Second)
	if s.failure == nil && (len(s.acked) < acked+len(s.vms) || s.readsServed < served+len(s.vms)) {
		s.fail("%d writes and %d reads of %d each done after all faults ended", len(s.acked)-acked, s.readsServed-served, len(s.vms))
	}
	for _, vm := range s.vms {
		if s.failure == nil && len(vm.reads) > 0 {
			s.fail("a read at %s never completes", vm.reads[0].point)
		}
	}
}
