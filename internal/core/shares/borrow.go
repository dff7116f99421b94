package shares

import (
	"sort"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Limits of borrowing.
const (
	// maxLendersPerRound is the number of VMs that one round sends requests to.
	maxLendersPerRound = 4
	// minRoundInterval and maxRoundInterval bound the time between rounds. A round that
	// yields little doubles it, because an organisation above its rate finds no VM with
	// spare tokens.
	minRoundInterval = 25 * time.Millisecond
	maxRoundInterval = 400 * time.Millisecond
	// scarceInterval is the interval from which on other VMs are taken to have no spare
	// tokens: two rounds in succession yielded little.
	scarceInterval = 4 * minRoundInterval
	// pendingTimeout is the time after which a request without a response no longer
	// counts as supply. It exceeds a round trip between regions.
	pendingTimeout = 60 * time.Millisecond
	// exhaustedTime is the time for which a lender that granted less than half of a
	// request is chosen only after the others.
	exhaustedTime = 300 * time.Millisecond
	// minTransferAmount, in tokens, avoids transfers that cost more than they help.
	minTransferAmount = 1.0
	// returnTime is the time before the end of a transfer from which on its surplus is
	// returned. It covers a trip to the lender and another loan.
	returnTime = LoanValidity / 2
	// reportDelay is the time after which finished credits are reported in a message
	// of their own instead of with the next request to the lender.
	reportDelay = 250 * time.Millisecond
)

// pendingTransfer is a requested transfer without a response.
type pendingTransfer struct {
	to     ident.VMName
	sentAt time.Duration
	amount float64
}

// lender is what a borrower records about another VM.
type lender struct {
	requestedAt    time.Duration
	exhaustedUntil time.Duration
}

// borrower is the state of a bucket that requests transfers.
type borrower struct {
	pending     map[uint64]pendingTransfer
	lenders     map[ident.VMName]*lender
	nextRoundAt time.Duration
	urgentAt    time.Duration // of the next round if a request lacks tokens
	interval    time.Duration
	requested   float64 // tokens, by the last round
	received    float64 // tokens, since the last round
	candidates  []candidate
}

func newBorrower() borrower {
	return borrower{pending: map[uint64]pendingTransfer{}, lenders: map[ident.VMName]*lender{}, interval: minRoundInterval}
}

// Transfer is an amount of tokens of one organisation that a borrower requests or a
// lender grants.
type Transfer struct {
	ID           uint64                 `cbor:"1,keyasint"`
	Organisation ident.OrganisationName `cbor:"2,keyasint"`
	Amount       float64                `cbor:"3,keyasint"`
}

// SpentReport reports the amount of a transfer that was spent or can no longer be
// spent.
type SpentReport struct {
	ID           uint64                 `cbor:"1,keyasint"`
	Organisation ident.OrganisationName `cbor:"2,keyasint"`
	Amount       float64                `cbor:"3,keyasint"`
	// Returned is the part of Amount that the borrower gives back.
	Returned float64 `cbor:"4,keyasint,omitempty"`
}

// BorrowRequest is sent by a borrower to a lender.
type BorrowRequest struct {
	Transfers    []Transfer    `cbor:"1,keyasint,omitempty"`
	SpentReports []SpentReport `cbor:"2,keyasint,omitempty"`
	// Delegations are requested by the VM that serves a delegable organisation.
	Delegations []DelegationRequest `cbor:"3,keyasint,omitempty"`
	// Address is that of the borrower. The receiver fills it in from the connection.
	Address string `cbor:"-"`
}

// BorrowResponse responds to the transfers of a BorrowRequest. An amount of zero
// means that the lender has no tokens to spare.
type BorrowResponse struct {
	Grants []Transfer `cbor:"1,keyasint"`
	// ConfigurationVersion is the version that the lender's entitlement is based on. A
	// borrower with a newer version credits nothing, because the lender may not know of
	// a lower rate.
	ConfigurationVersion ident.ConfigurationVersion `cbor:"2,keyasint"`
	Delegations          []Delegation               `cbor:"3,keyasint,omitempty"`
}

// candidate is a VM that may lend tokens.
type candidate struct {
	name     ident.VMName
	sameZone bool
}

// RequestTransfers returns the transfers to request from other VMs when the bucket
// is about to run out of tokens, or when a waiting request needs some. newID returns
// identifiers that this incarnation never uses again.
func (b *Bucket) RequestTransfers(now time.Duration, needed float64, peers []candidate, newID func() uint64) map[ident.VMName]Transfer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	peers = b.loanCandidates(now, peers)
	b.borrower.candidates = peers
	if now < b.borrower.urgentAt || len(peers) == 0 {
		return nil
	}
	for _, w := range b.waiting {
		needed += w.tokens
	}
	if now < b.borrower.nextRoundAt && b.tokens+b.borrowed() >= needed {
		return nil
	}
	missing := b.missingTokens(now, needed)
	if missing <= 0 {
		return nil
	}
	b.scheduleRound(now, missing)
	chosen := b.chooseLenders(now, peers)
	out := make(map[ident.VMName]Transfer, len(chosen))
	for _, name := range chosen {
		t := Transfer{ID: newID(), Amount: max(minTransferAmount, missing/float64(len(chosen)))}
		b.borrower.pending[t.ID] = pendingTransfer{to: name, sentAt: now, amount: t.Amount}
		out[name] = t
	}
	return out
}

// missingTokens returns the tokens missing for the demand of the next horizon. It
// returns zero while half of the demand is covered, which keeps rounds large and
// rare.
func (b *Bucket) missingTokens(now time.Duration, needed float64) float64 {
	pending := 0.0
	for id, p := range b.borrower.pending {
		if now-p.sentAt >= LoanValidity {
			delete(b.borrower.pending, id)
		} else if now-p.sentAt < pendingTimeout {
			pending += p.amount
		}
	}
	supply := b.tokens + b.borrowed() + pending
	deficit := b.demandDeficit(now)
	if supply >= deficit/2 && supply >= needed {
		return 0
	}
	return max(deficit, needed, minTransferAmount) - supply
}

// exhausted reports whether a lender granted less than half of a recent request.
func (b *Bucket) exhausted(now time.Duration, name ident.VMName) bool {
	l, ok := b.borrower.lenders[name]
	return ok && l.exhaustedUntil > now
}

// loansUnderWay returns the tokens requested from lenders that may have some.
func (b *Bucket) loansUnderWay(now time.Duration) float64 {
	sum := 0.0
	for _, p := range b.borrower.pending {
		if now-p.sentAt < pendingTimeout && !b.exhausted(now, p.to) {
			sum += p.amount
		}
	}
	return sum
}

// loansExpected reports whether an amount of tokens that is not known yet may arrive by
// a deadline. Rounds at the longest interval follow several that yielded little.
func (b *Bucket) loansExpected(now, deadline time.Duration) bool {
	if underWay, _ := b.delegationUnderWay(now); underWay {
		return true
	}
	return len(b.borrower.candidates) > 0 && b.borrower.interval < maxRoundInterval && b.borrower.urgentAt < deadline
}

// lendersSupply reports whether the last rounds of requests to other VMs yielded tokens.
func (b *Bucket) lendersSupply() bool {
	return len(b.borrower.candidates) > 0 && b.borrower.interval < scarceInterval
}

// nextSupply returns the earliest time at which the bucket may get tokens that it does not
// accrue: from other VMs, from its own loans, or with a new lease.
func (b *Bucket) nextSupply(now time.Duration) time.Duration {
	underWay, next := b.delegationUnderWay(now)
	if underWay || now >= b.usableUntil || b.lent() > 0 {
		return now
	}
	if now < b.delegated.heldUntil {
		next = min(next, b.delegated.heldUntil)
	}
	for _, p := range b.borrower.pending {
		if now-p.sentAt < LoanValidity {
			return now
		}
	}
	if len(b.borrower.candidates) > 0 {
		next = min(next, b.borrower.urgentAt)
	}
	return next
}

// scheduleRound sets the time of the next round depending on the yield of the last
// one.
func (b *Bucket) scheduleRound(now time.Duration, missing float64) {
	r := &b.borrower
	// Demand far above the rate requests more than other VMs of equal shares accrue.
	accrued := b.rate * float64(len(r.candidates)) * b.horizon.Seconds()
	if r.requested > 0 && r.received < min(r.requested, accrued)/10 {
		r.interval = min(2*r.interval, maxRoundInterval)
	} else {
		r.interval = minRoundInterval
	}
	r.requested, r.received = missing, 0
	r.nextRoundAt = now + r.interval
	r.urgentAt = r.nextRoundAt
	if missing < b.demandDeficit(now)*3/4 {
		// A quarter of the horizon is covered, so fewer and larger rounds suffice.
		r.nextRoundAt = max(r.nextRoundAt, now+b.horizon/3)
	}
}

// chooseLenders prefers VMs that are not exhausted, then those of the own zone, then
// those with the oldest request.
func (b *Bucket) chooseLenders(now time.Duration, peers []candidate) []ident.VMName {
	type ranked struct {
		candidate
		exhausted   bool
		requestedAt time.Duration
	}
	all := make([]ranked, 0, len(peers))
	for _, p := range peers {
		r := ranked{candidate: p, requestedAt: -1}
		if l, ok := b.borrower.lenders[p.name]; ok {
			r.exhausted, r.requestedAt = l.exhaustedUntil > now, l.requestedAt
		}
		all = append(all, r)
	}
	sort.SliceStable(all, func(i, j int) bool {
		x, y := all[i], all[j]
		if x.exhausted != y.exhausted {
			return y.exhausted
		}
		if x.sameZone != y.sameZone {
			return x.sameZone
		}
		return x.requestedAt < y.requestedAt
	})
	var names []ident.VMName
	for _, r := range all[:min(maxLendersPerRound, len(all))] {
		names = append(names, r.name)
		l, ok := b.borrower.lenders[r.name]
		if !ok {
			l = &lender{}
			b.borrower.lenders[r.name] = l
		}
		l.requestedAt = now
	}
	return names
}

// Credit adds a granted transfer to the bucket. It returns false for a grant that adds
// nothing that can be spent: empty, late, repeated, or from another VM than the one
// the request was sent to.
func (b *Bucket) Credit(now time.Duration, from ident.VMName, g Transfer) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	p, ok := b.borrower.pending[g.ID]
	if !ok || p.to != from || !(g.Amount >= 0) || g.Amount > p.amount {
		return false
	}
	delete(b.borrower.pending, g.ID)
	if l := b.borrower.lenders[from]; l != nil && g.Amount < p.amount/2 {
		l.exhaustedUntil = now + exhaustedTime
	}
	b.borrower.received += g.Amount
	if g.Amount == 0 {
		return false
	}
	c := &credit{id: g.ID, lender: from, amount: g.Amount, expiresAt: p.sentAt + LoanValidity}
	b.credits = append(b.credits, c)
	return c.expiresAt > now
}

// SpentReports returns the reports to a lender for the transfers of which more was
// spent since the last report.
func (b *Bucket) SpentReports(now time.Duration, to ident.VMName) []SpentReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	var out []SpentReport
	for _, c := range b.credits {
		spent := c.spent
		if c.expiresAt <= now {
			spent = c.amount // the rest can no longer be spent
		}
		if c.lender == to && spent > c.reported {
			c.reported = spent
			out = append(out, SpentReport{ID: c.id, Amount: spent, Returned: c.returned})
		}
	}
	return out
}

// returnSurplus gives back what the expected demand will not spend before it expires, so
// that it can be spent where the callers are.
func (b *Bucket) returnSurplus(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.credits) == 0 || len(b.waiting) > 0 {
		return
	}
	b.advance(now)
	expected, kept := b.expectedDemand(now), 0.0
	for _, c := range b.credits {
		left, remaining := c.amount-c.spent, c.expiresAt-now
		if remaining <= 0 || left <= 0 {
			continue
		}
		keep := min(left, max(0, expected*remaining.Seconds()-kept))
		kept += keep
		if left-keep >= minTransferAmount && remaining < returnTime {
			c.spent += left - keep
			c.returned += left - keep
		}
	}
}

// UnreportedLenders returns the lenders of finished transfers that have waited for a
// report for longer than reportDelay, and those to which tokens are returned.
func (b *Bucket) UnreportedLenders(now time.Duration) []ident.VMName {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	var out []ident.VMName
	for _, c := range b.credits {
		finished := c.expiresAt <= now || c.spent >= c.amount
		if finished && c.reported < c.amount && now >= c.expiresAt-LoanValidity+reportDelay || c.returned > 0 && c.reported < c.spent {
			out = append(out, c.lender)
		}
	}
	return out
}
