package shares

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// planEvery is the least time between writes of one VM; a random part of it is
	// added so that VMs do not collide.
	planEvery = time.Second
	// planPatience is the time after which a gift that could not be written, as in
	// an outage of the platform, is taken back.
	planPatience = 5 * time.Second
	// lessorPatience is the time for which a lessor must be gone before a VM names
	// another one.
	lessorPatience = 3 * time.Second
	// confirmPatience is the time without a confirmation after which a VM names
	// another lessor although the view has the present one as alive. It leaves time
	// for the write before the lease ends.
	confirmPatience = 6 * time.Second
)

func (l *Ledger) delayPlan(now time.Duration) {
	l.nextPlan = now + planEvery + time.Duration(l.rng.Int64N(int64(planEvery)))
}

// change begins or continues a change of the table.
func (l *Ledger) change(now time.Duration, a *Actions) {
	switch {
	case !l.loaded:
	case l.doubt != nil:
		l.retry(now, a)
	case l.plan != nil:
		l.followPlan(now, a)
	case now >= l.nextPlan:
		l.newChange(now, a)
	}
}

// retry repeats an unresolved write until its result is certain.
func (l *Ledger) retry(now time.Duration, a *Actions) {
	if now >= l.doubt.retry {
		l.doubt.retry = now + planEvery
		write := l.doubt.write
		a.Write = &write
	}
}

// followPlan writes a gift once all loans have ended.
func (l *Ledger) followPlan(now time.Duration, a *Actions) {
	if now < l.plan.ready {
		return
	}
	if now > l.plan.ready+planPatience && l.plan.what != changeLeave {
		l.plan, l.held = nil, 0
		l.delayPlan(now)
		return
	}
	if l.plan.what == changeLeave {
		if t, ok := l.leaveTable(); ok && l.fresh(now, a) {
			l.write(now, a, changeLeave, Row{}, t, "this VM stops")
		}
		return
	}
	if !l.fresh(now, a) {
		return
	}
	t, given, why := l.gift()
	if given == 0 || given > l.held {
		l.plan, l.held = nil, 0
		l.delayPlan(now)
		return
	}
	l.write(now, a, changeGive, Row{}, t, why)
}

// fresh reports whether the table was just read, so that a write is likely to
// succeed; otherwise it asks for a read.
func (l *Ledger) fresh(now time.Duration, a *Actions) bool {
	if now-l.readAt < readProof {
		return true
	}
	l.read(now, a)
	return false
}

func (l *Ledger) write(now time.Duration, a *Actions, what change, row Row, t Table, why string) {
	t.Writer = l.writerName()
	l.last = fmt.Sprintf("%s: %s", what, why)
	l.doubt = &unresolved{what: what, row: row, write: Write{Table: t, BaseVersion: l.version}, started: now, retry: now + 2*planEvery}
	w := l.doubt.write
	a.Write = &w
	l.delayPlan(now)
}

// newChange looks for a change that this VM should make.
func (l *Ledger) newChange(now time.Duration, a *Actions) {
	what, row, t, why := l.due(now)
	if t.Rows != nil {
		if l.fresh(now, a) {
			l.write(now, a, what, row, t, why)
		}
		return
	}
	_, given, _ := l.gift()
	if given > 0 && l.fresh(now, a) {
		l.held = given
		l.plan = &plan{what: changeGive, ready: now + LoanHoldTime}
	}
}

// due returns a change that needs no preparation, and the row that it reclaims; no
// rows when there is none.
func (l *Ledger) due(now time.Duration) (change, Row, Table, string) {
	if l.version == 0 {
		row := Row{VM: l.self, Incarnation: l.incarnation, ShareUnits: TotalShareUnits}
		return changeCreate, Row{}, Table{Rows: []Row{row}}, "the zone has no table"
	}
	for _, r := range l.table.Rows {
		since, mine := l.granted[lesseeKey{r.VM, r.Incarnation, r.LessorTerm}]
		if mine && r.Lessor == l.self && !l.present(r) && now-since >= LeaseDuration+GuardInterval {
			return changeReclaim, r, l.reclaimTable(r), fmt.Sprintf("%s/%d has held no lease for %s", r.VM, r.Incarnation, LeaseDuration+GuardInterval)
		}
	}
	if t, why := l.lessorTable(now); t.Rows != nil {
		return changeLessor, Row{}, t, why
	}
	t, why := l.registerTable(now)
	return changeRegister, Row{}, t, why
}

// reclaimTable removes a row and adds its parts to this VM's.
func (l *Ledger) reclaimTable(r Row) Table {
	t := l.table.clone()
	t.remove(r, l.alive)
	own, ok := t.Row(l.self, l.incarnation)
	if !ok {
		own = Row{VM: l.self, Incarnation: l.incarnation}
		own.Lessor, _ = t.Successor(l.self, l.alive)
	}
	own.ShareUnits += r.ShareUnits
	t.set(own)
	return t
}

// lessorTable names another lessor when the present one is gone. A VM without
// another live VM in the table gets no lessor.
func (l *Ledger) lessorTable(now time.Duration) (Table, string) {
	own, ok := l.own()
	if !ok {
		return Table{}, ""
	}
	next, found := l.table.Successor(l.self, func(vm ident.VMName) bool { return l.alive(vm) && vm != own.Lessor })
	why := "another VM has joined"
	switch {
	case own.Lessor == "" && !found:
		return Table{}, ""
	case own.Lessor == "":
	case !l.table.Contains(own.Lessor) || l.gone(now, own.Lessor):
		why = fmt.Sprintf("lessor %s is gone", own.Lessor)
	case now-l.confirmed >= confirmPatience:
		why = fmt.Sprintf("lessor %s does not answer", own.Lessor)
	default:
		return Table{}, ""
	}
	t := l.table.clone()
	t.setLessor(own, next)
	return t, why
}

// registerTable makes this VM the lessor of a VM that has been removed and has no
// lessor or one that has been removed as well, so that its parts can be reclaimed.
// That it is not alive in the view proves nothing: it may keep its parts while it is
// cut off from this VM and from the platform.
func (l *Ledger) registerTable(now time.Duration) (Table, string) {
	for _, r := range l.table.Rows {
		if l.present(r) || !l.removed(r) || !l.without(r.Lessor) || r.VM != l.self && !l.gone(now, r.VM) {
			continue
		}
		t := l.table.clone()
		t.setLessor(r, l.self)
		return t, fmt.Sprintf("%s/%d has no lessor and was removed", r.VM, r.Incarnation)
	}
	return Table{}, ""
}

// without reports whether there is no lessor: none is named, or all its rows are of
// removed VMs.
func (l *Ledger) without(lessor ident.VMName) bool {
	if lessor == "" {
		return true
	}
	return !l.alive(lessor) && !slices.ContainsFunc(l.table.Rows, func(r Row) bool { return r.VM == lessor && !l.removed(r) })
}

// gift returns the table after this VM, when it holds the most parts, has given
// some to new VMs or to the VM with the fewest; zero parts when there is no need.
func (l *Ledger) gift() (Table, uint32, string) {
	own, ok := l.own()
	if !ok || own.ShareUnits < 2 || l.leaving {
		return Table{}, 0, ""
	}
	poorest := own
	for _, r := range l.table.Rows {
		if !l.present(r) {
			continue
		}
		if r.ShareUnits > own.ShareUnits || r.ShareUnits == own.ShareUnits && r.VM < own.VM {
			return Table{}, 0, ""
		}
		if r.ShareUnits < poorest.ShareUnits && !r.Leaving {
			poorest = r
		}
	}
	if joining := l.joining(); len(joining) > 0 {
		return l.giftToNew(own, joining)
	}
	difference := own.ShareUnits - poorest.ShareUnits
	if difference <= own.ShareUnits/3 {
		return Table{}, 0, ""
	}
	t := l.table.clone()
	own.ShareUnits -= difference / 2
	poorest.ShareUnits += difference / 2
	t.set(own)
	t.set(poorest)
	return t, difference / 2, fmt.Sprintf("%s has fewer parts", poorest.VM)
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

func (l *Ledger) giftToNew(own Row, joining []Peer) (Table, uint32, string) {
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
	// The rows of other VMs stay as they are: one without a lessor may be in use by a
	// VM that does not see this write.
	for _, r := range slices.Clone(t.Rows) {
		_, old := l.table.Row(r.VM, r.Incarnation)
		if next, ok := t.Successor(r.VM, l.alive); ok && r.Lessor == "" && (!old || r.is(l.self, l.incarnation)) {
			t.setLessor(r, next)
		}
	}
	return t, given, fmt.Sprintf("%d VMs have joined", len(joining))
}

// leaveTable gives all parts to the lessor, or to another live VM. The empty row
// stays until the lessor removes it, so that no parts are given to this VM again.
func (l *Ledger) leaveTable() (Table, bool) {
	own, ok := l.own()
	if !ok || own.Leaving {
		return Table{}, false
	}
	t := l.table.clone()
	heir := -1
	for i, r := range t.Rows {
		if r.VM != l.self && !r.Leaving && l.present(r) && (heir < 0 || r.VM == own.Lessor) {
			heir = i
		}
	}
	if heir < 0 {
		return Table{}, false
	}
	t.Rows[heir].ShareUnits += own.ShareUnits
	own.ShareUnits, own.Leaving = 0, true
	t.set(own)
	t.release(l.self, l.alive)
	return t, true
}
