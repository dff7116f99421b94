package shares

import (
	"math"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// demandTime is the time constant of the fast demand estimate. It is short against
	// the horizon of asking, so that a shift of load is seen within a few round trips.
	demandTime = 200 * time.Millisecond
	// steadyTime is the time constant of the slow estimate. The fast one takes a single
	// request for five a second; tokens that are borrowed or kept for requests that do not
	// come are lost to an organisation with a small rate.
	steadyTime = 2 * time.Second
	// steadyFactor bounds the expected demand by a multiple of the slow estimate, so that
	// a new load is provided for within a few hundred milliseconds.
	steadyFactor = 2
)

// Bounds of the horizon: the time of demand that a bucket tries to hold.
const (
	longHorizon  = 400 * time.Millisecond
	shortHorizon = 50 * time.Millisecond
)

// loanKey identifies a transfer at the lender.
type loanKey struct {
	borrower    ident.VMName
	incarnation ident.Incarnation
	id          uint64
}

// loan lowers the lender's capacity until it ends.
type loan struct {
	amount   float64
	released float64 // reported as spent or expired by the borrower
	until    time.Duration
}

// credit is a received transfer.
type credit struct {
	id       uint64
	lender   ident.VMName
	amount   float64
	spent    float64
	reported float64
	until    time.Duration
}

// Bucket holds the tokens of one organisation on one VM. It is safe for
// concurrent use, because requests spend tokens beside the controller.
type Bucket struct {
	mu sync.Mutex
	// entitlement of this VM
	rate, burst float64
	usableUntil time.Duration // end of the lease
	horizon     time.Duration
	lendAll     bool
	entitled    bool // has had a rate

	tokens  float64
	at      time.Duration // tokens are accrued up to here
	loans   map[loanKey]*loan
	credits []*credit

	demand, steady float64 // fast and slow estimate in tokens per second, decaying
	demandAt       time.Duration
	borrower       borrower
}

// NewBucket returns an empty bucket without entitlement.
func NewBucket(now time.Duration) *Bucket {
	return &Bucket{at: now, demandAt: now, horizon: longHorizon, loans: map[loanKey]*loan{}, borrower: newBorrower()}
}

// Entitlement is what a VM may admit for an organisation.
type Entitlement struct {
	Rate, Burst float64 // of this VM
	// DemandHorizon is the time of demand that the bucket tries to hold.
	DemandHorizon time.Duration
	// UsableUntil is the end of the VM's lease.
	UsableUntil time.Duration
	// LendAll is set while the VM's zone is out of service.
	LendAll bool
	// InitialTokens is the number of tokens of a bucket that is entitled for the first time.
	// It must be covered by the excess that the rate's owner tolerates, because a
	// former life of the VM may have spent its whole burst just before.
	InitialTokens float64
}

// SetEntitlement changes the entitlement. Tokens above a lower capacity are lost.
func (b *Bucket) SetEntitlement(now time.Duration, e Entitlement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if !b.entitled && e.Rate > 0 {
		b.entitled = true
		b.tokens += e.InitialTokens
	}
	b.rate, b.burst, b.horizon, b.usableUntil, b.lendAll = e.Rate, e.Burst, e.DemandHorizon, e.UsableUntil, e.LendAll
	b.advance(now)
}

// advance accrues tokens up to now and ends leases, loans and credits.
func (b *Bucket) advance(now time.Duration) {
	now = max(now, b.at)
	lent := 0.0
	for key, l := range b.loans {
		if l.until <= now {
			delete(b.loans, key)
			continue
		}
		lent += l.amount - l.released
	}
	if now >= b.usableUntil {
		b.tokens = 0
	} else {
		b.tokens += b.rate * (now - b.at).Seconds()
		b.tokens = max(0, min(b.tokens, b.burst-lent))
	}
	b.at = now
	for len(b.credits) > 0 && b.credits[0].until <= now && b.credits[0].reported >= b.credits[0].amount {
		b.credits = b.credits[1:]
	}
}

// borrowed returns the borrowed tokens that can still be spent.
func (b *Bucket) borrowed() float64 {
	sum := 0.0
	for _, c := range b.credits {
		if c.until > b.at {
			sum += c.amount - c.spent
		}
	}
	return sum
}

// RecordDemand records that a request wants n tokens, whether or not it gets them.
func (b *Bucket) RecordDemand(now time.Duration, n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decayDemand(now)
	b.demand += n / demandTime.Seconds()
	b.steady += n / steadyTime.Seconds()
}

func (b *Bucket) decayDemand(now time.Duration) {
	if now > b.demandAt {
		passed := (now - b.demandAt).Seconds()
		b.demand *= math.Exp(-passed / demandTime.Seconds())
		b.steady *= math.Exp(-passed / steadyTime.Seconds())
		b.demandAt = now
	}
}

// expected returns the demand to provide for, in tokens per second.
func (b *Bucket) expected(now time.Duration) float64 {
	b.decayDemand(now)
	return min(b.demand, steadyFactor*b.steady)
}

// Take spends n tokens, borrowed ones first because they expire; false when there
// are fewer.
func (b *Bucket) Take(now time.Duration, n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.tokens+b.borrowed() < n {
		return false
	}
	for _, c := range b.credits {
		if c.until > b.at {
			part := min(n, c.amount-c.spent)
			c.spent += part
			n -= part
		}
	}
	b.tokens = max(0, b.tokens-n)
	return true
}

// need returns the tokens that this VM's own demand of the next horizon requires
// beyond what accrues meanwhile.
func (b *Bucket) need(now time.Duration) float64 {
	return max(0, (b.expected(now)-b.rate)*b.horizon.Seconds())
}

// Lend debits the bucket for a transfer and returns its amount, which may be zero.
// A repeated request gets the first answer again.
func (b *Bucket) Lend(now time.Duration, from ident.VMName, incarnation ident.Incarnation, id uint64, want float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	key := loanKey{from, incarnation, id}
	if l, ok := b.loans[key]; ok {
		return l.amount
	}
	keep := 0.0
	if !b.lendAll {
		keep = b.expected(now) * b.horizon.Seconds()
	}
	amount := min(want, b.tokens-keep)
	if !(amount > 0) || len(b.loans) >= maxLoans {
		return 0
	}
	b.tokens -= amount
	b.loans[key] = &loan{amount: amount, until: now + LoanHoldTime}
	return amount
}

// maxLoans bounds the memory of one bucket.
const maxLoans = 4096

// ReleaseLoan takes a report of the borrower: this much of the transfer was spent or
// can no longer be spent. Repeated and reordered reports are harmless because the
// amount only grows.
func (b *Bucket) ReleaseLoan(now time.Duration, from ident.VMName, incarnation ident.Incarnation, id uint64, spent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if l, ok := b.loans[loanKey{from, incarnation, id}]; ok && spent > l.released {
		l.released = min(spent, l.amount)
	}
}

// BucketState describes a bucket.
type BucketState struct {
	Tokens   float64 `json:"tokens"`
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Demand   float64 `json:"demand"`
}

// State returns the state of the bucket at now.
func (b *Bucket) State(now time.Duration) BucketState {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.decayDemand(now)
	level := BucketState{Tokens: b.tokens, Borrowed: b.borrowed(), Rate: b.rate, Burst: b.burst, Demand: b.demand}
	for _, l := range b.loans {
		level.Lent += l.amount - l.released
	}
	return level
}
