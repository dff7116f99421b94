package soak

import (
	"sync"
	"syscall"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// inject plays the plan and returns when the last fault has ended.
func (f *fleet) inject(plan []Fault) {
	started := time.Now()
	var running sync.WaitGroup
	for _, fault := range plan {
		time.Sleep(time.Until(started.Add(fault.At)))
		running.Go(func() { f.apply(fault) })
	}
	running.Wait()
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT, false)
		if err := v.start(); err != nil {
			f.history.violate("%s cannot be started: %v", v.name, err)
		}
	}
}

func (f *fleet) apply(fault Fault) {
	v := f.vms[fault.Target%len(f.vms)]
	ids := f.group.MemberIDs()
	id := ids[fault.Target%len(ids)]
	hold := func() { time.Sleep(fault.For) }
	member := func(change func(m *platformtest.Member, on bool)) {
		f.group.WithMember(id, func(m *platformtest.Member) { change(m, true) })
		hold()
		f.group.WithMember(id, func(m *platformtest.Member) { change(m, false) })
	}
	switch fault.Kind {
	case KillVM:
		v.kill()
		hold()
		f.restart(v)
	case StopVM:
		v.stop()
		f.restart(v)
	case PauseVM:
		v.signal(syscall.SIGSTOP, false)
		hold()
		v.signal(syscall.SIGCONT, false)
	case KillAll:
		for _, v := range f.vms {
			v.kill()
		}
		time.Sleep(fault.For / 4)
		for _, v := range f.vms {
			f.restart(v)
		}
	case StoreDown:
		f.store.SetUnavailable(true)
		hold()
		f.store.SetUnavailable(false)
	case StoreLoses:
		f.store.DropResponses(1 + fault.Target%5)
	case StoreForgets:
		f.store.DropHistory()
	case CutStore:
		v.store.set(fault.Mode)
		hold()
		v.store.set(Pass)
	case CutUpstream:
		f.members[id].set(fault.Mode)
		hold()
		f.members[id].set(Pass)
	case CrashPrimary:
		id = f.group.PrimaryID()
		member((*platformtest.Member).SetDown)
	case CrashUpstream:
		member((*platformtest.Member).SetDown)
	case DeafReplica:
		member((*platformtest.Member).SetReplicationStopped)
	case LagReplica:
		member((*platformtest.Member).SetLagging)
	case LoseAnswers:
		f.group.WithMember(id, func(m *platformtest.Member) { m.DropResponses(1 + fault.Target%4) })
	case LosePromotion:
		f.duties.DropRequests(1)
	case Reconfigure:
		f.withdraw(0)
	case WithdrawKey:
		f.withdraw(1)
	}
}

func (f *fleet) restart(v *vm) {
	if err := v.start(); err != nil {
		f.history.violate("%s cannot be started: %v", v.name, err)
	}
}
