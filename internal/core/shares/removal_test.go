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

// reaches reports whether a VM can call the platform.
func (s *sim) reaches(vm *simVM) bool { return !s.outage && !s.offPlatform[vm.member.Name] }

// list changes the platform's list, which lags, unless the VM starts or is removed
// meanwhile.
func (s *sim) list(vm *simVM, listed bool) {
	life := vm.life
	s.Schedule(s.Now+time.Duration(s.lag.Int64N(int64(5*time.Second))), func() {
		if vm.life == life {
			vm.listed = listed
		}
	})
}

// readList gives the platform's list to a VM.
func (s *sim) readList(vm *simVM) {
	if s.reaches(vm) {
		var names []ident.VMName
		for _, other := range s.vms {
			if other.listed && s.mutation != reclaimListed {
				names = append(names, other.member.Name)
			}
		}
		vm.node.WithLedger(vm.clock(s), func(l *Ledger) {
			for _, r := range l.table.Rows {
				if s.mutation == reclaimListed {
					l.listed[r.key()] = true
				}
			}
			l.SetListedVMs(names)
		})
	}
	s.on(vm, s.Now+time.Second, func() { s.readList(vm) })
}

// remove ends a VM for good; the list drops it later.
func (s *sim) remove(vm *simVM) {
	vm.life++
	vm.paused = math.MaxInt64
	s.list(vm, false)
}

// join starts a VM of a new name.
func (s *sim) join(zone ident.AvailabilityZone) *simVM {
	vm := &simVM{member: detector.Member{Name: ident.VMName(fmt.Sprint("vm-new-", len(s.vms))), Zone: zone}}
	s.vms = append(s.vms, vm)
	s.start(vm)
	return vm
}

func (s *sim) parts(vm *simVM) uint32 {
	parts, _ := vm.node.ledger.ShareUnits(vm.clock(s))
	return parts
}

// separate cuts all messages of a VM.
func (s *sim) separate(vm *simVM) {
	for _, other := range s.vms {
		s.cut[[2]ident.VMName{vm.member.Name, other.member.Name}] = true
		s.cut[[2]ident.VMName{other.member.Name, vm.member.Name}] = true
	}
}

// Guards against a VM alone in its zone that loses its parts in an outage of the
// platform, and against one that uses them after a pause longer than the lease
// before it has read the table.
func TestLoneVMKeepsItsParts(t *testing.T) {
	s := newSim(1, []int{1, 1}, 200, 200)
	s.run(15 * time.Second)
	lone := s.vms[0]
	s.outage = true
	for range 600 {
		s.run(s.Now + 100*time.Millisecond)
		assert.Equal(t, s.parts(lone), uint32(TotalShareUnits), "at %s", s.Now)
	}
	lone.paused = s.Now + LeaseDuration/2
	s.run(s.Now + LeaseDuration/2 + time.Second)
	assert.Equal(t, s.parts(lone), uint32(TotalShareUnits))
	lone.paused = s.Now + LeaseDuration + time.Second
	s.run(s.Now + 2*LeaseDuration)
	assert.Equal(t, s.parts(lone), uint32(0))
	s.outage = false
	s.run(s.Now + time.Second)
	assert.Equal(t, s.parts(lone), uint32(TotalShareUnits))
	assert.Equal(t, s.violation, "")
}

// cutOffLone runs a replacement next to a lone VM that is cut off from it and from
// the platform, and still listed.
func cutOffLone(m mutation) (s *sim, lone, replacement *simVM) {
	s = newSim(1, []int{1, 1}, 200, 200)
	s.mutation = m
	s.run(15 * time.Second)
	lone = s.vms[0]
	s.offPlatform[lone.member.Name] = true
	replacement = s.join(lone.member.Zone)
	s.separate(lone)
	s.run(s.Now + time.Minute)
	return s, lone, replacement
}

// Guards against parts of a lone VM that are taken while the platform still lists
// it, and against parts that are never recovered once it has been removed.
func TestLoneVMIsReclaimedOnlyAfterRemoval(t *testing.T) {
	s, lone, replacement := cutOffLone(none)
	assert.Equal(t, s.violation, "")
	assert.Equal(t, s.parts(lone), uint32(TotalShareUnits))
	assert.Equal(t, s.parts(replacement), uint32(0))
	s.remove(lone)
	s.run(s.Now + LeaseDuration + GuardInterval)
	assert.Equal(t, s.parts(replacement), uint32(0))
	s.run(s.Now + 15*time.Second)
	assert.Equal(t, s.parts(replacement), uint32(TotalShareUnits))
	assert.Equal(t, s.violation, "")
	s, _, _ = cutOffLone(reclaimListed)
	assert.Assert(t, s.violation != "", "the fault was not caught")
}

// Guards against parts that are never recovered when all VMs of a zone, each the
// lessor of another, are replaced under new names.
func TestPartsOfReplacedZoneAreRecovered(t *testing.T) {
	s := newSim(1, []int{2, 1}, 200, 200)
	s.run(20 * time.Second)
	replacement := s.join(s.vms[0].member.Zone)
	s.separate(replacement) // gets no gift
	s.run(s.Now + 10*time.Second)
	s.remove(s.vms[0])
	s.remove(s.vms[1])
	s.run(s.Now + time.Minute)
	assert.Equal(t, s.parts(replacement), uint32(TotalShareUnits))
	assert.Equal(t, s.violation, "")
}

// Guards against a VM that was never listed, and may only be late in the list, being
// taken for removed; a later incarnation of its name recovers its parts.
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

// Guards against a gift that names a lessor for another VM without one, which may not
// see the write and keep its parts while that lessor reclaims them.
func TestGiftNamesNoLessorOfOthers(t *testing.T) {
	l, table := zoneOf(t)
	table.Rows[1].Lessor = ""
	l.ObserveTable(0, 0, table, 6)
	l.SetPeers(0, []Peer{{"vm-2", 1, true}, {"vm-3", 1, true}})
	after, given, _ := l.gift()
	assert.Assert(t, given > 0)
	assert.DeepEqual(t, after.Rows[1], table.Rows[1])
	assert.Equal(t, after.Rows[2].Lessor, l.self)
}

// Guards against a VM that goes on without a lessor while its write that names one may
// have been stored: the lessor counts from that write.
func TestUnresolvedLessorEndsTheLease(t *testing.T) {
	l, table := zoneOf(t)
	table.Rows[0].Lessor = ""
	l.ObserveTable(0, 0, table, 6)
	write := l.Tick(0).Write
	assert.Equal(t, write.Table.Rows[0].Lessor, ident.VMName("vm-2"))
	for now := time.Duration(0); now < LeaseDuration; now += 100 * time.Millisecond {
		parts, _ := l.ShareUnits(now)
		assert.Equal(t, parts, uint32(TotalShareUnits/2))
		l.Tick(now)
		l.ObserveTable(now, now, table, 6) // read back: not yet stored
	}
	parts, _ := l.ShareUnits(LeaseDuration)
	assert.Equal(t, parts, uint32(0))
}
