package shareunits

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// store holds the table with conditional updates.
type store struct {
	table   Table
	version uint64
}

func (s *store) put(t Table, base uint64) bool {
	if base != s.version {
		return false
	}
	s.table, s.version = t, s.version+1
	return true
}

// delayedWrite is a write without a response that may be stored later.
type delayedWrite struct {
	table       Table
	baseVersion uint64
}

type world struct {
	now           time.Duration
	store         store
	holders       []*Holder
	dead          []bool
	isolated      []bool // runs, but the others see it as gone
	notServing    []bool
	delayedWrites []delayedWrite
}

func key(i int) Key {
	return Key{VM: ident.VMName(fmt.Sprintf("vm-%d", i)), Address: fmt.Sprintf("10.0.0.%d", i)}
}

func newWorld(n int) *world {
	w := &world{now: time.Second, dead: make([]bool, n), isolated: make([]bool, n), notServing: make([]bool, n)}
	for i := range n {
		w.holders = append(w.holders, NewHolder(key(i)))
	}
	return w
}

// usableShareUnits returns the share units that all VMs together may use now. A dead VM
// uses none.
func (w *world) usableShareUnits() uint64 {
	sum := uint64(0)
	for i, h := range w.holders {
		if n, until := h.ShareUnits(); !w.dead[i] && w.now < until {
			sum += uint64(n)
		}
	}
	return sum
}

func (w *world) read(i int) {
	if w.holders[i].ReadDue(w.now, 0) {
		w.holders[i].ObserveTable(w.now, w.now, w.store.table, w.store.version)
	}
}

func (w *world) write(i int, responseLost, delayed bool) {
	alive := func(k Key) bool {
		for j := range w.holders {
			if key(j) == k {
				return !w.dead[j] && !w.isolated[j]
			}
		}
		return false
	}
	w.holders[i].SetServing(w.now, !w.notServing[i])
	var serving []Key
	for j := range w.holders {
		if !w.notServing[j] && !w.dead[j] {
			serving = append(serving, key(j))
		}
	}
	t, base, ok := w.holders[i].NextWrite(w.now, View{Alive: alive, Serving: serving, Coordinator: w.isCoordinator(i)})
	if !ok {
		return
	}
	switch {
	case delayed:
		w.delayedWrites = append(w.delayedWrites, delayedWrite{t, base})
		w.holders[i].MarkUncertain()
	case !w.store.put(t, base) || responseLost:
		w.holders[i].MarkUncertain()
	default:
		w.holders[i].ObserveTable(w.now, w.now, t, w.store.version)
	}
}

func (w *world) isCoordinator(i int) bool {
	for j := range i {
		if !w.dead[j] {
			return false
		}
	}
	return true
}

// relay passes the version and age of the read of one VM to another. The response may
// be delayed.
func (w *world) relay(from, to int, delay time.Duration) {
	sentAt := w.now
	readAt, version := w.holders[from].LastRead()
	age := w.now - readAt
	w.now += delay
	w.holders[to].ObserveRelayed(sentAt, version, age)
}

// runWithout steps all live VMs but one every second for a duration.
func (w *world) runWithout(but int, d time.Duration) {
	for end := w.now + d; w.now < end; w.now += time.Second {
		for i := range w.holders {
			if i != but && !w.dead[i] {
				w.read(i)
				w.write(i, false, false)
			}
		}
	}
}

// run steps all live VMs every 200 ms for a duration.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 200 * time.Millisecond {
		for i := range w.holders {
			if !w.dead[i] {
				w.read(i)
				w.write(i, false, false)
			}
		}
	}
}

// Guards against share units in use by two VMs at once while VMs die, restart, are seen
// as gone, lose responses and have writes stored late, in any order.
func TestUsableShareUnitsNeverExceedTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "vms")
		w := newWorld(n)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "vm")
			switch rapid.IntRange(0, 13).Draw(t, "step") {
			case 13:
				w.notServing[i] = !w.notServing[i]
			case 12:
				if j := rapid.IntRange(0, n-1).Draw(t, "to"); j != i && !w.dead[i] && !w.dead[j] {
					w.relay(i, j, time.Duration(rapid.IntRange(0, 9000).Draw(t, "delay ms"))*time.Millisecond)
				}
			case 10:
				w.isolated[i] = !w.isolated[i]
			case 11:
				w.runWithout(i, time.Duration(rapid.IntRange(5, 20).Draw(t, "quiet s"))*time.Second)
			case 0, 1, 2:
				w.now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			case 3, 4:
				if !w.dead[i] {
					w.read(i)
				}
			case 5, 6, 7:
				if !w.dead[i] {
					w.write(i, rapid.IntRange(0, 4).Draw(t, "lost") == 0, rapid.IntRange(0, 6).Draw(t, "late") == 0)
				}
			case 8:
				w.dead[i] = !w.dead[i]
				w.holders[i] = NewHolder(key(i))
			case 9:
				if len(w.delayedWrites) > 0 {
					w.store.put(w.delayedWrites[0].table, w.delayedWrites[0].baseVersion)
					w.delayedWrites = w.delayedWrites[1:]
				}
			}
			if used := w.usableShareUnits(); used > Total {
				t.Fatalf("%d share units of %d in use at %v: %+v", used, Total, w.now, w.store.table)
			}
		}
	})
}

// Guards against VMs that get no share units, and against share units of a dead VM that
// are never reclaimed.
func TestSharesBecomeEqualAndAreReclaimed(t *testing.T) {
	w := newWorld(3)
	share := func(i int) float64 {
		n, _ := w.holders[i].ShareUnits()
		return float64(n) / Total
	}
	w.run(20 * time.Second)
	for i := range w.holders {
		assert.Assert(t, share(i) > 0.32 && share(i) < 0.35, "VM %d has %v", i, share(i))
	}
	w.dead[2] = true
	w.run(revokeAfter + LeaseDuration + GuardInterval + 20*time.Second)
	assert.Assert(t, share(0) > 0.49 && share(1) > 0.49, "%v %v", share(0), share(1))
	w.dead[2], w.holders[2] = false, NewHolder(key(2))
	w.run(servingSettleTime + 20*time.Second) // it adds a row after servingSettleTime
	assert.Assert(t, share(2) > 0.32, "%v", share(2))
}

// Guards against share units that stay with a VM that no longer serves, against a
// serving VM without share units, and against share units that are lost in the change.
func TestShareUnitsMoveToServingVMs(t *testing.T) {
	w := newWorld(4)
	w.notServing[3] = true
	w.run(time.Second)
	assert.Equal(t, len(w.store.table.Rows), 3)
	assert.Equal(t, w.store.version, uint64(1), "the coordinator writes the rows of all")
	w.notServing[0], w.notServing[3] = true, false
	w.run(servingSettleTime + 15*time.Second)
	assert.Equal(t, len(w.store.table.Rows), 3, "%+v", w.store.table)
	_, kept := w.store.table.find(key(0))
	assert.Assert(t, !kept)
	assert.Assert(t, w.usableShareUnits() > Total-Total/100, "%d of %d share units in use", w.usableShareUnits(), Total)
}

// Guards against a VM that removes its row when it does not serve for a short time, and
// against one that adds a row while another VM restarts.
func TestShortChangesOfServingMoveNoShareUnits(t *testing.T) {
	w := newWorld(3)
	w.notServing[2] = true
	w.run(20 * time.Second)
	version := w.store.version
	w.notServing[0], w.notServing[2] = true, false
	w.run(servingSettleTime - time.Second)
	w.notServing[0], w.notServing[2] = false, true
	w.run(20 * time.Second)
	assert.Equal(t, w.store.version, version)
}

// Guards against reads of the table by every VM that starts, and against share units that
// stay with a VM that restarted and no longer serves. It does not know of its row.
func TestRowOfVMThatDoesNotServeIsRevoked(t *testing.T) {
	w := newWorld(3)
	w.run(20 * time.Second)
	w.holders[2], w.notServing[2] = NewHolder(key(2)), true
	assert.Assert(t, !w.holders[2].ReadDue(w.now, 0))
	w.run(revokeAfter + LeaseDuration + GuardInterval + 20*time.Second)
	_, kept := w.store.table.find(key(2))
	assert.Assert(t, !kept, "%+v", w.store.table)
	assert.Assert(t, w.usableShareUnits() > Total-Total/100, "%d of %d share units in use", w.usableShareUnits(), Total)
}

// Guards against a VM that stays without share units after a restart of the whole
// fleet: it takes over its row with the first read.
func TestRestartedVMKeepsRow(t *testing.T) {
	h := NewHolder(key(1))
	h.ObserveTable(time.Second, time.Second, Table{Rows: []Row{{Key: key(1), ShareUnits: 1000}}}, 7)
	n, until := h.ShareUnits()
	assert.Equal(t, n, uint32(1000))
	assert.Equal(t, until, time.Second+LeaseDuration)
}

// Guards against a table whose rows hold more than Total share units.
func TestInvalidTableIsRejected(t *testing.T) {
	h := NewHolder(key(1))
	assert.Assert(t, !h.ObserveTable(0, 0, Table{Rows: []Row{{Key: key(1), ShareUnits: Total}, {Key: key(2), ShareUnits: 1}}}, 7))
}

// Guards against a write of a former incarnation that is stored late and frees share
// units that the present incarnation continues to use.
func TestDelayedWriteOfFormerIncarnation(t *testing.T) {
	w := newWorld(2)
	w.store = store{Table{Rows: []Row{{Key: key(0), ShareUnits: Total}, {Key: key(1)}}}, 5}
	for range 2 { // the second write comes after the loans have ended
		w.read(0)
		w.now += 3 * time.Second
		w.write(0, false, len(w.delayedWrites) == 0)
	}
	assert.Assert(t, len(w.delayedWrites) > 0, "VM 0 gives half of its share units away, and the write has no response")
	w.holders[0] = NewHolder(key(0))
	w.read(0)
	w.write(0, false, false)
	for _, late := range w.delayedWrites {
		w.store.put(late.table, late.baseVersion)
	}
	w.now += time.Second
	for range 4 {
		w.read(1)
		w.write(1, false, false)
		w.now += 200 * time.Millisecond
	}
	assert.Assert(t, w.usableShareUnits() <= Total, "%d of %d share units in use", w.usableShareUnits(), Total)
}

// Guards against a lease that counts from the start of the process because the read that
// another VM reports is older than that.
func TestRelayedReadBeforeStartExtendsNoLease(t *testing.T) {
	h := NewHolder(key(0))
	table := Table{Writer: "w", Rows: []Row{{Key: key(0), ShareUnits: 1}}}
	h.ObserveRelayed(time.Second, 7, 10*time.Second)
	_, until := h.ShareUnits()
	assert.Equal(t, until, time.Duration(0), "the table has not been read")
	assert.Assert(t, h.ObserveTable(2*time.Second, time.Second, table, 7))
	h.ObserveRelayed(2*time.Second, 7, 10*time.Second)
	_, until = h.ShareUnits()
	assert.Equal(t, until, time.Second+LeaseDuration)
}

// Guards against a VM that does not read the table because another one, which has just
// started and has not read it either, seems to know that there is none.
func TestVMThatHasNotReadTheTableProvesNothing(t *testing.T) {
	reader, started := NewHolder(key(0)), NewHolder(key(1))
	reader.SetServing(0, true)
	assert.Assert(t, reader.ObserveTable(time.Second, time.Second, Table{}, 0))
	now := time.Second + ReadInterval
	assert.Assert(t, reader.ReadDue(now, 0))
	uptime := 100 * time.Millisecond
	readAt, version := started.LastRead()
	reader.ObserveRelayed(now, version, uptime-readAt)
	assert.Assert(t, reader.ReadDue(now, 0))
}
