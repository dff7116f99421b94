package shares

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Tick does the work that is due at now.
func (l *Ledger) Tick(now time.Duration) Actions {
	var a Actions
	l.renewLease(now, &a)
	l.advanceChange(now, &a)
	return a
}

// renewLease renews this VM's lease, and loads the table first.
func (l *Ledger) renewLease(now time.Duration, a *Actions) {
	if !l.loaded {
		l.requestRead(now, a)
		return
	}
	if l.readWanted {
		l.readWanted = false
		l.requestRead(now, a)
	}
	r, ok := l.ownRow()
	if !ok || r.Leaving || now < l.nextRequestAt {
		return
	}
	l.nextRequestAt = now + RenewInterval
	l.renewWithoutLessor(now, r)
	lapsed := l.leaseUntil <= now
	if lapsed {
		l.nextRequestAt = now + RenewInterval/4
	}
	if r.Lessor == "" || lapsed {
		// A VM whose lease has lapsed reads the table because it may have changed, and so
		// that the VM can confirm others whose leases have lapsed at the same time.
		l.requestRead(now, a)
	}
	if r.Lessor == "" {
		return
	}
	l.lastRequestID++
	for id, request := range l.pendingRequests {
		if now-request.sentAt > LeaseDuration {
			delete(l.pendingRequests, id)
		}
	}
	l.pendingRequests[l.lastRequestID] = pendingLeaseRequest{lessor: r.Lessor, sentAt: now}
	a.LeaseRequest, a.Lessor = &LeaseRequest{ID: l.lastRequestID, Version: l.version}, r.Lessor
}

// renewWithoutLessor renews the lease of a VM without a lessor: no other VM takes
// its share units before the platform has removed it. A lapsed lease, as after a
// pause, needs a read of the table, because the share units may have been reclaimed
// meanwhile.
func (l *Ledger) renewWithoutLessor(now time.Duration, own Row) {
	if own.Lessor == "" && l.leaseUntil > now && !l.lessorUncertain() {
		l.leaseUntil = now + LeaseDuration
	}
}

// lessorUncertain reports whether an unresolved write may have given this VM another
// lessor, whose term starts with that write.
func (l *Ledger) lessorUncertain() bool {
	if l.unresolved == nil {
		return false
	}
	before, _ := l.ownRow()
	after, ok := l.unresolved.write.Table.Row(l.self, l.incarnation)
	return !ok || after.Lessor != before.Lessor
}

// requestRead requests a read of the table, at most once per half of readValidity.
func (l *Ledger) requestRead(now time.Duration, a *Actions) {
	if now >= l.nextReadAt {
		l.nextReadAt = now + readValidity/2
		a.Read = true
	}
}

// HandleLeaseRequest decides on a lease request of a VM incarnation. It returns false
// when this VM may not confirm the lease.
func (l *Ledger) HandleLeaseRequest(now time.Duration, from ident.VMName, incarnation ident.Incarnation, request LeaseRequest) (LeaseGrant, bool) {
	r, ok := l.table.Row(from, incarnation)
	if !ok || r.Leaving || r.Lessor != l.self {
		// The sender may have a newer table.
		l.readWanted = l.readWanted || request.Version > l.version
		return LeaseGrant{}, false
	}
	if l.unresolved != nil && (l.unresolved.change == changeLeave || l.unresolved.reclaimed.belongsTo(from, incarnation)) {
		return LeaseGrant{}, false
	}
	_, has := l.ownRow()
	if !(has && l.leaseUntil > now) && now-l.readAt >= readValidity {
		l.readWanted = true
		return LeaseGrant{}, false
	}
	l.grantedAt[lesseeKey{r.VM, r.Incarnation, r.LessorTerm}] = now
	return LeaseGrant{ID: request.ID}, true
}

// HandleLeaseGrant extends the lease after a response of the lessor. While a change
// of the lessor is unresolved, only requests sent before that change count, because
// the new lessor may not know of later ones.
func (l *Ledger) HandleLeaseGrant(now time.Duration, from ident.VMName, grant LeaseGrant) {
	request, ok := l.pendingRequests[grant.ID]
	r, has := l.ownRow()
	if !ok || !has || request.lessor != from || r.Lessor != from {
		return
	}
	delete(l.pendingRequests, grant.ID)
	if l.unresolved != nil && l.unresolved.change == changeLessor && request.sentAt >= l.unresolved.startedAt {
		return
	}
	l.confirmedAt = now
	if until := request.sentAt + LeaseDuration; until > now {
		l.leaseUntil = max(l.leaseUntil, until)
	}
}
