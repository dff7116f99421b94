package balance

import (
	"math/rand/v2"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// targetFraction is the fraction of the latency target by which the expected time of a
	// read must be shorter in another zone before reads leave the preferred one. An
	// operation consists of several statements, and each of them may wait that long.
	targetFraction = 16
	// stopFraction divides the gain at which the share of reads begins to grow to give the
	// gain below which it shrinks.
	stopFraction = 2
	// shareRate is the largest change per second of the share of reads that go to another
	// upstream than the preferred one. Figures are up to a second old, so a faster change
	// would overshoot before it is seen.
	shareRate = 1.0
	// immediateShare is the part of the reads, times the relative gain, that is sent away
	// without delay, so that clients that move to another zone at once need not wait for
	// the share to grow.
	immediateShare = 0.25
	// maxShareStep limits the time that one decision accounts for. A VM of a large fleet
	// reads from a group about once a second.
	maxShareStep = 500 * time.Millisecond
	// maxShare leaves the preferred upstream enough reads to keep its figures fresh.
	maxShare = 15.0 / 16
	// trialProbability is the probability with which a read is sent to an upstream that
	// would be preferred but for an old or bad figure, so that its recovery is noticed.
	trialProbability = 1.0 / 16
	// primaryReserve divides the slots of a primary to give the number of statements above
	// which it gets no reads that a replica can serve.
	primaryReserve = 2
	// tripTolerance is the difference of two round trips below which zones of equal
	// distance count as equally near. Probes measure a trip to within a millisecond or so.
	tripTolerance = 2 * time.Millisecond
)

// Candidate is an upstream that may serve a read.
type Candidate struct {
	Upstream ident.UpstreamName
	// Class orders the candidates by rules that take precedence over the expected time. Only
	// those of the lowest class are considered.
	Class int
	// Distance is 0 in the own zone and larger farther away.
	Distance int
	// Order decides between preferred upstreams of equal distance; the highest wins.
	Order uint64
	// Trip is the round trip to the upstream's zone, valid if TripKnown is set.
	Trip      time.Duration
	TripKnown bool
	Slots     int
	// Primary is set for the group's primary, which is spared reads that replicas serve.
	Primary bool
}

// share is the part of the reads compared with an upstream that goes to it although it is
// not the preferred one.
type share struct {
	value float64
	at    time.Duration
}

// Balancer holds the figures and shares of upstreams.
type Balancer struct {
	random  *rand.Rand
	figures map[ident.UpstreamName]*state
	typical typicalService
}

// New returns a balancer that draws from random.
func New(random *rand.Rand) *Balancer {
	return &Balancer{random: random, figures: map[ident.UpstreamName]*state{}}
}

// Choose returns the index of the candidate for a read whose operation has the given
// latency target, or -1 if there are none.
func (b *Balancer) Choose(now, target time.Duration, candidates []Candidate) int {
	class, ok := lowestClass(candidates)
	if !ok {
		return -1
	}
	b.updateTypical(now)
	preferred, ejected := b.preferred(now, class, candidates)
	if ejected >= 0 && (!b.gains(now, target, candidates[ejected], candidates[preferred]) || b.random.Float64() < trialProbability) {
		return ejected
	}
	expected, known := b.expected(now, candidates[preferred], target)
	if !known {
		return preferred
	}
	other := b.draw(now, class, candidates, preferred, target > 0 && expected > target/2)
	if other >= 0 && b.leave(now, target, candidates[preferred], candidates[other], expected) {
		return other
	}
	return preferred
}

// leave reports whether a read goes to other instead of preferred, where its expected time
// is given.
func (b *Balancer) leave(now, target time.Duration, preferred, other Candidate, expected time.Duration) bool {
	service := b.typical.value
	margin := max(service, target/targetFraction)
	if other.Distance == preferred.Distance {
		margin = service / 2
	}
	s := &b.state(other.Upstream).share
	there, known := b.expected(now, other, target)
	if !known {
		// Nothing is known of the other one. A trial is worth its trip if it would gain
		// twice the margin on an idle upstream.
		s.shrink(now)
		return other.TripKnown && expected-other.Trip-service > 2*margin && b.random.Float64() < immediateShare
	}
	gain, immediate := expected-there, 0.0
	relative := float64(gain) / float64(expected)
	switch {
	case gain > margin:
		s.grow(now, relative)
		immediate = immediateShare * relative
	case gain < margin/stopFraction:
		s.shrink(now)
	default:
		s.at = now
	}
	return gain > 0 && b.random.Float64() < s.value+immediate
}

// gains reports whether a read is faster at other than at an ejected upstream. If nothing is
// known of the other one, its load is assumed to be low.
func (b *Balancer) gains(now, target time.Duration, ejected, other Candidate) bool {
	expected, _ := b.expected(now, ejected, target)
	there, known := b.expected(now, other, target)
	if !known {
		there = other.Trip + b.typical.value
	}
	return other.TripKnown && there < expected
}

func lowestClass(candidates []Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	class := candidates[0].Class
	for _, c := range candidates[1:] {
		class = min(class, c.Class)
	}
	return class, true
}

// preferred returns the index of the nearest candidate that is not ejected. The second
// index is that of an ejected one that would be preferred otherwise, or -1.
func (b *Balancer) preferred(now time.Duration, class int, candidates []Candidate) (best, ejected int) {
	best, nearest := -1, -1
	for i := range candidates {
		if candidates[i].Class != class {
			continue
		}
		if nearest < 0 || before(&candidates[i], &candidates[nearest], false, false) {
			nearest = i
		}
		if best < 0 || before(&candidates[i], &candidates[best], b.ejected(now, candidates[i].Upstream), b.ejected(now, candidates[best].Upstream)) {
			best = i
		}
	}
	if nearest == best {
		nearest = -1
	}
	return best, nearest
}

// before reports whether c is preferred to d: replicas to primaries, those that are not
// ejected to the others, then by distance, round trip and order.
func before(c, d *Candidate, cEjected, dEjected bool) bool {
	switch {
	case c.Primary != d.Primary:
		return d.Primary
	case cEjected != dEjected:
		return dEjected
	case c.Distance != d.Distance:
		return c.Distance < d.Distance
	case c.TripKnown && d.TripKnown && max(c.Trip, d.Trip)-min(c.Trip, d.Trip) > tripTolerance:
		return c.Trip < d.Trip
	}
	return c.Order > d.Order
}

// draw returns the index of a random candidate to compare with the preferred one, or -1 if
// there is none. A primary with free slots is included if replicas cannot serve the read
// well.
func (b *Balancer) draw(now time.Duration, class int, candidates []Candidate, preferred int, withPrimary bool) int {
	drawn, n := -1, 0
	for i := range candidates {
		c := &candidates[i]
		if i == preferred || c.Class != class || b.ejected(now, c.Upstream) {
			continue
		}
		if c.Primary && (!withPrimary || !b.hasReserve(now, c)) {
			continue
		}
		n++
		if b.random.IntN(n) == 0 {
			drawn = i
		}
	}
	return drawn
}

func (b *Balancer) hasReserve(now time.Duration, c *Candidate) bool {
	f, ok := b.fresh(now, c.Upstream)
	return ok && f.Load+1 <= float64(c.Slots)/primaryReserve
}

func (s *share) step(now time.Duration) float64 {
	d := min(now-s.at, maxShareStep).Seconds()
	s.at = now
	return d * shareRate
}

func (s *share) grow(now time.Duration, gain float64) {
	s.value = min(maxShare, s.value+s.step(now)*gain)
}

func (s *share) shrink(now time.Duration) { s.value = max(0, s.value-s.step(now)) }
