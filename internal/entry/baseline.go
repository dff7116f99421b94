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

// Baseline replaces components of a VM with simpler ones for comparison in
// measurements. It cannot be selected in the settings.
type Baseline struct {
	// ReadsOnPrimary routes all reads to the primary.
	ReadsOnPrimary bool
	// StaticShares, if positive, is the number of VMs among which each rate and burst
	// is divided equally, without transfers between VMs.
	StaticShares int
	// FIFOQueue serves queued requests in order of arrival.
	FIFOQueue bool
}

func (b Baseline) router(r request.Router) request.Router {
	if !b.ReadsOnPrimary {
		return r
	}
	return primaryOnlyRouter{r}
}

func (b Baseline) limiter(l request.Limiter, source request.ConfigurationSource) request.Limiter {
	if b.StaticShares <= 0 {
		return l
	}
	return &staticLimiter{source: source, vms: b.StaticShares, buckets: map[ident.OrganisationName]*rate.Limiter{}}
}

// primaryOnlyRouter routes all reads to the primary.
type primaryOnlyRouter struct{ request.Router }

// Read implements request.Router.
func (p primaryOnlyRouter) Read(ctx context.Context, database ident.GroupName, _ request.ReadRequirement) (request.Target, error) {
	return p.Primary(ctx, database)
}

// staticLimiter limits a VM to a fixed share of each rate.
type staticLimiter struct {
	source request.ConfigurationSource
	vms    int

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
		b = rate.NewLimiter(rate.Limit(o.Rate/float64(l.vms)), int(o.Burst)/l.vms)
		l.buckets[organisation] = b
	}
	return b
}
