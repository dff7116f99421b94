package frontend

import (
	"context"
	"sync"
	"time"
)

// waitContext bounds the wait of a request for an upstream. It ends with the
// deadline, a CancelRequest or the request. Unlike a context of the standard
// library it starts a timer only when somebody waits, which is rare.
type waitContext struct {
	deadline time.Time

	mu    sync.Mutex
	done  chan struct{}
	timer *time.Timer
	err   error
}

// Deadline implements context.Context.
func (w *waitContext) Deadline() (time.Time, bool) { return w.deadline, true }

// Value implements context.Context.
func (w *waitContext) Value(any) any { return nil }

// Err implements context.Context.
func (w *waitContext) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil && w.timer == nil && !time.Now().Before(w.deadline) {
		w.endLocked(context.DeadlineExceeded)
	}
	return w.err
}

// Done implements context.Context.
func (w *waitContext) Done() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done == nil {
		w.done = make(chan struct{})
		if w.err != nil {
			close(w.done)
		} else {
			w.timer = time.AfterFunc(time.Until(w.deadline), func() { w.end(context.DeadlineExceeded) })
		}
	}
	return w.done
}

// end ends the context; only the first call has an effect.
func (w *waitContext) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked(err)
}

func (w *waitContext) endLocked(err error) {
	if w.err != nil {
		return
	}
	w.err = err
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.done != nil {
		close(w.done)
	}
}
