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
)

// waiters notifies the waiting requests of one organisation.
type waiters struct {
	mu     sync.Mutex
	notify chan struct{} // closed and replaced when tokens arrive
}

func (w *waiters) notification() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.notify
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

// Refusal is the error of a request that got no tokens. It carries RateExceeded.
type Refusal struct {
	error
	// RetryAfter is a time for which the bucket of this VM has no tokens for a request of
	// this priority.
	RetryAfter time.Duration
}

// Unwrap returns the error with the result code.
func (r *Refusal) Unwrap() error { return r.error }

// Take takes n tokens of the organisation for a request of a priority, of which 0 is the
// highest. It waits up to MaxWait for tokens if enough may arrive for the requests that wait
// already and this one. The error carries RateExceeded; it is a *Refusal for lack of tokens.
func (l *Limiter) Take(ctx context.Context, organisation ident.OrganisationName, priority, n int) error {
	now := l.now()
	bucket, ok := l.escrow.Bucket(organisation)
	if !ok {
		return resultcode.New(resultcode.RateExceeded, "organisation %q has no rate", organisation)
	}
	class, tokens := shares.PriorityClass(priority), float64(n)
	if bucket.Admit(now, class, tokens) {
		return nil
	}
	l.request(ctx, organisation, bucket, class, tokens)
	w, retryAfter := bucket.Wait(now, now+MaxWait, class, tokens)
	if w != nil {
		admitted := false
		if admitted, retryAfter = l.wait(ctx, organisation, bucket, w); admitted {
			return nil
		}
	}
	l.Refused.Add(1)
	return &Refusal{resultcode.New(resultcode.RateExceeded, "organisation %q has used its rate and burst", organisation), retryAfter}
}

// request requests tokens for a request from other VMs, and for those that wait.
func (l *Limiter) request(ctx context.Context, organisation ident.OrganisationName, bucket *shares.Bucket, class int, tokens float64) {
	now := l.now()
	l.send(ctx, l.escrow.RequestTokens(now, organisation, tokens+bucket.Reserve(now, class)))
}

// wait waits until a request has got its tokens or cannot get them in time.
func (l *Limiter) wait(ctx context.Context, organisation ident.OrganisationName, bucket *shares.Bucket, w *shares.Waiter) (bool, time.Duration) {
	stored, _ := l.waiters.LoadOrStore(organisation, &waiters{notify: make(chan struct{})})
	all := stored.(*waiters)
	l.Waited.Add(1)
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		arrived := all.notification()
		state, retryAfter, changed := bucket.Poll(l.now(), w)
		if changed {
			all.wake()
		}
		switch state {
		case shares.Admitted:
			l.WaitedAdmitted.Add(1)
			return true, 0
		case shares.Refused:
			return false, retryAfter
		}
		l.request(ctx, organisation, bucket, w.Class(), w.Tokens())
		select {
		case <-arrived:
		case <-poll.C:
		case <-ctx.Done():
			return bucket.Abandon(w), 0
		}
	}
}
