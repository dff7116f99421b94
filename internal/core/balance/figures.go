package balance

import (
	"math"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// FigureValidity is the age from which figures are not used.
	FigureValidity = time.Second
	// figureTime is the time constant with which reports are averaged. Each hub of a zone
	// reports its own part of the load.
	figureTime = 200 * time.Millisecond
	// failureTime is the time constant of the share of failed statements.
	failureTime = 2 * time.Second
	// failurePrior is the number of successful statements assumed beside the observed
	// ones, so that a single failure does not look like an upstream that always fails.
	failurePrior = 8

	// ejectFactor and returnFactor are the multiples of the typical service time at which
	// a slow upstream is ejected and returns. The statements of different routes differ by
	// less than a factor of two between the replicas of a group.
	ejectFactor  = 3.0
	returnFactor = 2.0
	// ejectFailures and returnFailures are the shares of failed statements, above the
	// typical one, at which an upstream is ejected and returns.
	ejectFailures  = 0.1
	returnFailures = 0.05
	// minCompared is the number of replicas with fresh figures from which one can be said
	// to differ from the others.
	minCompared = 4
	// typicalInterval is the minimum time between comparisons.
	typicalInterval = 50 * time.Millisecond
	// retention is the age from which nothing is kept of an upstream.
	retention = 10 * time.Second
)

// Figures describes the recent work of an upstream.
type Figures struct {
	// Load is the number of statements in flight and waiting there, of all VMs.
	Load float64
	// Waiting is the part of Load that waits in the executing VMs.
	Waiting float64
	// Service is the mean time from sending a statement to its response.
	Service time.Duration
	// Slots is the number of statements that it runs concurrently.
	Slots int
	// Primary is set for a primary. It runs other statements than replicas, so its service
	// time is not compared with theirs.
	Primary bool
}

// state is what is known of an upstream.
type state struct {
	Figures
	at, failuresAt    time.Duration
	failures, answers float64 // decaying counts
	ejected           bool
	known             bool
	share             share
}

// typicalService holds the medians over the replicas with fresh figures.
type typicalService struct {
	value    time.Duration
	failures float64
	compared int
	at       time.Duration
	services []time.Duration
	shares   []float64
}

func (b *Balancer) state(u ident.UpstreamName) *state {
	s := b.figures[u]
	if s == nil {
		s = &state{}
		b.figures[u] = s
	}
	return s
}

// ObserveFigures records figures of an upstream as of the time at.
func (b *Balancer) ObserveFigures(at time.Duration, u ident.UpstreamName, f Figures) {
	s := b.state(u)
	if s.known && at < s.at {
		return
	}
	weight := 1.0
	if s.known && at-s.at < FigureValidity {
		// A quarter at least, so that the figures follow when many are received at once.
		weight = max(0.25, 1-math.Exp(-float64(at-s.at)/float64(figureTime)))
	}
	s.Load += weight * (f.Load - s.Load)
	s.Waiting += weight * (f.Waiting - s.Waiting)
	if s.Service == 0 {
		s.Service = f.Service
	} else if f.Service > 0 {
		s.Service += time.Duration(weight * float64(f.Service-s.Service))
	}
	s.at, s.known, s.Slots, s.Primary = at, true, max(1, f.Slots), f.Primary
}

// SetFigures replaces the figures of an upstream by those of another VM, if they are newer.
func (b *Balancer) SetFigures(at time.Duration, u ident.UpstreamName, f Figures) {
	s := b.state(u)
	if !s.known || at > s.at {
		s.Figures, s.at, s.known = f, at, true
		s.Slots = max(1, f.Slots)
	}
}

// Latest returns the figures of an upstream and the time of the newest report. The result
// is false if they are not fresh.
func (b *Balancer) Latest(now time.Duration, u ident.UpstreamName) (Figures, time.Duration, bool) {
	s, ok := b.fresh(now, u)
	if !ok {
		return Figures{}, 0, false
	}
	return s.Figures, s.at, true
}

// ObserveAnswer records whether a statement that ran on an upstream failed.
func (b *Balancer) ObserveAnswer(now time.Duration, u ident.UpstreamName, failed bool) {
	s := b.state(u)
	s.decayAnswers(now)
	s.answers++
	if failed {
		s.failures++
	}
}

// Answers returns the numbers of statements that an upstream recently ran and that failed.
func (b *Balancer) Answers(now time.Duration, u ident.UpstreamName) (answers, failures float64) {
	s := b.figures[u]
	if s == nil {
		return 0, 0
	}
	s.decayAnswers(now)
	return s.answers, s.failures
}

func (s *state) decayAnswers(now time.Duration) {
	if now > s.failuresAt {
		decay := math.Exp(-float64(now-s.failuresAt) / float64(failureTime))
		s.answers, s.failures, s.failuresAt = s.answers*decay, s.failures*decay, now
	}
}

// SetAnswers replaces the counts of an upstream by those of another VM, if that has more
// answers. The counts of two VMs are not added, because the next ones would be added again.
func (b *Balancer) SetAnswers(now time.Duration, u ident.UpstreamName, answers, failures float64) {
	if own, _ := b.Answers(now, u); answers > own {
		s := b.state(u)
		s.answers, s.failures, s.failuresAt = answers, min(failures, answers), max(now, s.failuresAt)
	}
}

// failureShare returns the share of statements that recently failed.
func (s *state) failureShare() float64 { return s.failures / (s.answers + failurePrior) }

// fresh returns the state of an upstream if its figures are fresh.
func (b *Balancer) fresh(now time.Duration, u ident.UpstreamName) (*state, bool) {
	s := b.figures[u]
	return s, s != nil && s.known && now-s.at < FigureValidity
}

// perSlot returns the time of a statement in a slot. If more statements are in flight than
// there are slots, the reported time includes their wait in the upstream.
func (s *state) perSlot() float64 {
	inFlight := max(1, s.Load-s.Waiting)
	return float64(s.Service) * min(1, float64(s.Slots)/inFlight)
}

// expected returns the expected time of a read, or false if it is not known.
func (b *Balancer) expected(now time.Duration, c Candidate, target time.Duration) (time.Duration, bool) {
	s, ok := b.fresh(now, c.Upstream)
	if !ok || !c.TripKnown {
		return 0, false
	}
	service := s.perSlot()
	if typical := float64(b.typical.value); service < ejectFactor*typical {
		// A difference may be due to the mix of statements, which says nothing about this
		// one.
		service = typical
	}
	predicted := service * max(1, (s.Load+1)/float64(s.Slots))
	// One hub's part of the load may be larger than its part of the capacity. No wait is
	// expected that the reported times, which include the one in the upstream, don't show.
	reported := float64(s.Service) * (s.Load + 1) / max(1, s.Load-s.Waiting)
	predicted = min(predicted, max(service, reported))
	return c.Trip + time.Duration(predicted+s.failureShare()*float64(target)), true
}

// ejected reports whether an upstream is much slower than the others or fails a larger part
// of its statements. One without fresh figures is not ejected, and so is tried again.
func (b *Balancer) ejected(now time.Duration, u ident.UpstreamName) bool {
	s, ok := b.fresh(now, u)
	return ok && s.ejected
}

// updateTypical compares the upstreams with each other.
func (b *Balancer) updateTypical(now time.Duration) {
	t := &b.typical
	if t.at != 0 && now-t.at < typicalInterval {
		return
	}
	t.at, t.services, t.shares = now, t.services[:0], t.shares[:0]
	for u, s := range b.figures {
		if now-max(s.at, s.failuresAt, s.share.at) > retention {
			delete(b.figures, u)
		} else if s.known && now-s.at < FigureValidity && s.Service > 0 && !s.Primary {
			t.services = append(t.services, time.Duration(s.perSlot()))
			t.shares = append(t.shares, s.failureShare())
		}
	}
	t.compared = len(t.services)
	if t.compared == 0 {
		t.value, t.failures = 0, 0
		return
	}
	slices.Sort(t.services)
	slices.Sort(t.shares)
	t.value, t.failures = t.services[(t.compared-1)/2], t.shares[(t.compared-1)/2]
	for _, s := range b.figures {
		s.ejected = t.compared >= minCompared && !s.Primary && t.differs(s)
	}
}

// differs reports whether an upstream is much worse than the typical one.
func (t *typicalService) differs(s *state) bool {
	factor, failures := ejectFactor, ejectFailures
	if s.ejected {
		factor, failures = returnFactor, returnFailures
	}
	return s.perSlot() > factor*float64(t.value) || s.failureShare() > failures+t.failures
}
