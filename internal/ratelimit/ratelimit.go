// Package ratelimit enforces the rate limits of organisations. A request that finds no
// token in the bucket of this VM requests tokens from other VMs and waits briefly for
// them.
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
	// MaxWait is the maximum time that Take waits for tokens of other VMs. It is longer
	// than a round trip between regions.
	MaxWait = 50 * time.Millisecond
	// pollInterval is the interval at which a waiting request checks for tokens that
	// the bucket of this VM has accrued.
	pollInterval = 5 * time.Millisecond
	// maxWaiters is the maximum number of waiting requests of one organisation.
	maxWaiters = 256
)

// waiters are the requests of one organisation that wait for tokens.
type waiters struct {
	mu     sync.Mutex
	count  int
	notify chan struct{} // closed and replaced when tokens arrive
}

func (w *waiters) add() (<-chan struct{}, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count >= maxWaiters {
		return nil, false
	}
	w.count++
	return w.notify, true
}

func (w *waiters) notification() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.notify
}

func (w *waiters) remove() {
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

// Counters are the counters of Take. They are safe for concurrent use.
type Counters struct {
	// Refused counts requests rejected with RateExceeded for lack of tokens, Waited
	// those that waited for tokens, and WaitedAdmitted those that got tokens after
	// waiting.
	Refused, Waited, WaitedAdmitted expvar.Int
}

// Limiter takes tokens from an escrow.
type Limiter struct {
	Counters
	escrow  *shares.Escrow
	now     func() time.Duration
	send    func(context.Context, []shares.OutgoingRequest)
	waiters sync.Map // ident.OrganisationName to *waiters
}

// New returns a limiter. send sends requests to other VMs and must not block.
func New(escrow *shares.Escrow, now func() time.Duration, send func(context.Context, []shares.OutgoingRequest)) *Limiter {
	return &Limiter{escrow: escrow, now: now, send: send}
}

// Wake makes the waiting requests of the organisations check for tokens again.
func (l *Limiter) Wake(organisations []ident.OrganisationName) {
	for _, organisation := range organisations {
		if w, ok := l.waiters.Load(organisation); ok {
			w.(*waiters).wake()
		}
	}
}

// Take takes n tokens of the organisation and waits up to MaxWait for tokens of other
// VMs. The error carries RateExceeded.
func (l *Limiter) Take(ctx context.Context, organisation ident.OrganisationName, n int) error {
	now := l.now()
	bucket, ok := l.escrow.Bucket(organisation)
	if !ok {
		return resultcode.New(resultcode.RateExceeded, "organisation %q has no rate", organisation)
	}
	tokens := float64(n)
	bucket.RecordDemand(now, tokens)
	if bucket.Take(now, tokens) || l.wait(ctx, organisation, bucket, tokens) {
		return nil
	}
	l.Refused.Add(1)
	return resultcode.New(resultcode.RateExceeded, "organisation %q has used its rate and burst", organisation)
}

// wait requests tokens from other VMs and waits for them or for tokens that the bucket
// of this VM accrues.
func (l *Limiter) wait(ctx context.Context, organisation ident.OrganisationName, bucket *shares.Bucket, tokens float64) bool {
	stored, _ := l.waiters.LoadOrStore(organisation, &waiters{notify: make(chan struct{})})
	w := stored.(*waiters)
	arrived, ok := w.add()
	if !ok {
		return false
	}
	defer w.remove()
	l.Waited.Add(1)
	deadline := time.NewTimer(MaxWait)
	defer deadline.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		l.send(ctx, l.escrow.RequestTokens(l.now(), organisation, tokens))
		select {
		case <-arrived:
			arrived = w.notification()
		case <-poll.C:
		case <-deadline.C:
			return bucket.Take(l.now(), tokens)
		case <-ctx.Done():
			return false
		}
		if bucket.Take(l.now(), tokens) {
			l.WaitedAdmitted.Add(1)
			return true
		}
	}
}
