package sharecontroller

import (
	"context"
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

// Take spends n tokens of the organisation, waiting up to MaxWait for tokens of
// other VMs. The error carries RateExceeded.
func (c *Controller) Take(ctx context.Context, organisation ident.OrganisationName, n int) error {
	now := c.clock.Now()
	bucket, ok := c.node.Bucket(organisation)
	if !ok {
		return resultcode.New(resultcode.RateExceeded, "organisation %q has no rate", organisation)
	}
	tokens := float64(n)
	bucket.Attempt(now, tokens)
	if bucket.Take(now, tokens) || c.wait(ctx, organisation, bucket, tokens) {
		return nil
	}
	c.counters.refused.Add(1)
	return resultcode.New(resultcode.RateExceeded, "organisation %q has used its rate and burst", organisation)
}

// wait asks other VMs and waits for their tokens or the own bucket's.
func (c *Controller) wait(ctx context.Context, organisation ident.OrganisationName, bucket *shares.Bucket, tokens float64) bool {
	stored, _ := c.waiters.LoadOrStore(organisation, &waiters{notify: make(chan struct{})})
	w := stored.(*waiters)
	arrived, ok := w.join()
	if !ok {
		return false
	}
	defer w.leave()
	c.counters.waited.Add(1)
	deadline := time.NewTimer(MaxWait)
	defer deadline.Stop()
	poll := time.NewTicker(pollEvery)
	defer poll.Stop()
	for {
		c.sendAsks(ctx, c.node.Short(c.clock.Now(), organisation, tokens))
		select {
		case <-arrived:
			arrived = w.again()
		case <-poll.C:
		case <-deadline.C:
			return bucket.Take(c.clock.Now(), tokens)
		case <-ctx.Done():
			return false
		}
		if bucket.Take(c.clock.Now(), tokens) {
			c.counters.waitedAdmitted.Add(1)
			return true
		}
	}
}
