// Package shareunits divides every rate among the VMs of the fleet by a table in the
// platform's store. It is deterministic: the caller passes in readings and the time
// and carries out the writes.
//
// Rules.
//
//   - A VM uses the parts of its row only within Lease of a reading of the table,
//     counted from the sending of the question, and not while the row is revoked.
//   - Parts change hands through the free remainder of the table. A VM that gives
//     parts away stops using them first, waits until its loans have ended, and then
//     writes the table.
//   - A row whose VM is gone is first marked as revoked. Its parts become free when
//     the mark has been known for Lease + Guard. The VM itself may take the mark away
//     as long as the row is there, because nobody else uses the parts.
//   - Only serving VMs have rows. The first one writes the first table, with a row for
//     each. A VM that does not serve any more marks its own row as revoked and, once
//     its loans have ended, takes it out.
//   - All writes are conditional updates. A write whose result is unknown counts as
//     stored wherever that is the careful choice, until the table has been read again.
//
// A VM that restarts at the same address takes over its row at once. Its buckets
// start empty, so what its former life spent is not spent again. A write of the
// former life that is stored later replaces the very table that the VM has read, for
// which it holds back the same parts.
package shareunits

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Total is the number of parts of a table.
const Total = 1 << 20

const (
	// LeaseDuration is the time for which a reading of the table lets a VM use its parts. It
	// outlasts the outages of the store that are usual.
	LeaseDuration = 15 * time.Second
	// GuardInterval is added to Lease for differences between clocks and for late writes.
	GuardInterval = 3 * time.Second
	// ReadInterval is the time between readings of a table of which no newer version is
	// known.
	ReadInterval = LeaseDuration / 3
	// rankDelay separates the readings of the VMs; an answer relayed by a probe arrives
	// within it.
	rankDelay = 1500 * time.Millisecond
	maxRank   = 3
	// goneAfter is the time after which the row of a VM that does not answer is revoked.
	goneAfter = 10 * time.Second
	// servingFor is the time for which a VM must serve before it takes a row, or not
	// serve before it gives its row up. A VM that restarts is back within it.
	servingFor = 5 * time.Second
	// firstTableAfter is the time after which the first VM writes the first table; VMs
	// that start together have found each other by then. After firstTableFor the others
	// do not wait for it any more.
	firstTableAfter = 500 * time.Millisecond
	firstTableFor   = 2 * time.Second
	// tolerance is the difference from the equal part that is not worth a write.
	tolerance = Total / 256
)

// Key identifies a VM at its address. A VM of the same name at another address may
// run beside the former one for a while.
type Key struct {
	VM      ident.VMName `json:"vm"`
	Address string       `json:"address"`
}

// Row gives parts to a VM.
type Row struct {
	Key
	ShareUnits uint32 `json:"parts"`
	Revoked    bool   `json:"revoked,omitempty"`
}

// Table divides the parts.
type Table struct {
	// Writer is unique to each write.
	Writer string `json:"writer"`
	// Rows are ordered by key.
	Rows []Row `json:"rows"`
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Address, b.Address))
}

func (t Table) find(k Key) (int, bool) {
	return slices.BinarySearchFunc(t.Rows, k, func(r Row, k Key) int { return compareKeys(r.Key, k) })
}

// FreeUnits returns the parts that no row holds; negative when the table is invalid.
func (t Table) FreeUnits() int64 {
	free := int64(Total)
	for _, r := range t.Rows {
		free -= int64(r.ShareUnits)
	}
	return free
}

// valid reports whether the rows are ordered and hold no more than all parts.
func (t Table) valid() bool {
	return t.FreeUnits() >= 0 && slices.IsSortedFunc(t.Rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
}

// with returns a copy with a row set.
func (t Table) with(r Row) Table {
	rows := slices.Clone(t.Rows)
	if i, ok := t.find(r.Key); ok {
		rows[i] = r
	} else {
		rows = slices.Insert(rows, i, r)
	}
	return Table{Rows: rows}
}

// Holder is one VM's view of the table. It is not safe for concurrent use.
type Holder struct {
	self    Key
	table   Table
	version uint64
	loaded  bool
	doubt   bool // a write may have been stored since the last reading
	readAt  time.Duration
	// held are parts that this VM has stopped using in order to give them away.
	held      uint32
	heldSince time.Duration
	goneSince map[Key]time.Duration
	revoked   map[Key]time.Duration // since when the mark is known
	serving   bool
	since     time.Duration // since when serving has its value
}

// View is what a VM knows about the others.
type View struct {
	// Alive reports whether the VM of a row answers.
	Alive func(Key) bool
	// Serving are the keys of the VMs that are to have rows, this one included if it is
	// one of them.
	Serving []Key
	// Coordinator says that this VM cleans up after others.
	Coordinator bool
}

// SetServing tells whether this VM is to have a row.
func (h *Holder) SetServing(now time.Duration, serving bool) {
	if h.serving != serving {
		h.serving, h.since = serving, now
	}
}

// NeedsTable reports whether the table matters to this VM: it serves or has a row.
func (h *Holder) NeedsTable() bool {
	_, ok := h.table.find(h.self)
	return ok || h.serving
}

// NewHolder returns the holder of a VM that has just started.
func NewHolder(self Key) *Holder {
	return &Holder{self: self, goneSince: map[Key]time.Duration{}, revoked: map[Key]time.Duration{}}
}

// ObserveTable takes a reading of the table, or the table that a write has stored, with the
// time at which the question was sent. Version zero means that there is no table. It
// returns false for a table that cannot be used.
func (h *Holder) ObserveTable(now, sentAt time.Duration, t Table, version uint64) bool {
	if version < h.version || !t.valid() {
		return false
	}
	changed := version != h.version
	h.table, h.version, h.loaded, h.readAt = t, version, true, max(h.readAt, sentAt)
	h.doubt = false
	if changed {
		h.held = 0
		// A former life may have given the surplus away in a write that is stored later,
		// so it is not used from the first reading on.
		h.hold(now, h.surplus())
	}
	marked := map[Key]time.Duration{}
	for _, r := range t.Rows {
		if r.Revoked {
			marked[r.Key] = now
			if since, ok := h.revoked[r.Key]; ok {
				marked[r.Key] = since
			}
		}
	}
	h.revoked = marked
	return true
}

// MarkUncertain records that a write was not answered, or that another VM has written: the
// table is read before the next write.
func (h *Holder) MarkUncertain() { h.doubt = true }

// ShareUnits returns the parts that this VM may use, and until when.
func (h *Holder) ShareUnits() (uint32, time.Duration) {
	i, ok := h.table.find(h.self)
	if !ok || h.table.Rows[i].Revoked {
		return 0, 0
	}
	return h.table.Rows[i].ShareUnits - min(h.held, h.table.Rows[i].ShareUnits), h.readAt + LeaseDuration
}

// ObserveRelayed takes the answer of another VM to a question sent at askedAt: it has read
// this version at most age before its answer.
func (h *Holder) ObserveRelayed(askedAt time.Duration, version uint64, age time.Duration) {
	if h.loaded && version == h.version && !h.doubt {
		h.readAt = max(h.readAt, askedAt-age)
	}
}

// LastRead returns the time for which the version is proved, and the version.
func (h *Holder) LastRead() (time.Duration, uint64) { return h.readAt, h.version }

// ReadDue reports whether the table is to be read again. rank is this VM's place among
// the live ones: the first reads, and the others only when nobody relays a reading.
func (h *Holder) ReadDue(now time.Duration, rank int) bool {
	if !h.loaded || h.doubt {
		return true
	}
	if !h.NeedsTable() {
		return false
	}
	return now >= h.readAt+ReadInterval+time.Duration(min(rank, maxRank))*rankDelay
}

// fair is the equal part of each row that is not revoked.
func (h *Holder) fair() uint32 {
	n := 0
	for _, r := range h.table.Rows {
		if !r.Revoked {
			n++
		}
	}
	return Total / uint32(max(1, n))
}

// NextWrite returns the table to write in place of the version that was read last; false
// when there is nothing to write.
func (h *Holder) NextWrite(now time.Duration, v View) (Table, uint64, bool) {
	if !h.loaded || h.doubt {
		return Table{}, 0, false
	}
	if t, ok := h.ownRow(now, v); ok {
		return t, h.version, true
	}
	if v.Coordinator {
		if t, ok := h.cleanUp(now, v.Alive); ok {
			return t, h.version, true
		}
	}
	return Table{}, 0, false
}

// firstTable gives each VM an equal part.
func firstTable(serving []Key) Table {
	var t Table
	for _, k := range serving {
		t = t.with(Row{Key: k, ShareUnits: uint32(Total / len(serving))})
	}
	return t
}

// ownRow changes this VM's row.
func (h *Holder) ownRow(now time.Duration, v View) (Table, bool) {
	settled, empty := now >= h.since+servingFor, len(h.table.Rows) == 0
	i, ok := h.table.find(h.self)
	switch {
	case empty && h.serving && v.Coordinator && now >= h.since+firstTableAfter:
		return firstTable(v.Serving), true
	case !ok && h.serving && (settled || empty && now >= h.since+firstTableFor):
		// A new row counts in the equal part at once, so that the others give.
		t := h.table.with(Row{Key: h.self})
		fair := int64(Total / max(1, len(t.Rows)))
		return h.table.with(Row{Key: h.self, ShareUnits: uint32(min(h.table.FreeUnits(), fair))}), true
	case !ok:
		return Table{}, false
	case !h.serving && settled:
		return h.resign(now, i)
	}
	own := h.table.Rows[i]
	if own.Revoked {
		own.Revoked = false
		return h.table.with(own), true
	}
	fair := h.fair()
	switch free := h.table.FreeUnits(); {
	case own.ShareUnits+tolerance < fair && free > 0:
		own.ShareUnits += uint32(min(free, int64(fair-own.ShareUnits)))
		return h.table.with(own), true
	case h.surplus() > 0:
		return h.give(now, own, h.surplus())
	}
	h.held = 0
	return Table{}, false
}

// resign marks this VM's row as revoked, and takes it out once all loans have ended.
func (h *Holder) resign(now time.Duration, i int) (Table, bool) {
	own := h.table.Rows[i]
	if !own.Revoked {
		h.hold(now, own.ShareUnits)
		own.Revoked = true
		return h.table.with(own), true
	}
	if now < h.revoked[h.self]+shares.LoanHoldTime {
		return Table{}, false
	}
	return Table{Rows: slices.Delete(slices.Clone(h.table.Rows), i, i+1)}, true
}

// surplus returns the parts that this VM has to give away.
func (h *Holder) surplus() uint32 {
	i, ok := h.table.find(h.self)
	if fair := h.fair(); ok && h.table.Rows[i].ShareUnits > fair+tolerance {
		return h.table.Rows[i].ShareUnits - fair
	}
	return 0
}

// hold stops the use of some parts.
func (h *Holder) hold(now time.Duration, surplus uint32) {
	if h.held < surplus {
		h.held, h.heldSince = surplus, now
	}
}

// give writes the table once all loans of the held parts have ended.
func (h *Holder) give(now time.Duration, own Row, surplus uint32) (Table, bool) {
	h.hold(now, surplus)
	if now < h.heldSince+shares.LoanHoldTime {
		return Table{}, false
	}
	own.ShareUnits -= surplus
	return h.table.with(own), true
}

// cleanUp revokes rows of VMs that are gone, and frees revoked rows after their time.
func (h *Holder) cleanUp(now time.Duration, alive func(Key) bool) (Table, bool) {
	for _, r := range h.table.Rows {
		if r.Key == h.self || alive(r.Key) && !r.Revoked {
			delete(h.goneSince, r.Key)
			continue
		}
		since, ok := h.goneSince[r.Key]
		if !ok {
			h.goneSince[r.Key] = now
			continue
		}
		if !r.Revoked && now >= since+goneAfter {
			r.Revoked = true
			return h.table.with(r), true
		}
		if marked, ok := h.revoked[r.Key]; r.Revoked && ok && now >= marked+LeaseDuration+GuardInterval {
			i, _ := h.table.find(r.Key)
			return Table{Rows: slices.Delete(slices.Clone(h.table.Rows), i, i+1)}, true
		}
	}
	return Table{}, false
}

// Table returns the table as it was read last, with its version.
func (h *Holder) Table() (Table, uint64) { return h.table, h.version }
