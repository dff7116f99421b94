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

// store is the table's object with conditional updates.
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

// lateWrite is a write without an answer that may be stored later.
type lateWrite struct {
	table Table
	base  uint64
}

type world struct {
	now     time.Duration
	store   store
	holders []*Holder
	dead    []bool
	cut     []bool // lives, but the others see it as gone
	plain   []bool // does not serve
	late    []lateWrite
}

func key(i int) Key {
	return Key{VM: ident.VMName(fmt.Sprintf("vm-%d", i)), Address: fmt.Sprintf("10.0.0.%d", i)}
}

func newWorld(n int) *world {
	w := &world{now: time.Second, dead: make([]bool, n), cut: make([]bool, n), plain: make([]bool, n)}
	for i := range n {
		w.holders = append(w.holders, NewHolder(key(i)))
	}
	return w
}

// usable returns the parts that all VMs together may use now. A dead VM uses none.
func (w *world) usable() uint64 {
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

func (w *world) write(i int, lost, late bool) {
	alive := func(k Key) bool {
		for j := range w.holders {
			if key(j) == k {
				return !w.dead[j] && !w.cut[j]
			}
		}
		return false
	}
	w.holders[i].SetServing(w.now, !w.plain[i])
	var serving []Key
	for j := range w.holders {
		if !w.plain[j] && !w.dead[j] {
			serving = append(serving, key(j))
		}
	}
	t, base, ok := w.holders[i].NextWrite(w.now, View{Alive: alive, Serving: serving, Coordinator: w.first(i)})
	if !ok {
		return
	}
	switch {
	case late:
		w.late = append(w.late, lateWrite{t, base})
		w.holders[i].MarkUncertain()
	case !w.store.put(t, base) || lost:
		w.holders[i].MarkUncertain()
	default:
		w.holders[i].ObserveTable(w.now, w.now, t, w.store.version)
	}
}

func (w *world) first(i int) bool {
	for j := range i {
		if !w.dead[j] {
			return false
		}
	}
	return true
}

// relay lets one VM tell another what it has read; the answer may be delayed.
func (w *world) relay(from, to int, delay time.Duration) {
	asked := w.now
	readAt, version := w.holders[from].LastRead()
	age := w.now - readAt
	w.now += delay
	w.holders[to].ObserveRelayed(asked, version, age)
}

// quiet lets all VMs but one work for a while.
func (w *world) quiet(but int, d time.Duration) {
	for end := w.now + d; w.now < end; w.now += time.Second {
		for i := range w.holders {
			if i != but && !w.dead[i] {
				w.read(i)
				w.write(i, false, false)
			}
		}
	}
}

// run lets all VMs that live work every 200 ms for a while.
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

// Guards against rates that are spent twice: VMs die, restart, lose answers, and
// have writes stored late, in any order. All VMs together never use more than all
// parts.
func TestPartsNeverAddUpToMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "vms")
		w := newWorld(n)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "vm")
			switch rapid.IntRange(0, 13).Draw(t, "step") {
			case 13:
				w.plain[i] = !w.plain[i]
			case 12:
				if j := rapid.IntRange(0, n-1).Draw(t, "to"); j != i && !w.dead[i] && !w.dead[j] {
					w.relay(i, j, time.Duration(rapid.IntRange(0, 9000).Draw(t, "delay ms"))*time.Millisecond)
				}
			case 10:
				w.cut[i] = !w.cut[i]
			case 11:
				w.quiet(i, time.Duration(rapid.IntRange(5, 20).Draw(t, "quiet s"))*time.Second)
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
				if len(w.late) > 0 {
					w.store.put(w.late[0].table, w.late[0].base)
					w.late = w.late[1:]
				}
			}
			if used := w.usable(); used > Total {
				t.Fatalf("%d parts of %d in use at %v: %+v", used, Total, w.now, w.store.table)
			}
		}
	})
}

// Guards against VMs without parts, and against parts of a dead VM that never return.
func TestPartsSettleEquallyAndReturn(t *testing.T) {
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
	w.run(goneAfter + LeaseDuration + GuardInterval + 20*time.Second)
	assert.Assert(t, share(0) > 0.49 && share(1) > 0.49, "%v %v", share(0), share(1))
	w.dead[2], w.holders[2] = false, NewHolder(key(2))
	w.run(servingFor + 20*time.Second) // it takes a row once it has served for servingFor
	assert.Assert(t, share(2) > 0.32, "%v", share(2))
}

// Guards against parts that stay with a VM that does not serve any more, against a
// serving VM without parts, and against rates that are lost meanwhile.
func TestPartsFollowTheServingVMs(t *testing.T) {
	w := newWorld(4)
	w.plain[3] = true
	w.run(time.Second)
	assert.Equal(t, len(w.store.table.Rows), 3)
	assert.Equal(t, w.store.version, uint64(1), "the first VM writes the rows of all")
	w.plain[0], w.plain[3] = true, false
	w.run(servingFor + 15*time.Second)
	assert.Equal(t, len(w.store.table.Rows), 3, "%+v", w.store.table)
	_, kept := w.store.table.find(key(0))
	assert.Assert(t, !kept)
	assert.Assert(t, w.usable() > Total-Total/100, "%d of %d parts in use", w.usable(), Total)
}

// Guards against a VM that gives its row up for a short time without service, and
// against one that takes a row for the time of another one's restart.
func TestShortChangesMoveNoParts(t *testing.T) {
	w := newWorld(3)
	w.plain[2] = true
	w.run(20 * time.Second)
	version := w.store.version
	w.plain[0], w.plain[2] = true, false
	w.run(servingFor - time.Second)
	w.plain[0], w.plain[2] = false, true
	w.run(20 * time.Second)
	assert.Equal(t, w.store.version, version)
}

// Guards against a VM that stays without parts after a restart of the whole fleet:
// its row is its own again with the first reading.
func TestRestartTakesTheRowOver(t *testing.T) {
	h := NewHolder(key(1))
	h.ObserveTable(time.Second, time.Second, Table{Rows: []Row{{Key: key(1), ShareUnits: 1000}}}, 7)
	n, until := h.ShareUnits()
	assert.Equal(t, n, uint32(1000))
	assert.Equal(t, until, time.Second+LeaseDuration)
}

// Guards against a table whose rows hold more than all parts.
func TestInvalidTableIsRefused(t *testing.T) {
	h := NewHolder(key(1))
	assert.Assert(t, !h.ObserveTable(0, 0, Table{Rows: []Row{{Key: key(1), ShareUnits: Total}, {Key: key(2), ShareUnits: 1}}}, 7))
}

// Guards against a write of a former life that is stored late: it frees parts that
// the present life would go on using.
func TestLateWriteOfAFormerLife(t *testing.T) {
	w := newWorld(2)
	w.store = store{Table{Rows: []Row{{Key: key(0), ShareUnits: Total}, {Key: key(1)}}}, 5}
	for range 2 { // the second look comes after the loans have ended
		w.read(0)
		w.now += 3 * time.Second
		w.write(0, false, len(w.late) == 0)
	}
	assert.Assert(t, len(w.late) > 0, "VM 0 gives half of its parts away, and the write is not answered")
	w.holders[0] = NewHolder(key(0))
	w.read(0)
	w.write(0, false, false)
	for _, late := range w.late {
		w.store.put(late.table, late.base)
	}
	w.now += time.Second
	for range 4 {
		w.read(1)
		w.write(1, false, false)
		w.now += 200 * time.Millisecond
	}
	assert.Assert(t, w.usable() <= Total, "%d of %d parts in use", w.usable(), Total)
}
