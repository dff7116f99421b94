package shares

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// TotalShareUnits is the number of parts into which a zone's rates are divided.
const TotalShareUnits = 1 << 20

// Times of the protocol.
const (
	// LeaseDuration is the time that a confirmation of parts lasts, counted from the asking.
	LeaseDuration = 10 * time.Second
	// GuardInterval is added to every wait for another VM's clock.
	GuardInterval = 2 * time.Second
	// RenewInterval is the time between renewals of a lease.
	RenewInterval = 2 * time.Second
	// LoanValidity is the time that borrowed tokens last, counted from the asking.
	LoanValidity = 500 * time.Millisecond
	// LoanHoldTime is the time that a loan lowers the lender's capacity.
	LoanHoldTime = LoanValidity + GuardInterval
	// MaxStaleness is the longest time that a VM uses a configuration after a newer one
	// was accepted.
	MaxStaleness = 3 * time.Second
	// readProof is the time that a read of the table lets a lessor confirm parts
	// without a lease of its own. It must be below Guard, because a new lessor waits
	// lease + guard from the write that made it lessor.
	readProof = time.Second
)

// Row gives parts to one incarnation of a VM.
type Row struct {
	VM          ident.VMName      `json:"vm" cbor:"1,keyasint"`
	Incarnation ident.Incarnation `json:"incarnation" cbor:"2,keyasint"`
	ShareUnits  uint32            `json:"parts" cbor:"3,keyasint"`
	// Lessor is the VM that confirms the parts; empty for a VM alone in its zone.
	Lessor ident.VMName `json:"lessor,omitempty" cbor:"4,keyasint,omitempty"`
	// LessorTerm increases with each change of the lessor, so that a VM that becomes
	// lessor again does not count the time before.
	LessorTerm uint32 `json:"lessor_term,omitempty" cbor:"5,keyasint,omitempty"`
	// Leaving rows have given their parts away and get none until they are removed.
	Leaving bool `json:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
}

// is reports whether the row belongs to this incarnation.
func (r Row) is(vm ident.VMName, incarnation ident.Incarnation) bool {
	return r.VM == vm && r.Incarnation == incarnation
}

func compareRows(r, s Row) int {
	return cmp.Or(cmp.Compare(r.VM, s.VM), cmp.Compare(r.Incarnation, s.Incarnation))
}

// Table divides the parts of one zone.
type Table struct {
	// Writer identifies the write that stored this table.
	Writer string `json:"writer" cbor:"1,keyasint"`
	// Rows are ordered by VM name and incarnation.
	Rows []Row `json:"rows" cbor:"2,keyasint"`
}

// Valid reports whether the rows are ordered and their parts add up.
func (t Table) Valid() bool {
	sum := uint64(0)
	for i, r := range t.Rows {
		sum += uint64(r.ShareUnits)
		if r.VM == "" || i > 0 && compareRows(t.Rows[i-1], r) >= 0 {
			return false
		}
	}
	return sum == TotalShareUnits
}

// Row returns the row of a VM incarnation.
func (t Table) Row(vm ident.VMName, incarnation ident.Incarnation) (Row, bool) {
	i, ok := t.find(vm, incarnation)
	if !ok {
		return Row{}, false
	}
	return t.Rows[i], true
}

func (t Table) find(vm ident.VMName, incarnation ident.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(t.Rows, Row{VM: vm, Incarnation: incarnation}, compareRows)
}

// Contains reports whether any incarnation of the VM has a row.
func (t Table) Contains(vm ident.VMName) bool {
	return slices.ContainsFunc(t.Rows, func(r Row) bool { return r.VM == vm })
}

// Successor returns the next VM in the ring of the table that satisfies usable and
// is not leaving.
func (t Table) Successor(vm ident.VMName, usable func(ident.VMName) bool) (ident.VMName, bool) {
	start := sort.Search(len(t.Rows), func(i int) bool { return t.Rows[i].VM > vm })
	for i := range t.Rows {
		r := t.Rows[(start+i)%len(t.Rows)]
		if r.VM != vm && !r.Leaving && usable(r.VM) {
			return r.VM, true
		}
	}
	return "", false
}

func (t Table) clone() Table {
	return Table{Writer: t.Writer, Rows: slices.Clone(t.Rows)}
}

// set stores a row in its place.
func (t *Table) set(r Row) {
	i, ok := t.find(r.VM, r.Incarnation)
	if ok {
		t.Rows[i] = r
		return
	}
	t.Rows = slices.Insert(t.Rows, i, r)
}

// setLessor names another lessor for a VM incarnation.
func (t *Table) setLessor(r Row, lessor ident.VMName) {
	if i, ok := t.find(r.VM, r.Incarnation); ok && t.Rows[i].Lessor != lessor {
		t.Rows[i].Lessor = lessor
		t.Rows[i].LessorTerm++
	}
}

// remove deletes a row. The rows that its VM was lessor of get their own
// successors, unless another incarnation of the VM has a row and may go on to
// confirm them.
func (t *Table) remove(old Row, usable func(ident.VMName) bool) {
	if i, ok := t.find(old.VM, old.Incarnation); ok {
		t.Rows = slices.Delete(t.Rows, i, i+1)
	}
	if !t.Contains(old.VM) {
		t.release(old.VM, usable)
	}
}

// release gives the rows that a VM was lessor of to their own successors.
func (t *Table) release(vm ident.VMName, usable func(ident.VMName) bool) {
	for _, r := range slices.Clone(t.Rows) {
		if r.Lessor == vm {
			next, _ := t.Successor(r.VM, usable)
			t.setLessor(r, next)
		}
	}
}
