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
	Cut       bool
	Loss      float64       // probability that a message is lost
	Duplicate float64       // probability that a message is sent twice
	Delay     time.Duration // added to every message
	Jitter    time.Duration // random further delay, which reorders messages
}

// Links disturbs messages between VMs for tests and the demo. It is safe for
// concurrent use.
type Links struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults map[[2]ident.VMName]Fault
}

// NewLinks returns undisturbed links whose random choices follow the seed.
func NewLinks(seed uint64) *Links {
	return &Links{rng: rand.New(rand.NewPCG(seed, 1)), faults: map[[2]ident.VMName]Fault{}}
}

// Set disturbs the direction from one VM to another; the zero Fault repairs it.
func (l *Links) Set(from, to ident.VMName, fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[[2]ident.VMName{from, to}] = fault
}

// SetBoth disturbs both directions between every VM of a and every VM of b.
func (l *Links) SetBoth(a, b []ident.VMName, fault Fault) {
	for _, x := range a {
		for _, y := range b {
			l.Set(x, y, fault)
			l.Set(y, x, fault)
		}
	}
}

// Clear repairs all links.
func (l *Links) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
}

// copies returns the delay of each copy of a message that is to be sent; none when
// the message is lost.
func (l *Links) copies(from, to ident.VMName) []time.Duration {
	if l == nil {
		return []time.Duration{0}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults[[2]ident.VMName{from, to}]
	if f.Cut || f.Loss > 0 && l.rng.Float64() < f.Loss {
		return nil
	}
	n := 1
	if f.Duplicate > 0 && l.rng.Float64() < f.Duplicate {
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
