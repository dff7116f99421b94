package shares

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// TotalShareUnits is the number of share units into which a zone's rates are divided.
const TotalShareUnits = 1 << 20

// Times of the protocol.
const (
	// LeaseDuration is the time for which share units are confirmed, counted from the
	// sending of the request.
	LeaseDuration = 10 * time.Second
	// GuardInterval is added to every wait for a time that another VM measures, for the
	// difference between the clocks.
	GuardInterval = 2 * time.Second
	RenewInterval = 2 * time.Second
	// LoanValidity is the time for which borrowed tokens can be spent, counted from the
	// sending of the request.
	LoanValidity = 500 * time.Millisecond
	// LoanHoldTime is the time for which a loan lowers the lender's capacity.
	LoanHoldTime = LoanValidity + GuardInterval
	// MaxStaleness is the longest time for which a VM uses a configuration after a newer
	// one was accepted.
	MaxStaleness = 3 * time.Second
	// readValidity is the time for which a read of the table allows a lessor to confirm
	// share units without a lease of its own. It must be below GuardInterval, because a
	// new lessor waits LeaseDuration + GuardInterval from the write that made it lessor.
	readValidity = time.Second
)

// Row assigns share units to one incarnation of a VM.
type Row struct {
	VM          ident.VMName      `json:"vm" cbor:"1,keyasint"`
	Incarnation ident.Incarnation `json:"incarnation" cbor:"2,keyasint"`
	ShareUnits  uint32            `json:"parts" cbor:"3,keyasint"`
	// Lessor is the VM that confirms the share units; empty for a VM alone in its zone.
	Lessor ident.VMName `json:"lessor,omitempty" cbor:"4,keyasint,omitempty"`
	// LessorTerm increases with each change of the lessor, so that a VM that becomes
	// lessor again does not count confirmations of its earlier term.
	LessorTerm uint32 `json:"lessor_term,omitempty" cbor:"5,keyasint,omitempty"`
	// Leaving is set when the VM has given its share units away; the row gets none until
	// it is removed.
	Leaving bool `json:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
}

// belongsTo reports whether the row belongs to this incarnation.
func (r Row) belongsTo(vm ident.VMName, incarnation ident.Incarnation) bool {
	return r.VM == vm && r.Incarnation == incarnation
}

func compareRows(r, s Row) int {
	return cmp.Or(cmp.Compare(r.VM, s.VM), cmp.Compare(r.Incarnation, s.Incarnation))
}

// Table divides the share units of one zone.
type Table struct {
	// Writer is unique to the write that stored this table.
	Writer string `json:"writer" cbor:"1,keyasint"`
	// Rows are ordered by VM name and incarnation.
	Rows []Row `json:"rows" cbor:"2,keyasint"`
}

// Valid reports whether the rows are ordered and their share units add up to
// TotalShareUnits.
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

// Successor returns the next VM after vm, in the cyclic order of the rows, that
// satisfies usable and is not leaving.
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

// set inserts or replaces a row.
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

// remove deletes a row. The rows whose lessor was its VM get their own successors as
// lessors, unless another incarnation of the VM has a row and may continue to confirm
// them.
func (t *Table) remove(old Row, usable func(ident.VMName) bool) {
	if i, ok := t.find(old.VM, old.Incarnation); ok {
		t.Rows = slices.Delete(t.Rows, i, i+1)
	}
	if !t.Contains(old.VM) {
		t.reassignLessees(old.VM, usable)
	}
}

// reassignLessees gives the rows whose lessor is vm their own successors as lessors.
func (t *Table) reassignLessees(vm ident.VMName, usable func(ident.VMName) bool) {
	for _, r := range slices.Clone(t.Rows) {
		if r.Lessor == vm {
			next, _ := t.Successor(r.VM, usable)
			t.setLessor(r, next)
		}
	}
}
