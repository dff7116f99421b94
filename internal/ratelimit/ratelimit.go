// Package ratelimit spends the operations of organisations: a request that finds no
// token in this VM's bucket asks other VMs and waits briefly for their answers.
package ratelimit

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// MaxWait is the longest time that Take waits for tokens of other VMs. It
	// exceeds a round trip between regions.
	MaxWait = 50 * time.Millisecond
	// pollEvery is the time after which a waiting request looks for tokens that its
	// own bucket has accrued.
	pollEvery = 5 * time.Millisecond
	// maxWaiters bounds the waiting requests of one organisation.
	maxWaiters = 256
)

// waiters are the requests of one organisation that wait for tokens.
type waiters struct {
	mu     sync.Mutex
	count  int
	notify chan struct{} // closed when tokens arrive
}

func (w *waiters) join() (<-chan struct{}, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count >= maxWaiters {
		return nil, false
	}
	w.count++
	return w.notify, true
}

func (w *waiters) again() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.notify
}

func (w *waiters) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
}

func (w *waiters) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.notify)
	w.notify = make(chan struct{})
}

// Counters count what Take did. They are safe for concurrent use.
type Counters struct {
	// Refused counts requests refused with RateExceeded, Waited those that waited for
	// tokens, and WaitedAdmitted those of them that got some.
	Refused, Waited, WaitedAdmitted expvar.Int
}

// Limiter spends the tokens of an escrow.
type Limiter struct {
	Counters
	escrow  *shares.Escrow
	now     func() time.Duration
	send    func(context.Context, []shares.OutgoingRequest)
	waiters sync.Map // ident.OrganisationName to *waiters
}

// New returns a taker. send carries questions to other VMs without blocking.
func New(escrow *shares.Escrow, now func() time.Duration, send func(context.Context, []shares.OutgoingRequest)) *Limiter {
	return &Limiter{escrow: escrow, now: now, send: send}
}

// Wake lets waiting requests of the organisations look for tokens again.
func (t *Limiter) Wake(organisations []ident.OrganisationName) {
	for _, organisation := range organisations {
		if w, ok := t.waiters.Load(organisation); ok {
			w.(*waiters).wake()
		}
	}
}

// Take spends n tokens of the organisation, waiting up to MaxWait for tokens of
// other VMs. The error carries RateExceeded.
func (t *Limiter) Take(ctx context.Context, organisation ident.OrganisationName, n int) error {
	now := t.now()
	bucket, ok := t.escrow.Bucket(organisation)
	if !ok {
		return resultcode.New(resultcode.RateExceeded, "organisation %q has no rate", organisation)
	}
	tokens := float64(n)
	bucket.RecordDemand(now, tokens)
	if bucket.Take(now, tokens) || t.wait(ctx, organisation, bucket, tokens) {
		return nil
	}
	t.Refused.Add(1)
	return resultcode.New(resultcode.RateExceeded, "organisation %q has used its rate and burst", organisation)
}

// wait asks other VMs and waits for their tokens or the own bucket's.
func (t *Limiter) wait(ctx context.Context, organisation ident.OrganisationName, bucket *shares.Bucket, tokens float64) bool {
	stored, _ := t.waiters.LoadOrStore(organisation, &waiters{notify: make(chan struct{})})
	w := stored.(*waiters)
	arrived, ok := w.join()
	if !ok {
		return false
	}
	defer w.leave()
	t.Waited.Add(1)
	deadline := time.NewTimer(MaxWait)
	defer deadline.Stop()
	poll := time.NewTicker(pollEvery)
	defer poll.Stop()
	for {
		t.send(ctx, t.escrow.RequestTokens(t.now(), organisation, tokens))
		select {
		case <-arrived:
			arrived = w.again()
		case <-poll.C:
		case <-deadline.C:
			return bucket.Take(t.now(), tokens)
		case <-ctx.Done():
			return false
		}
		if bucket.Take(t.now(), tokens) {
			t.WaitedAdmitted.Add(1)
			return true
		}
	}
}
