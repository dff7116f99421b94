// Package authorise is the filter that checks before every request that the
// caller may still run requests.
package authorise

import (
	"context"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/request"
)

// Config configures the filter.
type Config struct {
	Authoriser request.Authoriser
}

type handler struct {
	next filter.Handler
	cfg  Config
}

// New returns the filter. It refuses with the codes of request.Authoriser.Check.
func New(next filter.Handler, cfg Config) filter.Handler { return &handler{next, cfg} }

// Serve implements filter.Handler.
func (h *handler) Serve(ctx context.Context, r *filter.Request) error {
	if err := h.cfg.Authoriser.Check(r.Session.Grant); err != nil {
		return err
	}
	return h.next.Serve(ctx, r)
}
