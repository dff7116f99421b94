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

// defaultConfirmTimeout bounds confirmation and resolution of a commit.
const defaultConfirmTimeout = 5 * time.Second

// Config configures the filter.
type Config struct {
	Pools  *upstream.Pools
	Router request.Router
	// Authoriser is asked again once a connection is there, because the request may
	// have waited for it while its key was withdrawn.
	Authoriser request.Authoriser
	Counters   *filter.Counters
	// ConfirmTimeout bounds the wait for a confirmation and for the outcome of an
	// unanswered commit; default 5 s.
	ConfirmTimeout time.Duration
	// PlainWrites sends single writes without BEGIN and COMMIT, except to a quiet primary. It
	// saves one exchange with the upstream and leaves more outcomes unknown.
	PlainWrites bool
}

type handler struct{ cfg Config }

// New returns the filter. It refuses with RolledBack, OutcomeUnknown,
// AnswerIncomplete, InvalidSetting and QueueDeadline, and returns *filter.Retry
// for a request that had no effect.
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

// acquireLease takes a connection to the target.
func (h *handler) acquireLease(ctx context.Context, r *filter.Request) (*upstream.Lease, error) {
	lease, err := h.cfg.Pools.Acquire(ctx, r.Target, func(c *upstream.Conn) bool {
		return r.Session.Settings.Matches(c.Settings, !r.Write)
	})
	if err != nil {
		var open *upstream.OpenError
		if errors.As(err, &open) {
			return nil, &filter.RetryableError{Reason: filter.ReasonNotSent, Cause: err}
		}
		if errors.Is(err, filter.ErrCancelled) {
			return nil, filter.WaitError(ctx, resultcode.Cancelled, "")
		}
		return nil, err
	}
	// A request that was admitted before its zone was taken out still runs.
	if err := h.cfg.Authoriser.Check(r.Session.Grant); err != nil && !resultcode.Is(err, resultcode.ZoneOut) {
		lease.Release(false)
		return nil, err
	}
	s := r.Session
	s.OnPrimary = r.Write
	s.Lease.Store(lease)
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
