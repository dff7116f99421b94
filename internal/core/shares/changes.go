package shares

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// minPlanInterval is the shortest time between changes that one VM starts. A random
	// time of up to the same length is added so that VMs do not collide.
	minPlanInterval = time.Second
	// planTimeout is the time after which a planned change that could not be written, as
	// in a platform outage, is dropped and its share units are used again.
	planTimeout = 5 * time.Second
	// lessorGoneTimeout is the time for which a lessor must be gone before a VM names
	// another one.
	lessorGoneTimeout = 3 * time.Second
	// confirmationTimeout is the time without a confirmation after which a VM names
	// another lessor although the present one is alive in the membership view. It
	// leaves time for the write before the lease ends.
	confirmationTimeout = 6 * time.Second
)

func (l *Ledger) delayNextPlan(now time.Duration) {
	l.nextPlanAt = now + minPlanInterval + time.Duration(l.rng.Int64N(int64(minPlanInterval)))
}

// advanceChange starts or continues a change of the table.
func (l *Ledger) advanceChange(now time.Duration, a *Actions) {
	switch {
	case !l.loaded:
	case l.unresolved != nil:
		l.retryWrite(now, a)
	case l.plan != nil:
		l.executePlan(now, a)
	case now >= l.nextPlanAt:
		l.startChange(now, a)
	}
}

// retryWrite repeats an unresolved write until its result is certain.
func (l *Ledger) retryWrite(now time.Duration, a *Actions) {
	if now >= l.unresolved.retryAt {
		l.unresolved.retryAt = now + minPlanInterval
		write := l.unresolved.write
		a.Write = &write
	}
}

// executePlan writes the planned change once all loans have ended.
func (l *Ledger) executePlan(now time.Duration, a *Actions) {
	if now < l.plan.readyAt {
		return
	}
	if now > l.plan.readyAt+planTimeout && l.plan.change != changeLeave {
		l.plan, l.withheld = nil, 0
		l.delayNextPlan(now)
		return
	}
	if l.plan.change == changeLeave {
		if t, ok := l.leaveTable(); ok && l.tableFresh(now, a) {
			l.startWrite(now, a, changeLeave, Row{}, t, "this VM stops")
		}
		return
	}
	if !l.tableFresh(now, a) {
		return
	}
	t, given, reason := l.giveTable()
	if given == 0 || given > l.withheld {
		l.plan, l.withheld = nil, 0
		l.delayNextPlan(now)
		return
	}
	l.startWrite(now, a, changeGive, Row{}, t, reason)
}

// tableFresh reports whether the table was just read, so that a write is likely to
// succeed. Otherwise it requests a read.
func (l *Ledger) tableFresh(now time.Duration, a *Actions) bool {
	if now-l.readAt < readValidity {
		return true
	}
	l.requestRead(now, a)
	return false
}

func (l *Ledger) startWrite(now time.Duration, a *Actions, kind change, reclaimed Row, t Table, reason string) {
	t.Writer = l.nextWriterID()
	l.lastDecision = fmt.Sprintf("%s: %s", kind, reason)
	l.unresolved = &unresolvedWrite{change: kind, reclaimed: reclaimed, write: Write{Table: t, BaseVersion: l.version}, startedAt: now, retryAt: now + 2*minPlanInterval}
	w := l.unresolved.write
	a.Write = &w
	l.delayNextPlan(now)
}

// startChange looks for a change that this VM should make.
func (l *Ledger) startChange(now time.Duration, a *Actions) {
	kind, reclaimed, t, reason := l.dueChange(now)
	if t.Rows != nil {
		if l.tableFresh(now, a) {
			l.startWrite(now, a, kind, reclaimed, t, reason)
		}
		return
	}
	_, units, _ := l.giveTable()
	if units > 0 && l.tableFresh(now, a) {
		l.withheld = units
		l.plan = &plan{change: changeGive, readyAt: now + LoanHoldTime}
	}
}

// dueChange returns a change that needs no waiting for loans, the row that it
// reclaims, the new table and the reason. The table has no rows when no change is
// due.
func (l *Ledger) dueChange(now time.Duration) (change, Row, Table, string) {
	if l.version == 0 {
		row := Row{VM: l.self, Incarnation: l.incarnation, ShareUnits: TotalShareUnits}
		return changeCreate, Row{}, Table{Rows: []Row{row}}, "the zone has no table"
	}
	for _, r := range l.table.Rows {
		since, mine := l.grantedAt[lesseeKey{r.VM, r.Incarnation, r.LessorTerm}]
		if mine && r.Lessor == l.self && !l.isPresent(r) && now-since >= LeaseDuration+GuardInterval {
			return changeReclaim, r, l.reclaimTable(r), fmt.Sprintf("%s/%d has held no lease for %s", r.VM, r.Incarnation, LeaseDuration+GuardInterval)
		}
	}
	if t, reason := l.lessorTable(now); t.Rows != nil {
		return changeLessor, Row{}, t, reason
	}
	t, reason := l.registerTable(now)
	return changeRegister, Row{}, t, reason
}

// reclaimTable removes a row and adds its share units to those of this VM.
func (l *Ledger) reclaimTable(r Row) Table {
	t := l.table.clone()
	t.remove(r, l.isAlive)
	own, ok := t.Row(l.self, l.incarnation)
	if !ok {
		own = Row{VM: l.self, Incarnation: l.incarnation}
		own.Lessor, _ = t.Successor(l.self, l.isAlive)
	}
	own.ShareUnits += r.ShareUnits
	t.set(own)
	return t
}

// lessorTable names another lessor when the present one is gone or does not respond.
// A VM without another live VM in the table gets no lessor.
func (l *Ledger) lessorTable(now time.Duration) (Table, string) {
	own, ok := l.ownRow()
	if !ok {
		return Table{}, ""
	}
	next, found := l.table.Successor(l.self, func(vm ident.VMName) bool { return l.isAlive(vm) && vm != own.Lessor })
	reason := "another VM has joined"
	switch {
	case own.Lessor == "" && !found:
		return Table{}, ""
	case own.Lessor == "":
	case !l.table.Contains(own.Lessor) || l.isGone(now, own.Lessor):
		reason = fmt.Sprintf("lessor %s is gone", own.Lessor)
	case now-l.confirmedAt >= confirmationTimeout:
		reason = fmt.Sprintf("lessor %s does not respond", own.Lessor)
	default:
		return Table{}, ""
	}
	t := l.table.clone()
	t.setLessor(own, next)
	return t, reason
}

// registerTable makes this VM the lessor of a VM that has been removed and has no
// lessor or one that has been removed as well, so that its share units can be
// reclaimed. A VM that is only not alive in the membership view does not qualify: it
// may keep using its share units while it is disconnected from this VM and from the
// platform.
func (l *Ledger) registerTable(now time.Duration) (Table, string) {
	for _, r := range l.table.Rows {
		if l.isPresent(r) || !l.isRemoved(r) || !l.lacksLessor(r.Lessor) || r.VM != l.self && !l.isGone(now, r.VM) {
			continue
		}
		t := l.table.clone()
		t.setLessor(r, l.self)
		return t, fmt.Sprintf("%s/%d has no lessor and was removed", r.VM, r.Incarnation)
	}
	return Table{}, ""
}

// lacksLessor reports whether a row with this lessor has none in fact: no lessor is
// named, or it is not alive and all its rows are of removed VM incarnations.
func (l *Ledger) lacksLessor(lessor ident.VMName) bool {
	if lessor == "" {
		return true
	}
	return !l.isAlive(lessor) && !slices.ContainsFunc(l.table.Rows, func(r Row) bool { return r.VM == lessor && !l.isRemoved(r) })
}

// giveTable returns the table in which this VM, if it has the most share units, has
// given some to new VMs or to the VM with the fewest. The number of share units is
// zero when there is none to give.
func (l *Ledger) giveTable() (Table, uint32, string) {
	own, ok := l.ownRow()
	if !ok || own.ShareUnits < 2 || l.leaving {
		return Table{}, 0, ""
	}
	smallest := own
	for _, r := range l.table.Rows {
		if !l.isPresent(r) {
			continue
		}
		if r.ShareUnits > own.ShareUnits || r.ShareUnits == own.ShareUnits && r.VM < own.VM {
			return Table{}, 0, ""
		}
		if r.ShareUnits < smallest.ShareUnits && !r.Leaving {
			smallest = r
		}
	}
	if joining := l.joining(); len(joining) > 0 {
		return l.giveTableToJoining(own, joining)
	}
	difference := own.ShareUnits - smallest.ShareUnits
	if difference <= own.ShareUnits/3 {
		return Table{}, 0, ""
	}
	t := l.table.clone()
	own.ShareUnits -= difference / 2
	smallest.ShareUnits += difference / 2
	t.set(own)
	t.set(smallest)
	return t, difference / 2, fmt.Sprintf("%s has fewer share units", smallest.VM)
}

// joining returns the live VM incarnations without a row, ordered by name.
func (l *Ledger) joining() []Peer {
	var out []Peer
	for _, p := range l.peers {
		if _, listed := l.table.Row(p.Name, p.Incarnation); p.Alive && p.Incarnation != 0 && !listed {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(p, q Peer) int { return cmp.Compare(p.Name, q.Name) })
	return out
}

func (l *Ledger) giveTableToJoining(own Row, joining []Peer) (Table, uint32, string) {
	t := l.table.clone()
	each := own.ShareUnits / uint32(len(joining)+1)
	if each == 0 {
		return Table{}, 0, ""
	}
	for _, p := range joining {
		t.set(Row{VM: p.Name, Incarnation: p.Incarnation, ShareUnits: each})
	}
	given := each * uint32(len(joining))
	own.ShareUnits -= given
	t.set(own)
	// The rows of other VMs get no lessor: a row without one may be in use by a VM that
	// does not see this write.
	for _, r := range slices.Clone(t.Rows) {
		_, old := l.table.Row(r.VM, r.Incarnation)
		if next, ok := t.Successor(r.VM, l.isAlive); ok && r.Lessor == "" && (!old || r.belongsTo(l.self, l.incarnation)) {
			t.setLessor(r, next)
		}
	}
	return t, given, fmt.Sprintf("%d VMs have joined", len(joining))
}

// leaveTable gives all share units to the lessor, or to another live VM. The empty
// row stays until the lessor removes it, so that this VM is not given share units
// again.
func (l *Ledger) leaveTable() (Table, bool) {
	own, ok := l.ownRow()
	if !ok || own.Leaving {
		return Table{}, false
	}
	t := l.table.clone()
	recipient := -1
	for i, r := range t.Rows {
		if r.VM != l.self && !r.Leaving && l.isPresent(r) && (recipient < 0 || r.VM == own.Lessor) {
			recipient = i
		}
	}
	if recipient < 0 {
		return Table{}, false
	}
	t.Rows[recipient].ShareUnits += own.ShareUnits
	own.ShareUnits, own.Leaving = 0, true
	t.set(own)
	t.reassignLessees(l.self, l.isAlive)
	return t, true
}
