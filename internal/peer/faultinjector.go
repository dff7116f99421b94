package peer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Fault disturbs the messages of one direction between two VMs. The zero value
// disturbs nothing.
type Fault struct {
	Partitioned   bool
	LossRate      float64       // probability that a message is lost
	DuplicateRate float64       // probability that a message is sent twice
	Delay         time.Duration // added to every message
	Jitter        time.Duration // random further delay, which reorders messages
}

// FaultInjector disturbs messages between VMs for tests and the demo. It is safe for
// concurrent use.
type FaultInjector struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults map[[2]ident.VMName]Fault
}

// NewFaultInjector returns undisturbed links whose random choices follow the seed.
func NewFaultInjector(seed uint64) *FaultInjector {
	return &FaultInjector{rng: rand.New(rand.NewPCG(seed, 1)), faults: map[[2]ident.VMName]Fault{}}
}

// Set disturbs the direction from one VM to another; the zero Fault repairs it.
func (l *FaultInjector) Set(from, to ident.VMName, fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[[2]ident.VMName{from, to}] = fault
}

// SetBoth disturbs both directions between every VM of a and every VM of b.
func (l *FaultInjector) SetBoth(a, b []ident.VMName, fault Fault) {
	for _, x := range a {
		for _, y := range b {
			l.Set(x, y, fault)
			l.Set(y, x, fault)
		}
	}
}

// Clear repairs all links.
func (l *FaultInjector) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
}

// copyDelays returns the delay of each copy of a message that is to be sent; none when
// the message is lost.
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
