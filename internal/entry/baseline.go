package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Baseline replaces parts of a VM by simpler ones for comparisons in measurements.
// No setting of a process selects it.
type Baseline struct {
	// ReadsOnPrimary sends all reads to the primary.
	ReadsOnPrimary bool
	// StaticShares, when positive, is the number of VMs that share each rate and
	// burst equally, without transfers.
	StaticShares int
	// FIFOQueue serves waiting requests in the order of their arrival.
	FIFOQueue bool
}

func (b Baseline) router(r request.Router) request.Router {
	if !b.ReadsOnPrimary {
		return r
	}
	return primaryReads{r}
}

func (b Baseline) limiter(l request.Limiter, source request.ConfigurationSource) request.Limiter {
	if b.StaticShares <= 0 {
		return l
	}
	return &staticLimiter{source: source, parts: b.StaticShares, buckets: map[ident.OrganisationName]*rate.Limiter{}}
}

// primaryReads is a router that sends all reads to the primary.
type primaryReads struct{ request.Router }

// Read implements request.Router.
func (p primaryReads) Read(ctx context.Context, database ident.GroupName, _ request.ReadRequirement) (request.Target, error) {
	return p.Primary(ctx, database)
}

// staticLimiter gives a VM a fixed part of every rate.
type staticLimiter struct {
	source request.ConfigurationSource
	parts  int

	mu      sync.Mutex
	buckets map[ident.OrganisationName]*rate.Limiter
}

// Take implements request.Limiter.
func (l *staticLimiter) Take(_ context.Context, organisation ident.OrganisationName, n int) error {
	if !l.bucket(organisation).AllowN(time.Now(), n) {
		return resultcode.New(resultcode.RateExceeded, "organisation %q has used its rate and burst", organisation)
	}
	return nil
}

func (l *staticLimiter) bucket(organisation ident.OrganisationName) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[organisation]
	if b == nil {
		o := l.source.Current().Organisations[organisation]
		b = rate.NewLimiter(rate.Limit(o.Rate/float64(l.parts)), int(o.Burst)/l.parts)
		l.buckets[organisation] = b
	}
	return b
}
