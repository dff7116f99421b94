// Package route is the filter that chooses the upstream of a request and sends
// requests that had no effect again.
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
	// firstPause and lastPause bound the pause before a repetition. The first is
	// short, because most failures leave another upstream that can serve at once.
	firstPause = 2 * time.Millisecond
	lastPause  = 50 * time.Millisecond
	// serializationAttempts bounds the repetitions after 40001, which is also the
	// ordinary answer to conflicting transactions.
	serializationAttempts = 3
)

// PrimaryReader is implemented by routers that can prove a primary to be current
// before a transaction reads from it. Without it, reads in a transaction that may
// write can see the state of a primary that was replaced moments ago. Commits do
// not need the proof, because a former primary refuses them.
type PrimaryReader interface {
	// PrimaryFor returns the primary once it satisfies the need. Errors are those
	// of Router.Primary.
	PrimaryFor(ctx context.Context, database ident.GroupName, need request.ReadRequirement) (request.Target, error)
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

// New returns the filter. It refuses with NoPrimary, NoUpstream or Cancelled.
func New(next filter.Handler, cfg Config) filter.Handler { return &handler{next, cfg} }

// Serve implements filter.Handler.
func (h *handler) Serve(ctx context.Context, r *filter.Request) error {
	if r.Session.Lease.Load() != nil {
		return h.next.Serve(ctx, r)
	}
	pause := firstPause
	for serializations := 0; ; {
		if err := h.choose(ctx, r); err != nil {
			return refusal(ctx, r, err)
		}
		err := h.next.Serve(ctx, r)
		if err == nil {
			return nil
		}
		var retry *filter.RetryableError
		if !errors.As(err, &retry) {
			return err
		}
		h.cfg.Counters.Retries.Add(1)
		if retry.Reason == filter.ReasonReadOnly && !r.Write {
			r.Write = true
			continue
		}
		if retry.Reason == filter.ReasonStaleResponse {
			if ctx.Err() != nil {
				return refusal(ctx, r, retry)
			}
			continue
		}
		if retry.Reason == filter.ReasonSerialization {
			if serializations++; serializations >= serializationAttempts {
				return retry
			}
		}
		var open *upstream.OpenError
		if retry.Reason == filter.ReasonNotSent && !(errors.As(retry.Cause, &open) && open.TooManyConnections) {
			h.cfg.Router.ReportFailure(r.Target, retry.Cause)
		}
		if !clock.Sleep(ctx, pause) {
			return refusal(ctx, r, retry)
		}
		pause = min(2*pause, lastPause)
	}
}

// choose sets the target of the request.
func (h *handler) choose(ctx context.Context, r *filter.Request) (err error) {
	database := r.Session.Grant.Database
	reader, proves := h.cfg.Router.(PrimaryReader)
	switch {
	case !r.Write:
		r.Target, err = h.cfg.Router.Read(ctx, database, r.Requirement)
	case proves && r.ReadsBeforeCommit:
		r.Target, err = reader.PrimaryFor(ctx, database, r.Requirement)
	default:
		r.Target, err = h.cfg.Router.Primary(ctx, database)
	}
	return err
}

// refusal returns the coded error for a request that found no upstream. All of
// them mean that the request did not run.
func refusal(ctx context.Context, r *filter.Request, err error) error {
	if errors.Is(context.Cause(ctx), filter.ErrCancelled) {
		return filter.WaitError(ctx, resultcode.Cancelled, "")
	}
	if resultcode.Of(err) != 0 {
		return err
	}
	var retry *filter.RetryableError
	if errors.As(err, &retry) && retry.Reason == filter.ReasonReadOnly {
		return resultcode.New(resultcode.NoPrimary, "the primary refused writes until the deadline")
	}
	if r.Write {
		return resultcode.New(resultcode.NoPrimary, "the primary could not be reached before the deadline")
	}
	return resultcode.New(resultcode.NoUpstream, "no upstream could be reached before the deadline")
}
