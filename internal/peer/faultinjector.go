package peer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Fault describes network faults in one direction between two VMs. The zero value
// injects none.
type Fault struct {
	Partitioned   bool          // drops every message
	LossRate      float64       // probability that a message is dropped
	DuplicateRate float64       // probability that a message is sent twice
	Delay         time.Duration // added to every message
	Jitter        time.Duration // upper bound of an additional random delay, which reorders messages
}

// FaultInjector injects network faults between VMs in tests and the demo. It is safe
// for concurrent use.
type FaultInjector struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults map[[2]ident.VMName]Fault
}

// NewFaultInjector returns an injector without faults. The seed determines its random
// decisions.
func NewFaultInjector(seed uint64) *FaultInjector {
	return &FaultInjector{rng: rand.New(rand.NewPCG(seed, 1)), faults: map[[2]ident.VMName]Fault{}}
}

// Set replaces the fault in the direction from one VM to another. The zero Fault
// removes it.
func (l *FaultInjector) Set(from, to ident.VMName, fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[[2]ident.VMName{from, to}] = fault
}

// SetBoth sets the fault in both directions between every VM of a and every VM of b.
func (l *FaultInjector) SetBoth(a, b []ident.VMName, fault Fault) {
	for _, x := range a {
		for _, y := range b {
			l.Set(x, y, fault)
			l.Set(y, x, fault)
		}
	}
}

// Clear removes all faults.
func (l *FaultInjector) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
}

// copyDelays returns the delay of each copy of a message to send. The result is empty
// if the message is dropped.
func (l *FaultInjector) copyDelays(from, to ident.VMName) []time.Duration {
	if l == nil {
		return []time.Duration{0}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults[[2]ident.VMName{from, to}]
	if f.Partitioned || f.LossRate > 0 && l.rng.Float64() < f.LossRate {
		return nil
	}
	n := 1
	if f.DuplicateRate > 0 && l.rng.Float64() < f.DuplicateRate {
		n = 2
	}
	delays := make([]time.Duration, n)
	for i := range delays {
		delays[i] = f.Delay
		if f.Jitter > 0 {
			delays[i] += time.Duration(l.rng.Int64N(int64(f.Jitter)))
		}
	}
	return delays
}
