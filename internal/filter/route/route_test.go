package route

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// oneUpstream is a router that always returns the same upstream.
type oneUpstream struct{ request.Router }

func (oneUpstream) Read(context.Context, ident.GroupName, request.ReadRequirement) (request.Target, error) {
	return request.Target{Upstream: "u1"}, nil
}

func (oneUpstream) Primary(context.Context, ident.GroupName) (request.Target, error) {
	return request.Target{Upstream: "u1"}, nil
}

func (oneUpstream) ReportFailure(request.Target, error) {}

// results returns one error for each attempt.
type results []error

func (r *results) Serve(context.Context, *filter.Request) error {
	err := (*r)[0]
	*r = (*r)[1:]
	return err
}

// Guards against a refusal that names the wait for a slot although the request had been
// tried and its upstreams failed. Which one is returned must not depend on whether the
// deadline falls into the wait or into the delay before the next attempt.
func TestFailureOfUpstreamsIsReportedAtDeadline(t *testing.T) {
	queued := resultcode.New(resultcode.QueueDeadline, "no slot became free")
	stale := &filter.RetryableError{Reason: filter.ReasonStaleResponse}
	serialization := &filter.RetryableError{Reason: filter.ReasonSerialization}
	for name, test := range map[string]struct {
		attempts results
		write    bool
		want     resultcode.Code
	}{
		"never tried":       {results{queued}, false, resultcode.QueueDeadline},
		"failed read":       {results{stale, stale, queued}, false, resultcode.NoUpstream},
		"failed write":      {results{&filter.RetryableError{Reason: filter.ReasonNotSent}, queued}, true, resultcode.NoPrimary},
		"serialization":     {results{serialization, queued}, true, resultcode.QueueDeadline},
		"failed, then runs": {results{stale, nil}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := New(&test.attempts, Config{Router: oneUpstream{}, Counters: &filter.Counters{}})
			err := h.Serve(t.Context(), &filter.Request{Write: test.write, Session: &filter.Session{}})
			assert.Equal(t, resultcode.Of(err), test.want)
			assert.Equal(t, len(test.attempts), 0)
		})
	}
}
