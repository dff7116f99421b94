package shares

import (
	"math"
	"slices"
	"time"
)

const (
	// priorityClasses is the number of priorities that are told apart; those below the last
	// one share its class.
	priorityClasses = 4
	// reserveHorizon is the time for whose expected demand of higher priorities a lower one
	// leaves tokens. Demand within it varies too fast for accrual to cover.
	reserveHorizon = 200 * time.Millisecond
	// maxReserveFraction limits that reserve, as a fraction of the burst.
	maxReserveFraction = 0.5
	// guaranteedFraction is the fraction of the rate that each lower priority keeps.
	guaranteedFraction = 0.1
	// maxWaiters is the number of requests of an organisation that may wait on one VM.
	maxWaiters = 256
	// roundingTolerance, in tokens, covers rounding in predictions.
	roundingTolerance = 1e-6
	// maxRetryAfter limits the time for which a refusal holds. The rate and the share units
	// may change later.
	maxRetryAfter = time.Second
)

// PriorityClass returns the class of a priority, where 0 is the highest.
func PriorityClass(priority int) int { return min(max(priority, 0), priorityClasses-1) }

// classState is the demand of a priority class and the tokens that it may spend before
// higher ones.
type classState struct {
	demand, steady float64
	guaranteed     float64
}

func (c *classState) expected() float64 { return min(c.demand, maxDemandPerSteady*c.steady) }

// WaiterState is the state of a Waiter.
type WaiterState uint8

// The states of a Waiter.
const (
	Waiting WaiterState = iota
	Admitted
	Refused
)

// Waiter is a request that waits for tokens.
type Waiter struct {
	class    int
	tokens   float64
	deadline time.Duration
	state    WaiterState
}

// Class returns the priority class of the request.
func (w *Waiter) Class() int { return w.class }

// Tokens returns the number of tokens that the request needs.
func (w *Waiter) Tokens() float64 { return w.tokens }

// guarantee credits each lower class with its part of the accrued tokens.
func (b *Bucket) guarantee(accrued float64) {
	limit := max(1, guaranteedFraction*b.burst)
	for i := 1; i < priorityClasses; i++ {
		b.classes[i].guaranteed = min(limit, b.classes[i].guaranteed+guaranteedFraction*accrued)
	}
}

// accrualRate returns the tokens per second that the bucket accrues.
func (b *Bucket) accrualRate(now time.Duration) float64 {
	if now >= b.usableUntil {
		return 0
	}
	rate := 0.0
	if now >= b.delegated.heldUntil {
		rate = b.rate
	}
	for _, g := range b.grants {
		rate += g.rate
	}
	return rate
}

// reserve returns the tokens that a class leaves for higher ones. It is zero while the
// demand is below the rate.
func (b *Bucket) reserve(now time.Duration, class int) float64 {
	if b.decayDemand(now); class == 0 || b.steady <= b.accrualRate(now) || b.lendersSupply() {
		return 0
	}
	high := 0.0
	for i := range class {
		high += b.classes[i].expected()
	}
	return min(high*reserveHorizon.Seconds(), maxReserveFraction*max(b.burst, b.capacity(now)))
}

// Reserve returns the tokens that a request of the class leaves for higher ones.
func (b *Bucket) Reserve(now time.Duration, class int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.reserve(now, class)
}

// ahead returns the tokens that waiting requests need which come before a new one of the
// class, and those of the class alone.
func (b *Bucket) ahead(class int) (all, sameClass float64) {
	for _, w := range b.waiting {
		if w.class <= class {
			all += w.tokens
		}
		if w.class == class {
			sameClass += w.tokens
		}
	}
	below := b.guaranteedBelow()
	return all + below[class], sameClass
}

// guaranteedBelow returns for each class the tokens that are guaranteed to waiting requests
// of lower ones.
func (b *Bucket) guaranteedBelow() (below [priorityClasses]float64) {
	first := 0 // class of which the first waiting request is known
	for _, w := range b.waiting {
		if w.class <= first {
			continue
		}
		first = w.class
		if b.classes[first].guaranteed >= w.tokens {
			for i := range first {
				below[i] += w.tokens
			}
		}
	}
	return below
}

// Admit records the demand of a request of n tokens and spends them, unless there are
// too few or others wait for them.
func (b *Bucket) Admit(now time.Duration, class int, n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.recordDemand(now, class, n)
	all, sameClass := b.ahead(class)
	return b.spendFor(now, class, n, all, sameClass)
}

// spendFor spends n tokens for a class unless those ahead need them.
func (b *Bucket) spendFor(now time.Duration, class int, n, ahead, sameClass float64) bool {
	available := b.tokens + b.borrowed()
	if available < n {
		return false
	}
	c := &b.classes[class]
	byGuarantee := class > 0 && sameClass == 0 && c.guaranteed >= n
	if !byGuarantee && available < ahead+b.reserve(now, class)+n {
		return false
	}
	c.guaranteed = max(0, c.guaranteed-n)
	b.spend(n)
	return true
}

// Wait adds a request to those that wait. Without a result the request cannot be served
// by the deadline, and none of its class before the returned time has passed.
func (b *Bucket) Wait(now, deadline time.Duration, class int, n float64) (*Waiter, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	all, sameClass := b.ahead(class)
	request := Waiter{class: class, tokens: n, deadline: deadline}
	if len(b.waiting) >= maxWaiters || !b.covered(now, request, all, sameClass) {
		return nil, b.retryAfter(now, class, n)
	}
	w := new(Waiter) // only a request that waits takes memory
	*w = request
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].class > class {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, w)
	return w, 0
}

// covered reports whether a waiting request may get its tokens by its deadline.
func (b *Bucket) covered(now time.Duration, w Waiter, ahead, sameClass float64) bool {
	if b.loansExpected(now, w.deadline) {
		return true
	}
	wait := max(0, w.deadline-now).Seconds()
	own := b.tokens + b.accrualRate(now)*wait
	if ahead == 0 {
		own = min(own, b.capacity(now))
	}
	supply := own + b.borrowed() + b.loansUnderWay(now)
	if supply+roundingTolerance >= ahead+b.reserve(now, w.class)+w.tokens {
		return true
	}
	guaranteed := b.classes[w.class].guaranteed + guaranteedFraction*b.accrualRate(now)*wait
	return w.class > 0 && guaranteed >= sameClass+w.tokens && supply >= w.tokens
}

// Poll serves the waiting requests in order and returns the state of one of them, for a
// refused one with the time before which no request of its class can be served. changed
// reports whether the state of another one has changed.
func (b *Bucket) Poll(now time.Duration, w *Waiter) (state WaiterState, retryAfter time.Duration, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	changed = b.serveGuaranteed(now, w)
	ahead, sameClass, class := 0.0, 0.0, 0
	below := b.guaranteedBelow()
	kept := b.waiting[:0]
	for _, next := range b.waiting {
		if next.class != class {
			sameClass, class = 0, next.class
		}
		switch {
		case b.spendFor(now, next.class, next.tokens, ahead+below[next.class], sameClass):
			next.state = Admitted
		case now >= next.deadline || !b.covered(now, *next, ahead+below[next.class], sameClass):
			next.state = Refused
		default:
			ahead, sameClass = ahead+next.tokens, sameClass+next.tokens
			kept = append(kept, next)
			continue
		}
		changed = changed || next != w
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
	if w.state == Refused {
		retryAfter = b.retryAfter(now, w.class, w.tokens)
	}
	return w.state, retryAfter, changed
}

// serveGuaranteed serves the first waiting request of each lower class from what is
// guaranteed to the class. It reports whether one other than w was served.
func (b *Bucket) serveGuaranteed(now time.Duration, w *Waiter) (changed bool) {
	class := 0
	b.waiting = slices.DeleteFunc(b.waiting, func(next *Waiter) bool {
		if next.class <= class {
			return false
		}
		class = next.class
		c := &b.classes[class]
		if c.guaranteed < next.tokens || b.tokens+b.borrowed() < next.tokens {
			return false
		}
		c.guaranteed -= next.tokens
		b.spend(next.tokens)
		next.state = Admitted
		changed = changed || next != w
		return true
	})
	return changed
}

// Abandon removes a request whose client no longer waits, and reports whether it was
// admitted before.
func (b *Bucket) Abandon(w *Waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(other *Waiter) bool { return other == w })
	return w.state == Admitted
}

// retryAfter returns a time for which the bucket has no tokens for a request of the
// class, whatever other VMs lend.
func (b *Bucket) retryAfter(now time.Duration, class int, n float64) time.Duration {
	ahead, _ := b.ahead(class)
	available, rate := b.tokens+b.borrowed(), b.accrualRate(now)
	after := accrualTime(ahead+n-available, rate)
	if reserve := b.reserve(now, class); reserve > 0 {
		after = max(after, min(b.scarceFor(rate), accrualTime(ahead+n+reserve-available, rate+reserve/demandTimeConstant.Seconds())))
	}
	if class > 0 {
		byGuarantee := accrualTime(n-b.classes[class].guaranteed, guaranteedFraction*rate)
		after = min(after, max(byGuarantee, accrualTime(n-available, rate)))
	}
	for _, w := range b.waiting {
		after = min(after, w.deadline-now) // its tokens may become free
	}
	return max(0, min(after, b.nextSupply(now)-now))
}

// scarceFor returns the time for which the demand stays above the rate without further
// requests. The reserve falls no faster than the demand estimate meanwhile, of which it
// loses at most t / demandTimeConstant in the time t.
func (b *Bucket) scarceFor(rate float64) time.Duration {
	if !(rate > 0) {
		return maxRetryAfter
	}
	return time.Duration(min(maxRetryAfter.Seconds(), steadyTimeConstant.Seconds()*math.Log(max(1, b.steady/rate))) * float64(time.Second))
}

// accrualTime returns the time in which n tokens accrue, rounded down.
func accrualTime(n, rate float64) time.Duration {
	switch {
	case n <= 0:
		return 0
	case n >= rate*maxRetryAfter.Seconds():
		return maxRetryAfter
	}
	return time.Duration(n / rate * float64(time.Second))
}
