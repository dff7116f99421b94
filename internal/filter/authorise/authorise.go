// Package authorise is the filter that checks before every request whether the client
// is still permitted to run requests.
package authorise

import (
	"context"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Config configures the filter.
type Config struct {
	Authoriser request.Authoriser
}

type handler struct {
	next filter.Handler
	cfg  Config
}

// New returns the filter. It rejects requests with the codes of
// request.Authoriser.Check. A transaction that is open when the zone is taken out of
// service may finish.
func New(next filter.Handler, cfg Config) filter.Handler { return &handler{next, cfg} }

// Serve implements filter.Handler.
func (h *handler) Serve(ctx context.Context, r *filter.Request) error {
	err := h.cfg.Authoriser.Check(r.Session.Grant)
	open := r.Session.Lease.Load() != nil || r.Begin != ""
	if err != nil && !(open && resultcode.Is(err, resultcode.ZoneOut)) {
		return err
	}
	return h.next.Serve(ctx, r)
}
