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

// LeaseRequest asks the lessor to confirm the share units of the sender.
type LeaseRequest struct {
	ID uint64 `cbor:"1,keyasint"`
	// Version is the version of the sender's table.
	Version uint64 `cbor:"2,keyasint"`
}

// LeaseGrant confirms the share units for LeaseDuration, counted from the sending of
// the request.
type LeaseGrant struct {
	ID uint64 `cbor:"1,keyasint"`
}

// Write is a conditional update: the table is stored only if the object still has
// the base version.
type Write struct {
	Table       Table
	BaseVersion uint64
}

// Actions are the actions that the controller performs for a Ledger.
type Actions struct {
	// Read requests a read of the zone's table from the platform.
	Read bool
	// Write, when set, is a conditional update to perform.
	Write *Write
	// LeaseRequest, when set, is to be sent to Lessor.
	LeaseRequest *LeaseRequest
	Lessor       ident.VMName
}

// change is the purpose of a planned or unresolved write.
type change uint8

const (
	changeCreate change = iota
	changeReclaim
	changeLessor
	changeGive
	changeLeave
	changeRegister
)

// String returns the name that the last decision starts with.
func (c change) String() string {
	return [...]string{"create", "reclaim", "lessor", "give", "leave", "register"}[c]
}

// pendingLeaseRequest is a lease request without a response.
type pendingLeaseRequest struct {
	lessor ident.VMName
	sentAt time.Duration
}

// lesseeKey identifies one term of a lessor for a VM incarnation.
type lesseeKey struct {
	vm          ident.VMName
	incarnation ident.Incarnation
	term        uint32
}

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

	loaded     bool
	table      Table
	version    uint64
	readAt     time.Duration // start of the last successful read of the table
	nextReadAt time.Duration
	readWanted bool // a lease request needs a newer read of the table

	peers     map[ident.VMName]Peer
	goneSince map[ident.VMName]time.Duration // VMs in the table that are not alive

	// listed holds the rows whose VM was named by a complete list of the platform since
	// the row is known, and whether the newest list still names it.
	listed map[rowKey]bool

	leaseUntil      time.Duration
	confirmedAt     time.Duration // last confirmation by the lessor, or start of its term
	pendingRequests map[uint64]pendingLeaseRequest
	lastRequestID   uint64
	nextRequestAt   time.Duration

	grantedAt map[lesseeKey]time.Duration // last confirmation, or start of the term

	plan         *plan
	unresolved   *unresolvedWrite
	nextPlanAt   time.Duration
	withheld     uint32 // share units not used because they are being given away
	leaving      bool
	lastDecision string // with its reason
}

// plan is a change that gives share units away, delayed until all loans have ended.
type plan struct {
	change  change
	readyAt time.Duration
}

// unresolvedWrite is a write with an unknown result. It is kept until the table has
// a version above the base, because a delayed write may still be stored.
type unresolvedWrite struct {
	change    change
	write     Write
	reclaimed Row // removed by the write; empty for other changes
	startedAt time.Duration
	retryAt   time.Duration
}

// NewLedger returns a ledger without share units.
func NewLedger(now time.Duration, self ident.VMName, incarnation ident.Incarnation, rng *rand.Rand) *Ledger {
	return &Ledger{
		self: self, incarnation: incarnation, rng: rng, readAt: -time.Hour, nextReadAt: now,
		peers: map[ident.VMName]Peer{}, goneSince: map[ident.VMName]time.Duration{},
		listed:          map[rowKey]bool{},
		pendingRequests: map[uint64]pendingLeaseRequest{}, grantedAt: map[lesseeKey]time.Duration{}, lastRequestID: rng.Uint64() >> 16,
	}
}

// SetPeers sets the members of the own zone, without this VM.
func (l *Ledger) SetPeers(now time.Duration, peers []Peer) {
	clear(l.peers)
	for _, p := range peers {
		l.peers[p.Name] = p
	}
	l.updateGone(now)
}

// SetListedVMs records a complete list of the platform's VMs.
func (l *Ledger) SetListedVMs(names []ident.VMName) {
	for _, r := range l.table.Rows {
		if slices.Contains(names, r.VM) {
			l.listed[r.key()] = true
		} else if l.listed[r.key()] {
			l.listed[r.key()] = false
		}
	}
}

// isRemoved reports whether the VM incarnation of a row has certainly stopped: the
// platform has removed the VM, or a later incarnation runs.
func (l *Ledger) isRemoved(r Row) bool {
	later := l.peers[r.VM].Incarnation
	if r.VM == l.self {
		later = l.incarnation
	}
	listed, seen := l.listed[r.key()]
	return later > r.Incarnation || seen && !listed && r.VM != l.self
}

// updateGone records since when VMs in the table have not been alive.
func (l *Ledger) updateGone(now time.Duration) {
	gone := map[ident.VMName]time.Duration{}
	for _, r := range l.table.Rows {
		if l.isAlive(r.VM) {
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

// isGone reports whether a VM in the table has not been alive for lessorGoneTimeout.
func (l *Ledger) isGone(now time.Duration, vm ident.VMName) bool {
	since, ok := l.goneSince[vm]
	return ok && now-since >= lessorGoneTimeout
}

// isAlive reports whether the VM is alive in the membership view.
func (l *Ledger) isAlive(vm ident.VMName) bool { return vm == l.self || l.peers[vm].Alive }

// isPresent reports whether the incarnation that has the row is alive.
func (l *Ledger) isPresent(r Row) bool {
	if r.VM == l.self {
		return r.Incarnation == l.incarnation
	}
	p := l.peers[r.VM]
	return p.Alive && p.Incarnation == r.Incarnation
}

// ownRow returns this incarnation's row.
func (l *Ledger) ownRow() (Row, bool) {
	return l.table.Row(l.self, l.incarnation)
}

// ObserveTable records a table that was read or received. readStart is the time at
// which the read from the platform began, or negative when the table came from a
// peer. Version zero means that the object does not exist.
func (l *Ledger) ObserveTable(now, readStart time.Duration, table Table, version uint64) {
	if readStart >= 0 && version >= l.version {
		l.readAt = max(l.readAt, readStart)
		l.loaded = true
	}
	if version < l.version || version > 0 && !table.Valid() {
		return
	}
	if version > l.version {
		l.adoptTable(now, table, version)
	}
	if r, ok := l.ownRow(); ok && r.Lessor == "" && readStart >= 0 && !l.lessorUncertain() {
		l.leaseUntil = max(l.leaseUntil, readStart+LeaseDuration)
	}
}

// adoptTable replaces the table by a newer one.
func (l *Ledger) adoptTable(now time.Duration, table Table, version uint64) {
	before, had := l.ownRow()
	l.table, l.version, l.loaded = table, version, true
	l.unresolved = nil
	after, has := l.ownRow()
	if l.plan != nil && l.plan.change == changeGive && before != after {
		l.plan = nil
	}
	if l.leaving {
		l.withheld = after.ShareUnits
	} else if l.plan == nil {
		l.withheld = 0
	}
	if had && !has {
		l.leaseUntil = 0
	}
	if before.Lessor != after.Lessor || before.LessorTerm != after.LessorTerm {
		l.confirmedAt = now
	}
	kept := map[lesseeKey]time.Duration{}
	for _, r := range table.Rows {
		if r.Lessor != l.self || r.belongsTo(l.self, l.incarnation) {
			continue
		}
		key := lesseeKey{r.VM, r.Incarnation, r.LessorTerm}
		since, known := l.grantedAt[key]
		if !known {
			since = now
		}
		kept[key] = since
	}
	l.grantedAt = kept
	maps.DeleteFunc(l.listed, func(key rowKey, _ bool) bool {
		_, ok := table.Row(key.vm, key.incarnation)
		return !ok
	})
	l.updateGone(now)
}

// WriteFailed records that the write was certainly not stored.
func (l *Ledger) WriteFailed(now time.Duration) {
	l.unresolved = nil
	if !l.leaving {
		l.plan, l.withheld = nil, 0
	}
	l.delayNextPlan(now)
}

// ShareUnits returns the share units in use at now and the end of their lease.
func (l *Ledger) ShareUnits(now time.Duration) (uint32, time.Duration) {
	r, ok := l.ownRow()
	if !ok || l.leaseUntil <= now {
		return 0, 0
	}
	return r.ShareUnits - min(r.ShareUnits, l.withheld), l.leaseUntil
}

// Table returns the newest known table and its version.
func (l *Ledger) Table() (Table, uint64) { return l.table, l.version }

// LastDecision describes the last change of the table that this VM started.
func (l *Ledger) LastDecision() string { return l.lastDecision }

// Leave starts to hand the share units over to another VM. HasLeft reports when this
// is complete.
func (l *Ledger) Leave(now time.Duration) {
	r, _ := l.ownRow()
	l.leaving, l.withheld = true, r.ShareUnits
	l.plan = &plan{change: changeLeave, readyAt: now + LoanHoldTime}
}

// HasLeft reports whether this VM, after Leave, no longer holds share units.
func (l *Ledger) HasLeft() bool {
	own, ok := l.ownRow()
	return l.leaving && l.loaded && (!ok || own.ShareUnits == 0) && l.unresolved == nil
}

// nextWriterID returns a writer that is unique to each write.
func (l *Ledger) nextWriterID() string {
	l.writes++
	return fmt.Sprintf("%s/%d/%d", l.self, l.incarnation, l.writes)
}
