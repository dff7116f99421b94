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
	if fault.Kind == CrashPrimary {
		id = f.group.PrimaryID()
	}
	hold := func() { time.Sleep(fault.For) }
	member := func(change func(m *platformtest.Member, on bool)) {
		f.group.WithMember(id, func(m *platformtest.Member) { change(m, true) })
		hold()
		f.group.WithMember(id, func(m *platformtest.Member) { change(m, false) })
	}
	disrupted := f.disruptionOf(fault.Kind, v.name, id)
	defer disrupted()
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
	case RestoreStore:
		f.restoreStore(fault)
	case RestartInOutage:
		f.restartInOutage(v)
	case LoseReports:
		f.loseReports(fault)
	case CutDuties:
		v.duties.set(modes[fault.Target%len(modes)])
		hold()
		v.duties.set(Pass)
	case Evacuate:
		f.evacuate(zones[fault.Target%len(zones)])
	case OddEntry:
		f.group.LeaveOddEntry(fault.Target, id, f.members[id].address(), fault.For)
	default:
		f.applyStop(fault)
	}
}

const (
	// maxCopyAge bounds the age of the copy from which the store comes back.
	maxCopyAge = 4 * time.Second
	// maxRewriteDelay bounds the time in which operators and upstreams write the lost changes
	// again.
	maxRewriteDelay = 300 * time.Millisecond
)

// restoreStore takes the store away and brings it back from a copy.
func (f *fleet) restoreStore(fault Fault) {
	copied := f.store.CopyAt(time.Now().Add(-(time.Duration(fault.Target) * time.Millisecond % maxCopyAge)))
	f.store.SetUnavailable(true)
	time.Sleep(fault.For)
	f.store.Restore(copied)
	f.store.SetUnavailable(false)
	time.Sleep(fault.For % maxRewriteDelay)
	f.store.Rewrite()
}

const (
	// outageRestarts is the number of restarts of a VM during an outage of the store, and
	// outageRestartInterval the time before each. The proofs of the VMs that run on become
	// older than revokeBound meanwhile.
	outageRestarts        = 3
	outageRestartInterval = 1500 * time.Millisecond
)

// restartInOutage withdraws a key, takes the store away and restarts a VM several times
// before the store returns.
func (f *fleet) restartInOutage(v *vm) {
	f.withdraw(1)
	f.store.SetUnavailable(true)
	for range outageRestarts {
		time.Sleep(outageRestartInterval)
		v.kill()
		f.restart(v)
	}
	f.store.SetUnavailable(false)
}

// evacuate requests the evacuation of a zone unless another one is evacuated.
func (f *fleet) evacuate(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.evacuated == "" {
		f.evacuated = zone
		f.store.Set("evacuations", zone, struct{}{})
	}
}

const (
	// evacuationBound is the time after which nothing may reach an evacuated zone.
	evacuationBound = 5 * time.Second
	// evacuationWatch is the time for which the evacuated zone is watched.
	evacuationWatch = time.Second
)

// watchEvacuation waits for the bound without any fault, reports statements of clients that
// reach the evacuated zone afterwards, and ends the evacuation.
func (f *fleet) watchEvacuation() {
	f.mu.Lock()
	zone := f.evacuated
	f.mu.Unlock()
	if zone == "" {
		return
	}
	time.Sleep(evacuationBound)
	from := time.Now()
	time.Sleep(evacuationWatch)
	for _, id := range f.group.MemberIDs() {
		inside := false
		f.group.WithMember(id, func(m *platformtest.Member) { inside = m.Zone == zone })
		if !inside {
			continue
		}
		for _, a := range f.group.ArrivalsAt(id, from) {
			if a.ID != "-" {
				f.history.violate("%s in evacuated zone %s received %q of %s", id, zone, a.Text, a.ID)
			}
		}
	}
	f.store.Remove("evacuations", zone)
}

func (f *fleet) restart(v *vm) {
	if err := v.start(); err != nil {
		f.history.violate("%s cannot be started: %v", v.name, err)
	}
}
