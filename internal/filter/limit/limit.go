// Package limit is the filter that takes one token per statement from the rate limit
// of the organisation.
package limit

import (
	"context"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Config configures the filter.
type Config struct {
	Limiter request.Limiter
}

type handler struct {
	next filter.Handler
	cfg  Config
}

// New returns the filter. It rejects requests with RateExceeded, Cancelled or ShuttingDown.
func New(next filter.Handler, cfg Config) filter.Handler { return &handler{next, cfg} }

// Serve implements filter.Handler.
func (h *handler) Serve(ctx context.Context, r *filter.Request) error {
	if r.Cost > 0 {
		if err := h.cfg.Limiter.Take(ctx, r.Session.Grant.Organisation, r.Cost); err != nil {
			if filter.IsEnded(ctx) {
				return filter.WaitError(ctx, resultcode.RateExceeded, "")
			}
			return err
		}
	}
	return h.next.Serve(ctx, r)
}
