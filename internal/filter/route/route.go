// Package route is the filter that selects the upstream of a request and retries
// requests that had no effect.
package route

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
)

const (
	// minRetryDelay and maxRetryDelay are the first and the longest delay before a
	// retry. The first is short, because after most failures another upstream can
	// serve the request immediately.
	minRetryDelay = 2 * time.Millisecond
	maxRetryDelay = 50 * time.Millisecond
	// maxSerializationAttempts limits the attempts after SQLSTATE 40001, which is also
	// the regular response to conflicting transactions.
	maxSerializationAttempts = 3
)

// PrimaryReader is implemented by routers that can verify that a primary is current
// before a transaction reads from it. Without it, reads in a transaction that may write
// can return the state of a primary that has just been replaced. Commits need no
// verification, because a former primary rejects them. The filter finds the interface
// by a type assertion, so the compiler does not check that a router implements it.
type PrimaryReader interface {
	// PrimaryFor returns the primary once it is verified to satisfy the requirement.
	// The errors are those of Router.Primary.
	PrimaryFor(ctx context.Context, database ident.GroupName, requirement request.ReadRequirement) (request.Target, error)
}

// Config configures the filter.
type Config struct {
	Router   request.Router
	Counters *filter.Counters
}

type handler struct {
	next filter.Handler
	cfg  Config
}

// New returns the filter. It rejects requests with NoPrimary, NoUpstream, Cancelled or
// ShuttingDown.
func New(next filter.Handler, cfg Config) filter.Handler { return &handler{next, cfg} }

// Serve implements filter.Handler.
func (h *handler) Serve(ctx context.Context, r *filter.Request) error {
	if r.Session.Lease.Load() != nil {
		return h.next.Serve(ctx, r)
	}
	delay := minRetryDelay
	// failed is the last failure of an upstream.
	var failed *filter.RetryableError
	for serializations := 0; ; {
		if err := h.selectTarget(ctx, r); err != nil {
			return rejection(ctx, r, err)
		}
		err := h.next.Serve(ctx, r)
		if err == nil {
			return nil
		}
		if failed != nil && resultcode.Is(err, resultcode.QueueDeadline) {
			// The deadline fell into the wait of a repeated attempt. That the upstreams fail is
			// what the client has to know.
			return rejection(ctx, r, failed)
		}
		var retry *filter.RetryableError
		if !errors.As(err, &retry) {
			return err
		}
		if errors.Is(context.Cause(ctx), filter.ErrStopping) {
			return rejection(ctx, r, retry) // the upstream has not failed
		}
		if retry.Reason != filter.ReasonSerialization {
			failed = retry
		}
		h.cfg.Counters.Retries.Add(1)
		if retry.Reason == filter.ReasonReadOnly && !r.Write {
			r.Write = true
			continue
		}
		if retry.Reason == filter.ReasonStaleResponse {
			if ctx.Err() != nil {
				return rejection(ctx, r, retry)
			}
			continue
		}
		if retry.Reason == filter.ReasonSerialization {
			if serializations++; serializations >= maxSerializationAttempts {
				return retry
			}
		}
		var open *upstream.OpenError
		if retry.Reason == filter.ReasonNotSent && !(errors.As(retry.Cause, &open) && open.TooManyConnections) {
			h.cfg.Router.ReportFailure(r.Target, retry.Cause)
		}
		if !clock.Sleep(ctx, delay) {
			return rejection(ctx, r, retry)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// selectTarget sets the target of the request.
func (h *handler) selectTarget(ctx context.Context, r *filter.Request) (err error) {
	database := r.Session.Grant.Database
	reader, canVerify := h.cfg.Router.(PrimaryReader)
	switch {
	case !r.Write:
		r.Target, err = h.cfg.Router.Read(ctx, database, r.Requirement)
	case canVerify && r.ReadsBeforeCommit:
		r.Target, err = reader.PrimaryFor(ctx, database, r.Requirement)
	default:
		r.Target, err = h.cfg.Router.Primary(ctx, database)
	}
	return err
}

// rejection returns the error with a result code for a request that found no upstream.
// Every code it uses means that the request did not run.
func rejection(ctx context.Context, r *filter.Request, err error) error {
	if filter.IsEnded(ctx) {
		return filter.WaitError(ctx, resultcode.Cancelled, "")
	}
	if resultcode.Of(err) != 0 {
		return err
	}
	var retry *filter.RetryableError
	if errors.As(err, &retry) && retry.Reason == filter.ReasonReadOnly {
		return resultcode.New(resultcode.NoPrimary, "the primary rejected writes until the deadline")
	}
	if r.Write {
		return resultcode.New(resultcode.NoPrimary, "the primary could not be reached before the deadline")
	}
	return resultcode.New(resultcode.NoUpstream, "no upstream could be reached before the deadline")
}
