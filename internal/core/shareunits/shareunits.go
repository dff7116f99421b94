// Package shareunits divides every rate among the VMs of the fleet by a table in the
// platform's store. It is deterministic: the controller passes in the time and the
// tables that it has read, and performs the writes.
//
// Rules.
//
//   - A VM uses the share units of its row only within LeaseDuration of a read of the
//     table, counted from the sending of the request, and not while the row is revoked.
//
//   - Share units move between VMs through the free remainder of the table. A VM that
//     gives share units away first stops using them, waits until its loans have ended,
//     and then writes the table.
//
//   - The row of a VM that is gone is first marked as revoked. Its share units become
//     free when the mark has been known for LeaseDuration + GuardInterval. The VM itself
//     may clear the mark while the row exists, because no other VM uses its share units.
//
//   - Only serving VMs have rows. The coordinator writes the initial table, with a row for
//     each. A VM that no longer serves marks its own row as revoked and, once its loans
//     have ended, removes it.
//
//   - All writes are conditional updates. A write with an unknown result counts as stored
//     wherever that is the conservative assumption, until the table has been read again.
//
//   - When the store comes back from an older copy, the table may give a VM share units that
//     it has given away since. For LeaseDuration + GuardInterval a VM uses no more than it
//     held under the last table that it knows of the former era. The VMs that still use
//     that table do not either.
//
// A VM that restarts at the same address takes over its row at once. Its buckets hold only
// what has accrued since its start, so tokens that its former incarnation spent are not
// spent again. A write of
// the former incarnation that is stored later replaces the very table that the new one
// has read, for which the new one withholds the same share units.
package shareunits

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// Total is the number of share units of a table.
const Total = 1 << 20

const (
	// LeaseDuration is the time for which a read of the table allows a VM to use its share
	// units. It is longer than the usual outages of the store.
	LeaseDuration = 15 * time.Second
	// GuardInterval is added to LeaseDuration for clock differences and delayed writes.
	GuardInterval = 3 * time.Second
	// ReadInterval is the time between reads of the table while no newer version is known.
	ReadInterval = LeaseDuration / 3
	// relayDelayPerRank is the delay between the reads of VMs of successive ranks. The
	// version and age of a read are relayed by probes within this time. Ranks above
	// maxRelayRank have the same delay.
	relayDelayPerRank = 1500 * time.Millisecond
	maxRelayRank      = 3
	// revokeAfter is the time after which the row of a VM that does not respond or serve
	// is revoked. It exceeds servingSettleTime, after which such a VM gives its row up.
	revokeAfter = 10 * time.Second
	// servingSettleTime is the time for which a VM must serve before it adds its row, or
	// not serve before it removes it. Restarts and short cuts of a VM take less.
	servingSettleTime = 8 * time.Second
	// initialTableDelay is the time after which the coordinator writes the initial table;
	// VMs that start together have discovered each other by then. After
	// initialTableTimeout the others no longer wait for it.
	initialTableDelay   = 500 * time.Millisecond
	initialTableTimeout = 2 * time.Second
	// minDifference, in share units, is the difference from the equal share up to which
	// no write is made.
	minDifference = Total / 256
)

// Key identifies a VM at its address. A VM with the same name at another address may
// run concurrently with the former one for a while.
type Key struct {
	VM      ident.VMName `json:"vm"`
	Address string       `json:"address"`
}

// Row assigns share units to a VM.
type Row struct {
	Key
	ShareUnits uint32 `json:"parts"`
	Revoked    bool   `json:"revoked,omitempty"`
}

// Table divides the share units.
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

// FreeUnits returns the share units that no row holds; negative when the table is
// invalid.
func (t Table) FreeUnits() int64 {
	free := int64(Total)
	for _, r := range t.Rows {
		free -= int64(r.ShareUnits)
	}
	return free
}

// valid reports whether the rows are ordered and hold at most Total share units.
func (t Table) valid() bool {
	return t.FreeUnits() >= 0 && slices.IsSortedFunc(t.Rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
}

// with returns a copy in which a row is inserted or replaced.
func (t Table) with(r Row) Table {
	rows := slices.Clone(t.Rows)
	if i, ok := t.find(r.Key); ok {
		rows[i] = r
	} else {
		rows = slices.Insert(rows, i, r)
	}
	return Table{Rows: rows}
}

// Holder is the state of one VM: the table as it was read last and the VM's own share
// units. It is not safe for concurrent use.
type Holder struct {
	self      Key
	table     Table
	version   uint64
	loaded    bool
	uncertain bool // a write may have been stored since the last read
	readAt    time.Duration
	// withheld are share units that this VM has stopped using in order to give them away.
	withheld      uint32
	withheldSince time.Duration
	goneSince     map[Key]time.Duration
	revokedSince  map[Key]time.Duration // when the mark was first read
	serving       bool
	servingSince  time.Duration // time of the last change of serving
	// limit bounds the usable share units until limitedUntil, after the store came back from
	// an older copy.
	limit        uint32
	limitedUntil time.Duration
}

// View is what a VM knows about the other VMs.
type View struct {
	// Alive reports whether the VM of a row responds.
	Alive func(Key) bool
	// Serving are the keys of the VMs that are to have rows, including this one if it
	// serves.
	Serving []Key
	// Coordinator is set on the VM that writes the initial table and removes the rows of
	// others.
	Coordinator bool
}

// SetServing sets whether this VM is to have a row.
func (h *Holder) SetServing(now time.Duration, serving bool) {
	if now >= h.limitedUntil {
		h.limitedUntil = 0
	}
	if h.serving != serving {
		h.serving, h.servingSince = serving, now
	}
}

// NeedsTable reports whether this VM has to keep its table current: it serves or has a
// row.
func (h *Holder) NeedsTable() bool {
	_, ok := h.table.find(h.self)
	return ok || h.serving
}

// NewHolder returns the holder of a VM that has just started.
func NewHolder(self Key) *Holder {
	return &Holder{self: self, goneSince: map[Key]time.Duration{}, revokedSince: map[Key]time.Duration{}}
}

// ObserveTable records a table that was read or stored by a write. sentAt is the time
// at which the request was sent. Version zero means that there is no table. It returns
// false for a table that cannot be used.
func (h *Holder) ObserveTable(now, sentAt time.Duration, t Table, version uint64) bool {
	if version < h.version || !t.valid() {
		return false
	}
	changed := version != h.version
	if era := objectapi.Version(version).Era(); h.loaded && era > objectapi.Version(h.version).Era() {
		h.limit, _ = h.ShareUnits()
		h.limitedUntil = now + LeaseDuration + GuardInterval
	}
	h.table, h.version, h.loaded, h.readAt = t, version, true, max(h.readAt, sentAt)
	h.uncertain = false
	if changed {
		h.withheld = 0
		// A former incarnation may have given the surplus away in a write that is stored
		// later, so the surplus is not used from the first read on.
		h.withhold(now, h.surplus())
	}
	revokedSince := map[Key]time.Duration{}
	for _, r := range t.Rows {
		if r.Revoked {
			revokedSince[r.Key] = now
			if since, ok := h.revokedSince[r.Key]; ok {
				revokedSince[r.Key] = since
			}
		}
	}
	h.revokedSince = revokedSince
	return true
}

// Excluded reports whether the table gives share units to other VMs and none to this one.
func (h *Holder) Excluded() bool {
	if !h.loaded || len(h.table.Rows) == 0 {
		return false
	}
	i, ok := h.table.find(h.self)
	return !ok || h.table.Rows[i].Revoked
}

// MarkUncertain records that a write had no response, or that another VM has written
// the table. The table is read before the next write.
func (h *Holder) MarkUncertain() { h.uncertain = true }

// ShareUnits returns the share units that this VM may use, and until when.
func (h *Holder) ShareUnits() (uint32, time.Duration) {
	i, ok := h.table.find(h.self)
	if !ok || h.table.Rows[i].Revoked {
		return 0, 0
	}
	usable := h.table.Rows[i].ShareUnits - min(h.withheld, h.table.Rows[i].ShareUnits)
	if h.limitedUntil > 0 {
		usable = min(usable, h.limit)
	}
	return usable, h.readAt + LeaseDuration
}

// ObserveRelayed records the response of another VM to a request sent at sentAt: the VM
// read this version at most age before the response. Version zero proves nothing, because a
// VM that has not read the table reports it too.
func (h *Holder) ObserveRelayed(sentAt time.Duration, version uint64, age time.Duration) {
	if h.loaded && version > 0 && version == h.version && !h.uncertain {
		h.readAt = max(h.readAt, sentAt-age)
	}
}

// LastRead returns the latest time at which the version is known to have been current,
// and the version.
func (h *Holder) LastRead() (time.Duration, uint64) { return h.readAt, h.version }

// ReadDue reports whether the table is to be read. A VM that does not serve and knows of
// no row of its own does not read it; if a former incarnation left a row, the coordinator
// revokes it. rank is the position of this
// VM among the live ones: the first one reads, and the others only when no VM relays a
// read.
func (h *Holder) ReadDue(now time.Duration, rank int) bool {
	if !h.NeedsTable() {
		return false
	}
	if !h.loaded || h.uncertain {
		return true
	}
	return now >= h.readAt+ReadInterval+time.Duration(min(rank, maxRelayRank))*relayDelayPerRank
}

// equalShare returns the equal share of each row that is not revoked, in share units.
func (h *Holder) equalShare() uint32 {
	n := 0
	for _, r := range h.table.Rows {
		if !r.Revoked {
			n++
		}
	}
	return Total / uint32(max(1, n))
}

// NextWrite returns the table to write and the version to replace; false when there is
// nothing to write.
func (h *Holder) NextWrite(now time.Duration, v View) (Table, uint64, bool) {
	if !h.loaded || h.uncertain {
		return Table{}, 0, false
	}
	if t, ok := h.nextOwnRow(now, v); ok {
		return t, h.version, true
	}
	if v.Coordinator {
		if t, ok := h.revokeOrRemoveRows(now, v); ok {
			return t, h.version, true
		}
	}
	return Table{}, 0, false
}

// initialTable gives each serving VM an equal share.
func initialTable(serving []Key) Table {
	var t Table
	for _, k := range serving {
		t = t.with(Row{Key: k, ShareUnits: uint32(Total / len(serving))})
	}
	return t
}

// nextOwnRow returns the table after the next change that this VM makes to its own row,
// or the initial table.
func (h *Holder) nextOwnRow(now time.Duration, v View) (Table, bool) {
	settled, empty := now >= h.servingSince+servingSettleTime, len(h.table.Rows) == 0
	i, ok := h.table.find(h.self)
	switch {
	case empty && h.serving && v.Coordinator && now >= h.servingSince+initialTableDelay:
		return initialTable(v.Serving), true
	case !ok && h.serving && (settled || empty && now >= h.servingSince+initialTableTimeout):
		// The new row counts in the equal share at once, so that the others give share
		// units away.
		t := h.table.with(Row{Key: h.self})
		equalShare := int64(Total / max(1, len(t.Rows)))
		return h.table.with(Row{Key: h.self, ShareUnits: uint32(min(h.table.FreeUnits(), equalShare))}), true
	case !ok:
		return Table{}, false
	case !h.serving && settled:
		return h.removeOwnRow(now, i)
	}
	own := h.table.Rows[i]
	if own.Revoked {
		own.Revoked = false
		return h.table.with(own), true
	}
	equalShare := h.equalShare()
	switch free := h.table.FreeUnits(); {
	case own.ShareUnits+minDifference < equalShare && free > 0:
		own.ShareUnits += uint32(min(free, int64(equalShare-own.ShareUnits)))
		return h.table.with(own), true
	case h.surplus() > 0:
		return h.giveSurplus(now, own, h.surplus())
	}
	h.withheld = 0
	return Table{}, false
}

// removeOwnRow marks this VM's row as revoked, and removes it once all loans have
// ended.
func (h *Holder) removeOwnRow(now time.Duration, i int) (Table, bool) {
	own := h.table.Rows[i]
	if !own.Revoked {
		h.withhold(now, own.ShareUnits)
		own.Revoked = true
		return h.table.with(own), true
	}
	if now < h.revokedSince[h.self]+shares.LoanHoldTime {
		return Table{}, false
	}
	return Table{Rows: slices.Delete(slices.Clone(h.table.Rows), i, i+1)}, true
}

// surplus returns the share units that this VM has to give away.
func (h *Holder) surplus() uint32 {
	i, ok := h.table.find(h.self)
	if equalShare := h.equalShare(); ok && h.table.Rows[i].ShareUnits > equalShare+minDifference {
		return h.table.Rows[i].ShareUnits - equalShare
	}
	return 0
}

// withhold stops the use of at least this many share units.
func (h *Holder) withhold(now time.Duration, units uint32) {
	if h.withheld < units {
		h.withheld, h.withheldSince = units, now
	}
}

// giveSurplus returns the table without the surplus once all loans have ended that the
// withheld share units may back.
func (h *Holder) giveSurplus(now time.Duration, own Row, surplus uint32) (Table, bool) {
	h.withhold(now, surplus)
	if now < h.withheldSince+shares.LoanHoldTime {
		return Table{}, false
	}
	own.ShareUnits -= surplus
	return h.table.with(own), true
}

// revokeOrRemoveRows revokes a row whose VM is gone, or does not serve, for revokeAfter,
// or removes a row that has been revoked for LeaseDuration + GuardInterval.
func (h *Holder) revokeOrRemoveRows(now time.Duration, v View) (Table, bool) {
	for _, r := range h.table.Rows {
		if r.Key == h.self || v.Alive(r.Key) && slices.Contains(v.Serving, r.Key) && !r.Revoked {
			delete(h.goneSince, r.Key)
			continue
		}
		since, ok := h.goneSince[r.Key]
		if !ok {
			h.goneSince[r.Key] = now
			continue
		}
		if !r.Revoked && now >= since+revokeAfter {
			r.Revoked = true
			return h.table.with(r), true
		}
		if revokedSince, ok := h.revokedSince[r.Key]; r.Revoked && ok && now >= revokedSince+LeaseDuration+GuardInterval {
			i, _ := h.table.find(r.Key)
			return Table{Rows: slices.Delete(slices.Clone(h.table.Rows), i, i+1)}, true
		}
	}
	return Table{}, false
}

// Table returns the table that was read last and its version.
func (h *Holder) Table() (Table, uint64) { return h.table, h.version }
