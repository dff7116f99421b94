package shares

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Tick does the work that is due at now.
func (l *Ledger) Tick(now time.Duration) Actions {
	var a Actions
	l.renew(now, &a)
	l.change(now, &a)
	return a
}

// renew keeps this VM's lease.
func (l *Ledger) renew(now time.Duration, a *Actions) {
	if !l.loaded {
		l.read(now, a)
		return
	}
	if l.wantRead {
		l.wantRead = false
		l.read(now, a)
	}
	r, ok := l.own()
	if !ok || r.Leaving || now < l.nextAsk {
		return
	}
	l.nextAsk = now + RenewInterval
	l.keepAlone(now, r)
	lapsed := l.leaseUntil <= now
	if lapsed {
		l.nextAsk = now + RenewInterval/4
	}
	if r.Lessor == "" || lapsed {
		// A lapsed VM reads the table because it may have changed, and so that it can
		// confirm the parts of others whose leases have lapsed at the same time.
		l.read(now, a)
	}
	if r.Lessor == "" {
		return
	}
	l.lastAsk++
	for id, old := range l.asks {
		if now-old.at > LeaseDuration {
			delete(l.asks, id)
		}
	}
	l.asks[l.lastAsk] = leaseAsk{to: r.Lessor, at: now}
	a.LeaseRequest, a.Lessor = &LeaseRequest{ID: l.lastAsk, Version: l.version}, r.Lessor
}

// keepAlone renews the lease of a VM without a lessor: no other VM takes its parts
// before the platform has removed it. A lapsed lease, as after a pause, needs a read
// of the table, because the parts may have been taken meanwhile.
func (l *Ledger) keepAlone(now time.Duration, own Row) {
	if own.Lessor == "" && l.leaseUntil > now && !l.lessorInDoubt() {
		l.leaseUntil = now + LeaseDuration
	}
}

// lessorInDoubt reports whether an unresolved write may have given this VM another
// lessor, which counts from that write.
func (l *Ledger) lessorInDoubt() bool {
	if l.doubt == nil {
		return false
	}
	before, _ := l.own()
	after, ok := l.doubt.write.Table.Row(l.self, l.incarnation)
	return !ok || after.Lessor != before.Lessor
}

// read asks for the table, at most once in half the time that a read is a proof.
func (l *Ledger) read(now time.Duration, a *Actions) {
	if now >= l.nextRead {
		l.nextRead = now + readProof/2
		a.Read = true
	}
}

// HandleLeaseRequest decides on a lease request of a VM incarnation.
func (l *Ledger) HandleLeaseRequest(now time.Duration, from ident.VMName, incarnation ident.Incarnation, q LeaseRequest) (LeaseGrant, bool) {
	r, ok := l.table.Row(from, incarnation)
	if !ok || r.Leaving || r.Lessor != l.self {
		// The table of the sender may be newer.
		l.wantRead = l.wantRead || q.Version > l.version
		return LeaseGrant{}, false
	}
	if l.doubt != nil && (l.doubt.what == changeLeave || l.doubt.row.is(from, incarnation)) {
		return LeaseGrant{}, false
	}
	_, has := l.own()
	if !(has && l.leaseUntil > now) && now-l.readAt >= readProof {
		l.wantRead = true
		return LeaseGrant{}, false
	}
	l.granted[lesseeKey{r.VM, r.Incarnation, r.LessorTerm}] = now
	return LeaseGrant{ID: q.ID}, true
}

// HandleLeaseGrant takes the lessor's answer. While a change of the lessor is
// unresolved, only requests from before that change count, since the new lessor
// may not know of later ones.
func (l *Ledger) HandleLeaseGrant(now time.Duration, from ident.VMName, g LeaseGrant) {
	asked, ok := l.asks[g.ID]
	r, has := l.own()
	if !ok || !has || asked.to != from || r.Lessor != from {
		return
	}
	delete(l.asks, g.ID)
	if l.doubt != nil && l.doubt.what == changeLessor && asked.at >= l.doubt.started {
		return
	}
	l.confirmed = now
	if until := asked.at + LeaseDuration; until > now {
		l.leaseUntil = max(l.leaseUntil, until)
	}
}
