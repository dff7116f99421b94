package shares

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// delegationHoldTime is the time for which a delegation stops the lender, counted from
	// the request. The borrower stops LoanValidity after it sent the request; the rest covers
	// differences between clocks and requests that are being admitted. It is shorter than
	// LoanHoldTime, because the whole rate waits for it after the borrower has died.
	delegationHoldTime = LoanValidity + 500*time.Millisecond
	// delegationInterval is the time between renewals. A grant outlives two lost ones.
	delegationInterval = 150 * time.Millisecond
	// minDelegationInterval is the time between requests for a missing delegation while a
	// request waits for tokens. It exceeds a round trip between regions.
	minDelegationInterval = 50 * time.Millisecond
	// delegationIdleTime is the time after the last demand for which the lead keeps its
	// delegations, since tokens above its own share are lost when they end.
	delegationIdleTime = 30 * time.Second
	// minOwnDemand, in tokens per second, is the demand at which a VM keeps its share or
	// asks for those of others although it does not lead, and ownDemandTime the time after
	// the last request for which it does so. The lead waits for its end when callers return.
	minOwnDemand  = 0.5
	ownDemandTime = 500 * time.Millisecond
	// refusalTime is the time for which a lender that refused a delegation is asked for
	// loans instead.
	refusalTime = time.Second
	// maxUnanswered is the number of requests in succession without a response after which
	// no delegation is expected of a lender.
	maxUnanswered = 2
)

// delegated is the state of a lender that has delegated its share. It accrues no tokens
// and has no capacity until heldUntil, after which the borrower has stopped using the
// share by any clock.
type delegated struct {
	to borrowerID
	// accrueFrom is the time from which the borrower accrues nothing.
	accrueFrom, heldUntil time.Duration
	rate                  float64 // lowest rate since the grant
}

// borrowerID identifies the process that has a delegation.
type borrowerID struct {
	vm          ident.VMName
	incarnation ident.Incarnation
	address     string // empty if not known
}

// replaces reports whether this process runs in the place of another one, which has ended
// then: only one at a time listens on an address.
func (id borrowerID) replaces(other borrowerID) bool {
	return id.vm == other.vm && id.address != "" && id.address == other.address && id.incarnation > other.incarnation
}

// grant is a delegation to this VM.
type grant struct {
	rate, burst float64
	until       time.Duration
}

// request is the last request to a lender for a delegation.
type request struct {
	id           uint64
	sentAt       time.Duration
	answered     bool
	unanswered   int // requests in succession
	refusedUntil time.Duration
}

// DelegationRequest requests the whole share of a lender for a time, or its renewal.
type DelegationRequest struct {
	ID           uint64                 `cbor:"1,keyasint"`
	Organisation ident.OrganisationName `cbor:"2,keyasint"`
}

// Delegation passes a lender's tokens, rate and burst to the borrower until LoanValidity
// after the sending of the request. Rate is zero if the lender refuses.
type Delegation struct {
	ID           uint64                 `cbor:"1,keyasint"`
	Organisation ident.OrganisationName `cbor:"2,keyasint"`
	Tokens       float64                `cbor:"3,keyasint,omitempty"`
	Rate         float64                `cbor:"4,keyasint,omitempty"`
	Burst        float64                `cbor:"5,keyasint,omitempty"`
}

// accrueOwn returns the tokens that the VM's own share has accrued since accruedAt.
func (b *Bucket) accrueOwn(now time.Duration) float64 {
	d := &b.delegated
	switch {
	case d.heldUntil == 0:
		return b.rate * (now - b.accruedAt).Seconds()
	case now < d.heldUntil:
		return 0
	}
	accrued := d.rate * max(0, d.heldUntil-d.accrueFrom).Seconds()
	accrued = min(accrued, b.burst) + b.rate*(now-max(d.heldUntil, b.accruedAt)).Seconds()
	b.delegated = delegated{}
	return accrued
}

// accrueGrants returns the tokens that the delegations have accrued, and removes those
// that have ended.
func (b *Bucket) accrueGrants(now time.Duration) float64 {
	accrued := 0.0
	for lender, g := range b.grants {
		accrued += g.rate * max(0, min(now, g.until)-b.accruedAt).Seconds()
		if now >= g.until {
			delete(b.grants, lender)
		}
	}
	return accrued
}

// Delegate passes the share of this VM to a borrower, or renews the delegation. The VM
// that has it keeps it until it stops renewing it.
func (b *Bucket) Delegate(now time.Duration, from ident.VMName, incarnation ident.Incarnation, address string) Delegation {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	d := &b.delegated
	if !b.delegable || now >= b.usableUntil || !(b.rate > 0) {
		return Delegation{}
	}
	id, tokens := borrowerID{from, incarnation, address}, b.tokens
	switch held := now < d.heldUntil; {
	case held && id == d.to:
		tokens = d.rate * max(0, now-d.accrueFrom).Seconds()
	case held && id.replaces(d.to):
		tokens = 0
	case held, len(b.grants) > 0, b.hasOwnDemand(now):
		return Delegation{}
	}
	burst := max(0, b.burst-b.lent())
	b.tokens = 0
	b.delegated = delegated{to: id, accrueFrom: now + LoanValidity, heldUntil: now + delegationHoldTime, rate: b.rate}
	return Delegation{Tokens: min(tokens, burst), Rate: b.rate, Burst: burst}
}

// DelegationRequests returns the lenders to request delegations from, with the
// identifiers of the requests. A request of a client waits for tokens if urgent is set.
func (b *Bucket) DelegationRequests(now time.Duration, urgent bool, peers []candidate, newID func() uint64) map[ident.VMName]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.delegable || now >= b.usableUntil {
		return nil
	}
	b.advance(now)
	if now < b.delegated.heldUntil || !b.wantsDelegations(now) {
		return nil
	}
	b.forgetFormerLenders(peers)
	var out map[ident.VMName]uint64
	for _, p := range peers {
		r, known := b.requested[p.name]
		if known && !b.delegationDue(now, urgent, p.name, r) {
			continue
		}
		if out == nil {
			out = map[ident.VMName]uint64{}
		}
		if !known {
			r = &request{answered: true}
			b.requested[p.name] = r
		}
		if !r.answered {
			r.unanswered++
		}
		r.id, r.sentAt, r.answered = newID(), now, false
		out[p.name] = r.id
	}
	return out
}

// forgetFormerLenders removes the requests to VMs that hold no shares any more.
func (b *Bucket) forgetFormerLenders(peers []candidate) {
	maps.DeleteFunc(b.requested, func(name ident.VMName, _ *request) bool {
		return !slices.ContainsFunc(peers, func(p candidate) bool { return p.name == name })
	})
}

// wantsDelegations reports whether this VM serves the demand of the organisation.
func (b *Bucket) wantsDelegations(now time.Duration) bool {
	if b.lead {
		return b.steady > 0 && now < b.demandedAt+delegationIdleTime
	}
	return b.hasOwnDemand(now)
}

// hasOwnDemand reports whether callers have asked this VM regularly until now.
func (b *Bucket) hasOwnDemand(now time.Duration) bool {
	b.decayDemand(now)
	return b.steady >= minOwnDemand && now < b.demandedAt+ownDemandTime
}

// delegationDue reports whether a request to a lender is due. Renewals of all
// organisations fall into the same intervals, so that one message carries them.
func (b *Bucket) delegationDue(now time.Duration, urgent bool, lender ident.VMName, r *request) bool {
	if _, granted := b.grants[lender]; urgent && !granted && now >= r.sentAt+minDelegationInterval {
		return true
	}
	return now/delegationInterval > r.sentAt/delegationInterval
}

// CreditDelegation adds a delegation. It returns false if it adds nothing.
func (b *Bucket) CreditDelegation(now time.Duration, from ident.VMName, d Delegation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	r, ok := b.requested[from]
	if !ok || r.answered || r.id != d.ID {
		return false
	}
	r.answered, r.unanswered = true, 0
	if !(d.Rate > 0) || !(d.Burst >= 0) || !(d.Tokens >= 0) {
		r.refusedUntil = now + refusalTime
		return false
	}
	until := r.sentAt + LoanValidity
	if now >= until {
		return false
	}
	b.grants[from] = &grant{rate: d.Rate, burst: d.Burst, until: until}
	b.tokens += min(d.Tokens, d.Burst)
	b.advance(now)
	return true
}

// loanCandidates returns the VMs to borrow from. Those that can delegate their share are
// asked for loans only after a refusal, or without a response: a VM of an earlier version
// responds to a request for a loan alone.
func (b *Bucket) loanCandidates(now time.Duration, peers []candidate) []candidate {
	if !b.delegable {
		return peers
	}
	var out []candidate
	for _, p := range peers {
		_, granted := b.grants[p.name]
		if r, ok := b.requested[p.name]; ok && !granted && (now < r.refusedUntil || r.unanswered >= maxUnanswered) {
			out = append(out, p)
		}
	}
	return out
}

// delegationUnderWay reports whether a requested delegation may still arrive, and
// otherwise the earliest time of the next request for a missing one.
func (b *Bucket) delegationUnderWay(now time.Duration) (underWay bool, next time.Duration) {
	next = now + maxRetryAfter
	if !b.delegable {
		return false, next
	}
	for lender, r := range b.requested {
		if _, granted := b.grants[lender]; granted {
			continue
		}
		if !r.answered && r.unanswered < maxUnanswered && now < r.sentAt+pendingTimeout {
			underWay = true
		}
		next = min(next, r.sentAt+minDelegationInterval)
	}
	return underWay, next
}
