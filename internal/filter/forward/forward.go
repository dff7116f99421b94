package forward

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
)

// defaultConfirmTimeout is the default of Config.ConfirmTimeout.
const defaultConfirmTimeout = 5 * time.Second

// Config configures the filter.
type Config struct {
	Pools  *upstream.Pools
	Router request.Router
	// Authoriser is checked again after a connection was acquired, because the key may
	// have been withdrawn while the request waited for it.
	Authoriser request.Authoriser
	Counters   *filter.Counters
	// ConfirmTimeout limits the wait for a confirmation and for the outcome of a commit
	// without a response; default 5 s.
	ConfirmTimeout time.Duration
	// PlainWrites sends single writes without BEGIN and COMMIT, except to a primary with
	// Target.StatusStale. It saves one round trip to the upstream, but leaves more
	// outcomes unknown.
	PlainWrites bool
}

type handler struct{ cfg Config }

// New returns the filter. It rejects requests with RolledBack, OutcomeUnknown,
// AnswerIncomplete, InvalidSetting, QueueDeadline and ShuttingDown, and returns
// *filter.RetryableError for a request that had no effect.
func New(cfg Config) filter.Handler {
	if cfg.ConfirmTimeout == 0 {
		cfg.ConfirmTimeout = defaultConfirmTimeout
	}
	return &handler{cfg: cfg}
}

// Serve implements filter.Handler.
func (h *handler) Serve(ctx context.Context, r *filter.Request) error {
	s := r.Session
	lease := s.Lease.Load()
	fresh := lease == nil
	if fresh {
		var err error
		if lease, err = h.acquireLease(ctx, r); err != nil {
			return err
		}
	}
	x := newExchange(h, r, lease, fresh)
	defer x.release()
	err := x.run()
	if err != nil {
		return x.handleFailure(err)
	}
	x.finish()
	return nil
}

// acquireLease leases a connection to the target.
func (h *handler) acquireLease(ctx context.Context, r *filter.Request) (*upstream.Lease, error) {
	lease, err := h.cfg.Pools.Acquire(ctx, r.Target, func(c *upstream.Conn) bool {
		return r.Session.Settings.Matches(c.Settings, !r.Write)
	})
	if err != nil {
		var open *upstream.OpenError
		if errors.As(err, &open) {
			return nil, &filter.RetryableError{Reason: filter.ReasonNotSent, Cause: err}
		}
		if errors.Is(err, filter.ErrCancelled) || errors.Is(err, filter.ErrStopping) {
			return nil, filter.WaitError(ctx, resultcode.Cancelled, "")
		}
		return nil, err
	}
	// A request that was admitted before its zone was taken out of service still runs.
	if err := h.cfg.Authoriser.Check(r.Session.Grant); err != nil && !resultcode.Is(err, resultcode.ZoneOut) {
		lease.Release(false)
		return nil, err
	}
	s := r.Session
	s.OnPrimary = r.Write
	s.Lease.Store(lease)
	if s.Stopped.Load() {
		s.EndLease()
		lease.Release(false)
		return nil, filter.StoppingError()
	}
	h.count(r)
	return lease, nil
}

func (h *handler) count(r *filter.Request) {
	switch {
	case !r.Counted:
	case r.Write:
		h.cfg.Counters.Writes.Add(1)
	case r.Target.Primary:
		h.cfg.Counters.ReadsPrimary.Add(1)
	default:
		h.cfg.Counters.ReadsReplica.Add(1)
	}
}
