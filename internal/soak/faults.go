package soak

import (
	"strconv"
	"strings"
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
	case Evacuate:
		f.evacuate(zones[fault.Target%len(zones)])
	case OddEntry:
		f.leaveOddEntry(fault, id)
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

// soundEntry is the value of a registration that could be a member's.
const soundEntry = `{"upstream":"g1","addr":"127.0.0.1:9","zone":"a","capacity":2,"state":"ready","warmup_ms":0,"db_role":"primary","seq":1,"born":17}`

// oddEntries are the values that another writer leaves.
var oddEntries = []string{
	strings.Repeat("[", 20000) + strings.Repeat("]", 20000), `{"upstream":"g`, "\xff\x00{[", "null", `{"upstream":["g1"],"addr":7}`,
	strings.Replace(soundEntry, "127.0.0.1:9", "127.0.0.1:99999", 1), strings.Replace(soundEntry, ":2", ":1e300", 1),
	strings.Replace(soundEntry, ":17", ":1e400", 1), strings.Replace(soundEntry, ":0,", ":1e12,", 1),
}

// oddMeta is the metadata of an entry whose name cannot be read.
const oddMeta = `{"name":["x"],"revision":"y"}`

// leaveOddEntry leaves an entry until the end of the run. A member whose entry it replaces
// writes its own again after the time of the fault.
func (f *fleet) leaveOddEntry(fault Fault, member string) {
	value := []byte(oddEntries[fault.Target%len(oddEntries)])
	switch name := "odd-" + strconv.Itoa(fault.Target); fault.Target % 4 {
	case 0:
		f.store.SetRaw("servers", member, nil, value)
		time.Sleep(fault.For)
		f.group.SetAddress(member, f.members[member].address())
	case 1:
		f.store.SetRaw("evacuations", name, nil, value)
	case 2:
		f.store.SetRaw("servers", name, []byte(oddMeta), value)
	default:
		f.store.SetRaw("servers", name, nil, value)
	}
}

func (f *fleet) restart(v *vm) {
	if err := v.start(); err != nil {
		f.history.violate("%s cannot be started: %v", v.name, err)
	}
}
