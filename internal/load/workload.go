package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// maxBacklog bounds the due requests of one organisation that no session has
// taken. Beyond it the generator waits, which the latency from the intended time shows.
const maxBacklog = 1 << 16

// workload makes requests due, independent of the answers to earlier ones.
type workload struct {
	mu      sync.Mutex
	factors map[ident.OrganisationName]float64
}

func newWorkload() *workload { return &workload{factors: map[ident.OrganisationName]float64{}} }

// setFactor multiplies the offered load of an organisation.
func (w *workload) setFactor(organisation ident.OrganisationName, factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.factors[organisation] = factor
}

func (w *workload) factor(organisation ident.OrganisationName) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f, ok := w.factors[organisation]; ok {
		return f
	}
	return 1
}

// generate sends the intended times of an organisation's requests, with
// exponentially distributed gaps, until the scenario's duration is over. perRequest
// is the mean number of statements of a request.
func (r *run) generate(ctx context.Context, o fleet.Organisation, perRequest float64, due chan<- time.Duration) {
	defer close(due)
	random := rand.New(rand.NewPCG(r.options.Seed, hash(string(o.Name))))
	base := r.scenario.loadOf(o.Name) * o.Rate / perRequest
	if base <= 0 {
		return
	}
	next := time.Duration(0)
	for {
		rate := base * r.workload.factor(o.Name)
		next += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if next > r.scenario.Duration || !sleepUntil(ctx, r.start.Add(next)) {
			return
		}
		select {
		case due <- next:
		case <-ctx.Done():
			return
		}
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// hash is the FNV-1a hash of a name; it separates the random streams of a seed.
func hash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return h
}
