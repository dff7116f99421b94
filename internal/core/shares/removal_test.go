package shares

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// reachesPlatform reports whether the VM's calls reach the platform.
func (s *sim) reachesPlatform(vm *simVM) bool {
	return !s.platformOutage && !s.platformUnreachable[vm.member.Name]
}

// setListed changes the platform's list after a delay of up to 5 s, unless the VM is
// started or removed meanwhile.
func (s *sim) setListed(vm *simVM, listed bool) {
	incarnation := vm.incarnation
	s.Schedule(s.Now+time.Duration(s.listRng.Int64N(int64(5*time.Second))), func() {
		if vm.incarnation == incarnation {
			vm.listed = listed
		}
	})
}

// readList passes the platform's list to a VM every second.
func (s *sim) readList(vm *simVM) {
	if s.reachesPlatform(vm) {
		var names []ident.VMName
		for _, other := range s.vms {
			if other.listed && s.mutation != reclaimListedVMs {
				names = append(names, other.member.Name)
			}
		}
		vm.node.WithLedger(vm.clock(s), func(l *Ledger) {
			for _, r := range l.table.Rows {
				if s.mutation == reclaimListedVMs {
					l.listed[r.key()] = true
				}
			}
			l.SetListedVMs(names)
		})
	}
	s.schedule(vm, s.Now+time.Second, func() { s.readList(vm) })
}

// removeVM stops a VM permanently. The platform's list omits it after a delay.
func (s *sim) removeVM(vm *simVM) {
	vm.incarnation++
	vm.pausedUntil = math.MaxInt64
	s.setListed(vm, false)
}

// joinVM starts a VM with a new name.
func (s *sim) joinVM(zone ident.AvailabilityZone) *simVM {
	vm := &simVM{member: detector.Member{Name: ident.VMName(fmt.Sprint("vm-new-", len(s.vms))), Zone: zone}}
	s.vms = append(s.vms, vm)
	s.start(vm)
	return vm
}

func (s *sim) shareUnits(vm *simVM) uint32 {
	units, _ := vm.node.ledger.ShareUnits(vm.clock(s))
	return units
}

// isolate blocks all messages from and to a VM.
func (s *sim) isolate(vm *simVM) {
	for _, other := range s.vms {
		s.blocked[[2]ident.VMName{vm.member.Name, other.member.Name}] = true
		s.blocked[[2]ident.VMName{other.member.Name, vm.member.Name}] = true
	}
}

// Guards against a VM alone in its zone that loses its share units in a platform
// outage, and against one that uses them after a pause longer than the lease before
// it has read the table.
func TestVMWithoutLessorKeepsLeaseDuringOutage(t *testing.T) {
	s := newSim(1, []int{1, 1}, 200, 200)
	s.run(15 * time.Second)
	vm := s.vms[0]
	s.platformOutage = true
	for range 600 {
		s.run(s.Now + 100*time.Millisecond)
		assert.Equal(t, s.shareUnits(vm), uint32(TotalShareUnits), "at %s", s.Now)
	}
	vm.pausedUntil = s.Now + LeaseDuration/2
	s.run(s.Now + LeaseDuration/2 + time.Second)
	assert.Equal(t, s.shareUnits(vm), uint32(TotalShareUnits))
	vm.pausedUntil = s.Now + LeaseDuration + time.Second
	s.run(s.Now + 2*LeaseDuration)
	assert.Equal(t, s.shareUnits(vm), uint32(0))
	s.platformOutage = false
	s.run(s.Now + time.Second)
	assert.Equal(t, s.shareUnits(vm), uint32(TotalShareUnits))
	assert.Equal(t, s.violation, "")
}

// isolateVMWithoutLessor runs a replacement in the zone of a VM without a lessor. The
// VM is disconnected from the replacement and from the platform, and still listed.
func isolateVMWithoutLessor(m mutation) (s *sim, vm, replacement *simVM) {
	s = newSim(1, []int{1, 1}, 200, 200)
	s.mutation = m
	s.run(15 * time.Second)
	vm = s.vms[0]
	s.platformUnreachable[vm.member.Name] = true
	replacement = s.joinVM(vm.member.Zone)
	s.isolate(vm)
	s.run(s.Now + time.Minute)
	return s, vm, replacement
}

// Guards against the reclaim of a VM without a lessor while the platform still lists
// it, and against share units that are never recovered after it was removed.
func TestVMWithoutLessorIsReclaimedOnlyAfterRemoval(t *testing.T) {
	s, vm, replacement := isolateVMWithoutLessor(noMutation)
	assert.Equal(t, s.violation, "")
	assert.Equal(t, s.shareUnits(vm), uint32(TotalShareUnits))
	assert.Equal(t, s.shareUnits(replacement), uint32(0))
	s.removeVM(vm)
	s.run(s.Now + LeaseDuration + GuardInterval)
	assert.Equal(t, s.shareUnits(replacement), uint32(0))
	s.run(s.Now + 15*time.Second)
	assert.Equal(t, s.shareUnits(replacement), uint32(TotalShareUnits))
	assert.Equal(t, s.violation, "")
	s, _, _ = isolateVMWithoutLessor(reclaimListedVMs)
	assert.Assert(t, s.violation != "", "the fault was not detected")
}

// Guards against share units that are never recovered when all VMs of a zone, each
// the lessor of another, are replaced under new names.
func TestShareUnitsOfReplacedZoneAreRecovered(t *testing.T) {
	s := newSim(1, []int{2, 1}, 200, 200)
	s.run(20 * time.Second)
	replacement := s.joinVM(s.vms[0].member.Zone)
	s.isolate(replacement) // is given no share units
	s.run(s.Now + 10*time.Second)
	s.removeVM(s.vms[0])
	s.removeVM(s.vms[1])
	s.run(s.Now + time.Minute)
	assert.Equal(t, s.shareUnits(replacement), uint32(TotalShareUnits))
	assert.Equal(t, s.violation, "")
}

// Guards against a VM that was never listed, because the list is delayed, being
// treated as removed. A later incarnation of its name recovers its share units.
func TestNeverListedVMIsNotRemoved(t *testing.T) {
	l := NewLedger(0, "vm-1", 2, rand.New(rand.NewPCG(1, 1)))
	table := Table{Rows: []Row{{VM: "vm-1", Incarnation: 1, ShareUnits: TotalShareUnits / 2}, {VM: "vm-2", Incarnation: 1, ShareUnits: TotalShareUnits / 2}}}
	l.ObserveTable(0, 0, table, 5)
	l.SetListedVMs([]ident.VMName{"vm-1"})
	now := time.Minute
	l.SetPeers(now, nil)
	first, _ := l.registerTable(now)
	assert.Equal(t, first.Rows[0].Lessor, l.self)
	l.ObserveTable(now, now, first, 6)
	none, _ := l.registerTable(now)
	assert.Equal(t, len(none.Rows), 0)
	l.SetPeers(now, []Peer{{"vm-2", 2, false}})
	second, _ := l.registerTable(now)
	assert.Equal(t, second.Rows[1].Lessor, l.self)
}

// Guards against a change that gives share units away and also names a lessor for
// another VM without one. That VM may not see the write and keep its share units while
// the lessor reclaims them.
func TestGiveSetsNoLessorOfOtherVMs(t *testing.T) {
	l, table := newZoneLedger(t)
	table.Rows[1].Lessor = ""
	l.ObserveTable(0, 0, table, 6)
	l.SetPeers(0, []Peer{{"vm-2", 1, true}, {"vm-3", 1, true}})
	after, given, _ := l.giveTable()
	assert.Assert(t, given > 0)
	assert.DeepEqual(t, after.Rows[1], table.Rows[1])
	assert.Equal(t, after.Rows[2].Lessor, l.self)
}

// Guards against a VM that renews its lease without a lessor while its write that
// names one may have been stored: the lessor's term starts with that write.
func TestUnresolvedLessorChangeEndsLease(t *testing.T) {
	l, table := newZoneLedger(t)
	table.Rows[0].Lessor = ""
	l.ObserveTable(0, 0, table, 6)
	write := l.Tick(0).Write
	assert.Equal(t, write.Table.Rows[0].Lessor, ident.VMName("vm-2"))
	for now := time.Duration(0); now < LeaseDuration; now += 100 * time.Millisecond {
		units, _ := l.ShareUnits(now)
		assert.Equal(t, units, uint32(TotalShareUnits/2))
		l.Tick(now)
		l.ObserveTable(now, now, table, 6) // read back: not yet stored
	}
	parts, _ := l.ShareUnits(LeaseDuration)
	assert.Equal(t, parts, uint32(0))
}
