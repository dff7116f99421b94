package shares

import (
	"math"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// demandTimeConstant is the time constant of the fast demand estimate. It is
	// shorter than the demand horizon, so that the estimate follows a shift of load
	// within a few round trips.
	demandTimeConstant = 200 * time.Millisecond
	// steadyTimeConstant is the time constant of the slow estimate. The fast estimate
	// counts a single request as five per second, and an organisation with a small rate
	// loses the tokens that are borrowed or kept for requests that never arrive.
	steadyTimeConstant = 2 * time.Second
	// maxDemandPerSteady bounds the expected demand by a multiple of the slow estimate.
	// With this factor a new load is covered within a few hundred milliseconds.
	maxDemandPerSteady = 2
	// maxMissedRequests bounds the expected demand by the time since the last request. The
	// probability that more than five expected requests in succession do not arrive is below
	// one percent.
	maxMissedRequests = 5
)

// Bounds of the demand horizon: a bucket tries to hold the tokens for the demand
// of this time.
const (
	maxDemandHorizon = 400 * time.Millisecond
	minDemandHorizon = 50 * time.Millisecond
)

// loanKey identifies a transfer at the lender.
type loanKey struct {
	borrower    ident.VMName
	incarnation ident.Incarnation
	id          uint64
}

// loan lowers the lender's capacity until it ends.
type loan struct {
	amount    float64
	released  float64 // reported as spent or expired by the borrower
	returned  float64 // reported as returned, part of released
	expiresAt time.Duration
}

// credit is a received transfer.
type credit struct {
	id        uint64
	lender    ident.VMName
	amount    float64
	spent     float64 // or returned
	returned  float64
	reported  float64
	expiresAt time.Duration
}

// Bucket holds the tokens of one organisation on one VM. It is safe for
// concurrent use, because requests spend tokens concurrently with the controller.
type Bucket struct {
	mu sync.Mutex
	// Entitlement of this VM.
	rate, burst float64
	usableUntil time.Duration // end of the lease
	horizon     time.Duration
	lendAll     bool
	entitled    bool // has had a rate above zero

	tokens    float64
	accruedAt time.Duration // time up to which tokens are accrued
	loans     map[loanKey]*loan
	credits   []*credit

	demand, steady float64 // fast and slow estimate in tokens per second, decaying exponentially
	demandAt       time.Duration
	borrower       borrower

	classes    [priorityClasses]classState
	waiting    []*Waiter // by class, then by arrival
	delegable  bool
	lead       bool
	demandedAt time.Duration
	delegated  delegated                 // at the lender
	grants     map[ident.VMName]*grant   // delegations to this VM
	requested  map[ident.VMName]*request // of delegations, by lender
}

// NewBucket returns an empty bucket without entitlement.
func NewBucket(now time.Duration) *Bucket {
	return &Bucket{accruedAt: now, demandAt: now, horizon: maxDemandHorizon, loans: map[loanKey]*loan{}, borrower: newBorrower(),
		grants: map[ident.VMName]*grant{}, requested: map[ident.VMName]*request{}}
}

// Entitlement is what a VM may admit for an organisation.
type Entitlement struct {
	Rate, Burst float64 // of this VM
	// DemandHorizon is the time for whose demand the bucket tries to hold tokens.
	DemandHorizon time.Duration
	// UsableUntil is the end of the VM's lease.
	UsableUntil time.Duration
	// LendAll is set while the VM's zone is out of service.
	LendAll bool
	// InitialTokens is the number of tokens of a bucket that is entitled for the first
	// time. The excess allowed above rate and burst must cover it, because a former
	// incarnation of the VM may have spent its whole burst just before.
	InitialTokens float64
	// Delegable is set for an organisation whose share on a single VM is less than a few
	// operations. Its whole rate and burst is delegated to the VM that serves its demand.
	Delegable bool
	// AccrueFrom is the time from which a bucket that is entitled for the first time accrues
	// tokens; zero stands for now. No other VM may have used the share units since then.
	AccrueFrom time.Duration
	// Lead is set on the VM that is to serve the demand of a delegable organisation.
	Lead bool
}

// SetEntitlement changes the entitlement. Tokens above a reduced capacity are lost.
func (b *Bucket) SetEntitlement(now time.Duration, e Entitlement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if !b.entitled && e.Rate > 0 {
		b.entitled = true
		b.tokens += e.InitialTokens
		if e.AccrueFrom > 0 {
			b.tokens += e.Rate * max(0, b.accruedAt-e.AccrueFrom).Seconds()
			b.accruedAt = max(b.accruedAt, e.AccrueFrom)
		}
	}
	b.rate, b.burst, b.horizon, b.usableUntil, b.lendAll = e.Rate, e.Burst, e.DemandHorizon, e.UsableUntil, e.LendAll
	b.delegable, b.lead = e.Delegable, e.Lead
	b.delegated.rate = min(b.delegated.rate, e.Rate)
	b.advance(now)
}

// advance accrues tokens up to now and expires the lease, loans and credits.
func (b *Bucket) advance(now time.Duration) {
	now = max(now, b.accruedAt)
	for key, l := range b.loans {
		if l.expiresAt <= now {
			delete(b.loans, key)
		}
	}
	if now >= b.usableUntil {
		b.tokens = 0
		b.delegated.accrueFrom = now
	} else {
		accrued := b.accrueOwn(now) + b.accrueGrants(now)
		b.guarantee(accrued)
		b.tokens = max(0, min(b.tokens+accrued, b.capacity(now)))
	}
	b.accruedAt = now
	for len(b.credits) > 0 && b.credits[0].expiresAt <= now && b.credits[0].reported >= b.credits[0].amount {
		b.credits = b.credits[1:]
	}
}

// lent returns the tokens of the loans that have not ended.
func (b *Bucket) lent() float64 {
	if len(b.loans) == 0 { // iterating over an empty map takes as long as the rest of advance
		return 0
	}
	sum := 0.0
	for _, l := range b.loans {
		sum += l.amount - l.released
	}
	return sum
}

// capacity returns the tokens that the bucket may hold.
func (b *Bucket) capacity(now time.Duration) float64 {
	own := b.burst - b.lent()
	if now < b.delegated.heldUntil {
		own = 0
	}
	for _, g := range b.grants {
		own += g.burst
	}
	return own
}

// borrowed returns the borrowed tokens that can still be spent.
func (b *Bucket) borrowed() float64 {
	sum := 0.0
	for _, c := range b.credits {
		if c.expiresAt > b.accruedAt {
			sum += c.amount - c.spent
		}
	}
	return sum
}

// RecordDemand records that a request needs n tokens, whether or not it gets them.
func (b *Bucket) RecordDemand(now time.Duration, n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordDemand(now, 0, n)
}

func (b *Bucket) recordDemand(now time.Duration, class int, n float64) {
	b.decayDemand(now)
	b.demandedAt = now
	b.demand += n / demandTimeConstant.Seconds()
	b.steady += n / steadyTimeConstant.Seconds()
	b.classes[class].demand += n / demandTimeConstant.Seconds()
	b.classes[class].steady += n / steadyTimeConstant.Seconds()
}

func (b *Bucket) decayDemand(now time.Duration) {
	if now > b.demandAt {
		passed := (now - b.demandAt).Seconds()
		fast, slow := math.Exp(-passed/demandTimeConstant.Seconds()), math.Exp(-passed/steadyTimeConstant.Seconds())
		b.demand *= fast
		b.steady *= slow
		for i := range b.classes {
			b.classes[i].demand *= fast
			b.classes[i].steady *= slow
		}
		b.demandAt = now
	}
}

// expectedDemand returns the demand to cover, in tokens per second.
func (b *Bucket) expectedDemand(now time.Duration) float64 {
	b.decayDemand(now)
	expected := min(b.demand, maxDemandPerSteady*b.steady)
	if gap := (now - b.demandedAt).Seconds(); expected*gap > maxMissedRequests {
		expected = maxMissedRequests / gap // the callers have moved
	}
	return expected
}

// Take spends n tokens, borrowed ones first because they expire. It returns false
// and spends nothing when there are fewer.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.tokens+b.borrowed() < n {
		return false
	}
	b.spend(n)
	return true
}

// spend spends n tokens, which the bucket must have.
func (b *Bucket) spend(n float64) {
	for _, c := range b.credits {
		if c.expiresAt > b.accruedAt {
			spent := min(n, c.amount-c.spent)
			c.spent += spent
			n -= spent
		}
	}
	b.tokens = max(0, b.tokens-n)
}

// demandDeficit returns the tokens that the demand of this VM over the next horizon
// requires beyond those that accrue meanwhile.
func (b *Bucket) demandDeficit(now time.Duration) float64 {
	return max(0, (b.expectedDemand(now)-b.rate)*b.horizon.Seconds())
}

// Lend debits the bucket for a transfer and returns its amount, which may be zero.
// A repeated request returns the amount of the first one.
func (b *Bucket) Lend(now time.Duration, from ident.VMName, incarnation ident.Incarnation, id uint64, requested float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	key := loanKey{from, incarnation, id}
	if l, ok := b.loans[key]; ok {
		return l.amount
	}
	reserve := 0.0
	if !b.lendAll {
		reserve = b.expectedDemand(now) * b.horizon.Seconds()
	}
	// Delegated tokens and capacity are not lent on.
	own := b.burst - b.lent()
	if now < b.delegated.heldUntil {
		own = 0
	}
	amount := min(requested, b.tokens-reserve, own)
	if !(amount > 0) || len(b.loans) >= maxLoans {
		return 0
	}
	b.tokens -= amount
	b.loans[key] = &loan{amount: amount, expiresAt: now + LoanHoldTime}
	return amount
}

// maxLoans is the number of loans of a bucket; it bounds the memory.
const maxLoans = 4096

// ReleaseLoan handles a report of the borrower that this much of the transfer was
// spent or can no longer be spent, and that a part of it is returned. Repeated and
// reordered reports are harmless because the recorded amounts only increase.
func (b *Bucket) ReleaseLoan(now time.Duration, from ident.VMName, incarnation ident.Incarnation, r SpentReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	l, ok := b.loans[loanKey{from, incarnation, r.ID}]
	if !ok {
		return
	}
	if r.Amount > l.released {
		l.released = min(r.Amount, l.amount)
	}
	if returned := min(r.Returned, l.released); returned > l.returned {
		b.tokens += returned - l.returned
		l.returned = returned
		b.advance(now)
	}
}

// BucketState is a snapshot of a bucket. Rate and Demand are in tokens per second.
type BucketState struct {
	Tokens   float64 `json:"tokens"`
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Demand   float64 `json:"demand"`
}

// State returns a snapshot of the bucket at now.
func (b *Bucket) State(now time.Duration) BucketState {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.decayDemand(now)
	return BucketState{Tokens: b.tokens, Borrowed: b.borrowed(), Lent: b.lent(), Rate: b.rate, Burst: b.burst, Demand: b.demand}
}
