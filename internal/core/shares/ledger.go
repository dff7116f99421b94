package shares

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Peer is a VM of the own zone in the membership view.
type Peer struct {
	Name        ident.VMName
	Incarnation ident.Incarnation
	Alive       bool
}

// LeaseRequest asks the lessor to confirm the sender's parts.
type LeaseRequest struct {
	ID uint64 `cbor:"1,keyasint"`
	// Version is the sender's version of the table.
	Version uint64 `cbor:"2,keyasint"`
}

// LeaseGrant confirms the parts for the lease time from the asking.
type LeaseGrant struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Write is an action: store the table if the object still has the base version.
type Write struct {
	Table       Table
	BaseVersion uint64
}

// Actions are what the shell carries out for a Ledger.
type Actions struct {
	// Read asks for the table of the zone from the platform.
	Read bool
	// Write, when set, asks for a conditional update.
	Write *Write
	// LeaseRequest, when set, is a lease request to the lessor.
	LeaseRequest *LeaseRequest
	Lessor       ident.VMName
}

// change says what a planned or unresolved write does.
type change uint8

const (
	changeCreate change = iota
	changeReclaim
	changeLessor
	changeGive
	changeLeave
	changeRegister
)

// String names the change.
func (c change) String() string {
	return [...]string{"create", "reclaim", "lessor", "give", "leave", "register"}[c]
}

// leaseAsk is a lease request in flight.
type leaseAsk struct {
	to ident.VMName
	at time.Duration
}

// lesseeKey identifies one term of lessorship.
type lesseeKey struct {
	vm          ident.VMName
	incarnation ident.Incarnation
	term        uint32
}

// rowKey identifies a row.
type rowKey struct {
	vm          ident.VMName
	incarnation ident.Incarnation
}

func (r Row) key() rowKey { return rowKey{r.VM, r.Incarnation} }

// Ledger owns this VM's view of the zone's table, its lease, and the leases that
// it confirms. It is not safe for concurrent use.
type Ledger struct {
	self        ident.VMName
	incarnation ident.Incarnation
	rng         *rand.Rand
	writes      uint64

	loaded   bool
	table    Table
	version  uint64
	readAt   time.Duration // start of the last successful read of the table
	nextRead time.Duration
	wantRead bool // a lease request waits for a proof

	peers     map[ident.VMName]Peer
	goneSince map[ident.VMName]time.Duration // VMs of the table that are not alive

	// listed holds the rows whose VM a complete list of the platform has named since
	// the row is known, and whether the newest list still does.
	listed map[rowKey]bool

	leaseUntil time.Duration
	confirmed  time.Duration // last confirmation by the lessor, or its appointment
	asks       map[uint64]leaseAsk
	lastAsk    uint64
	nextAsk    time.Duration

	granted map[lesseeKey]time.Duration // last confirmation, or start of the lessorship

	plan     *plan
	doubt    *unresolved
	nextPlan time.Duration
	held     uint32 // parts not used because they are being given away
	leaving  bool
	last     string // last decision and its reason
}

// plan is a gift that waits for loans to end.
type plan struct {
	what  change
	ready time.Duration
}

// unresolved is a write whose result is not known. It stays until the table has a
// version above the base, because a delayed write may still be stored.
type unresolved struct {
	what    change
	write   Write
	row     Row // that is reclaimed
	started time.Duration
	retry   time.Duration
}

// NewLedger returns a ledger without parts.
func NewLedger(now time.Duration, self ident.VMName, incarnation ident.Incarnation, rng *rand.Rand) *Ledger {
	return &Ledger{
		self: self, incarnation: incarnation, rng: rng, readAt: -time.Hour, nextRead: now,
		peers: map[ident.VMName]Peer{}, goneSince: map[ident.VMName]time.Duration{},
		listed: map[rowKey]bool{},
		asks:   map[uint64]leaseAsk{}, granted: map[lesseeKey]time.Duration{}, lastAsk: rng.Uint64() >> 16,
	}
}

// SetPeers takes the members of the own zone, this VM not included.
func (l *Ledger) SetPeers(now time.Duration, peers []Peer) {
	clear(l.peers)
	for _, p := range peers {
		l.peers[p.Name] = p
	}
	l.markGone(now)
}

// SetListedVMs takes a complete list of the platform's VMs.
func (l *Ledger) SetListedVMs(names []ident.VMName) {
	for _, r := range l.table.Rows {
		if slices.Contains(names, r.VM) {
			l.listed[r.key()] = true
		} else if l.listed[r.key()] {
			l.listed[r.key()] = false
		}
	}
}

// removed reports whether the VM incarnation of a row certainly runs no more:
// the platform has removed the VM, or a later incarnation runs.
func (l *Ledger) removed(r Row) bool {
	later := l.peers[r.VM].Incarnation
	if r.VM == l.self {
		later = l.incarnation
	}
	listed, seen := l.listed[r.key()]
	return later > r.Incarnation || seen && !listed && r.VM != l.self
}

// markGone notes since when VMs of the table have not been alive.
func (l *Ledger) markGone(now time.Duration) {
	gone := map[ident.VMName]time.Duration{}
	for _, r := range l.table.Rows {
		if l.alive(r.VM) {
			continue
		}
		since, known := l.goneSince[r.VM]
		if !known {
			since = now
		}
		gone[r.VM] = since
	}
	l.goneSince = gone
}

// gone reports whether a VM of the table has not been alive for some time.
func (l *Ledger) gone(now time.Duration, vm ident.VMName) bool {
	since, ok := l.goneSince[vm]
	return ok && now-since >= lessorPatience
}

// alive reports whether the view has the VM as alive.
func (l *Ledger) alive(vm ident.VMName) bool { return vm == l.self || l.peers[vm].Alive }

// present reports whether the incarnation that holds a row is alive.
func (l *Ledger) present(r Row) bool {
	if r.VM == l.self {
		return r.Incarnation == l.incarnation
	}
	p := l.peers[r.VM]
	return p.Alive && p.Incarnation == r.Incarnation
}

// own returns this incarnation's row.
func (l *Ledger) own() (Row, bool) {
	return l.table.Row(l.self, l.incarnation)
}

// ObserveTable takes a table. readStart is the time at which a read from the platform
// began, or negative when the table came from a peer. Version zero means that the
// object does not exist.
func (l *Ledger) ObserveTable(now, readStart time.Duration, table Table, version uint64) {
	if readStart >= 0 && version >= l.version {
		l.readAt = max(l.readAt, readStart)
		l.loaded = true
	}
	if version < l.version || version > 0 && !table.Valid() {
		return
	}
	if version > l.version {
		l.adopt(now, table, version)
	}
	if r, ok := l.own(); ok && r.Lessor == "" && readStart >= 0 && !l.lessorInDoubt() {
		l.leaseUntil = max(l.leaseUntil, readStart+LeaseDuration)
	}
}

// adopt takes a newer table.
func (l *Ledger) adopt(now time.Duration, table Table, version uint64) {
	before, had := l.own()
	l.table, l.version, l.loaded = table, version, true
	l.doubt = nil
	after, has := l.own()
	if l.plan != nil && l.plan.what == changeGive && before != after {
		l.plan = nil
	}
	if l.leaving {
		l.held = after.ShareUnits
	} else if l.plan == nil {
		l.held = 0
	}
	if had && !has {
		l.leaseUntil = 0
	}
	if before.Lessor != after.Lessor || before.LessorTerm != after.LessorTerm {
		l.confirmed = now
	}
	kept := map[lesseeKey]time.Duration{}
	for _, r := range table.Rows {
		if r.Lessor != l.self || r.is(l.self, l.incarnation) {
			continue
		}
		key := lesseeKey{r.VM, r.Incarnation, r.LessorTerm}
		since, known := l.granted[key]
		if !known {
			since = now
		}
		kept[key] = since
	}
	l.granted = kept
	maps.DeleteFunc(l.listed, func(key rowKey, _ bool) bool {
		_, ok := table.Row(key.vm, key.incarnation)
		return !ok
	})
	l.markGone(now)
}

// WriteFailed tells that a write was certainly not stored.
func (l *Ledger) WriteFailed(now time.Duration) {
	l.doubt = nil
	if !l.leaving {
		l.plan, l.held = nil, 0
	}
	l.delayPlan(now)
}

// ShareUnits returns the parts in use at now and the end of their lease.
func (l *Ledger) ShareUnits(now time.Duration) (uint32, time.Duration) {
	r, ok := l.own()
	if !ok || l.leaseUntil <= now {
		return 0, 0
	}
	return r.ShareUnits - min(r.ShareUnits, l.held), l.leaseUntil
}

// Table returns the newest known table and its version.
func (l *Ledger) Table() (Table, uint64) { return l.table, l.version }

// LastDecision describes the last change of the table that this VM began.
func (l *Ledger) LastDecision() string { return l.last }

// Leave begins to hand the parts over. Done reports the end.
func (l *Ledger) Leave(now time.Duration) {
	r, _ := l.own()
	l.leaving, l.held = true, r.ShareUnits
	l.plan = &plan{what: changeLeave, ready: now + LoanHoldTime}
}

// HasLeft reports whether this VM, after Leave, holds no parts any more.
func (l *Ledger) HasLeft() bool {
	own, ok := l.own()
	return l.leaving && l.loaded && (!ok || own.ShareUnits == 0) && l.doubt == nil
}

// writerName identifies a write of this incarnation.
func (l *Ledger) writerName() string {
	l.writes++
	return fmt.Sprintf("%s/%d/%d", l.self, l.incarnation, l.writes)
}
