package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// readinessInterval is the time between the load balancer's looks at the VMs.
	readinessInterval = 100 * time.Millisecond
	readinessTimeout  = 500 * time.Millisecond
)

// balancer stands for the load balancer: it gives callers a VM that is ready.
type balancer struct {
	fleet  *fleet.Fleet
	client *http.Client

	mu    sync.Mutex
	ready []ident.VMName
	// target is a VM or zone that gets the given share of new choices.
	target string
	share  float64
}

func newBalancer(f *fleet.Fleet) *balancer {
	return &balancer{fleet: f, client: &http.Client{Timeout: readinessTimeout}}
}

// run keeps the list of ready VMs until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.look()
		select {
		case <-ctx.Done():
		case <-time.After(readinessInterval):
		}
	}
	b.client.CloseIdleConnections()
}

// look asks every VM whether it is ready and returns the number that are.
func (b *balancer) look() int {
	names := b.fleet.Names()
	found := make([]bool, len(names))
	var asked sync.WaitGroup
	for i, name := range names {
		asked.Go(func() { found[i] = b.isReady(name) })
	}
	asked.Wait()
	var ready []ident.VMName
	for i, name := range names {
		if found[i] {
			ready = append(ready, name)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
	return len(ready)
}

func (b *balancer) isReady(name ident.VMName) bool {
	vm := b.fleet.VM(name)
	if vm == nil {
		return false
	}
	response, err := b.client.Get("http://" + vm.AdminAddress() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// skew sends a share of the choices to a VM or zone; an empty target ends that.
func (b *balancer) skew(target string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.target, b.share = target, share
}

// isReadyNow reports whether the VM was ready at the last look.
func (b *balancer) isReadyNow(name ident.VMName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, vm := range b.ready {
		if vm == name {
			return true
		}
	}
	return false
}

// choose returns a ready VM other than avoid where there is one, empty when none
// is ready. aimed says that the choice follows the skew.
func (b *balancer) choose(random *rand.Rand, avoid ident.VMName) (name ident.VMName, aimed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.target != "" && random.Float64() < b.share {
		if name := pick(random, b.ready, func(vm ident.VMName) bool { return strings.HasPrefix(string(vm), b.target) }); name != "" {
			return name, true
		}
	}
	if name := pick(random, b.ready, func(vm ident.VMName) bool { return vm != avoid }); name != "" {
		return name, false
	}
	return pick(random, b.ready, func(ident.VMName) bool { return true }), false
}

// skewed reports whether a skew is in force.
func (b *balancer) skewed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.target != ""
}

func pick(random *rand.Rand, names []ident.VMName, suits func(ident.VMName) bool) ident.VMName {
	var found []ident.VMName
	for _, name := range names {
		if suits(name) {
			found = append(found, name)
		}
	}
	if len(found) == 0 {
		return ""
	}
	return found[random.IntN(len(found))]
}
