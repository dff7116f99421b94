package steering

import (
	"math"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/balance"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// The results of statements carry figures of the upstreams. A VM of a large fleet sends less
// than one statement a second to most upstreams, so that its own figures are nearly always
// too old. The VMs of a zone therefore pass what they have observed to the VM from which
// they request positions, and receive with its response what it has learned since.

// UpstreamFigures describes an upstream as a VM has observed it.
type UpstreamFigures struct {
	Group    ident.GroupName    `cbor:"1,keyasint"`
	Upstream ident.UpstreamName `cbor:"2,keyasint"`
	// Age is the time since the figures were reported.
	Age time.Duration `cbor:"3,keyasint"`
	// Load is the number of statements in flight and waiting, and Waiting those waiting,
	// in tenths.
	Load        int           `cbor:"4,keyasint,omitempty"`
	Waiting     int           `cbor:"5,keyasint,omitempty"`
	ServiceTime time.Duration `cbor:"6,keyasint,omitempty"`
	// Answers and Failures are the recent numbers of statements that ran and that failed.
	Answers  int `cbor:"7,keyasint,omitempty"`
	Failures int `cbor:"8,keyasint,omitempty"`
	// Lag is the replication lag, and LagAge the time since it was observed, plus one
	// nanosecond; zero if the lag is not known.
	Lag    time.Duration `cbor:"9,keyasint,omitempty"`
	LagAge time.Duration `cbor:"10,keyasint,omitempty"`
}

// loadUnit is the part of a statement in which UpstreamFigures counts loads.
const loadUnit = 0.1

// ObserveRoundTrip records the round trip of a probe to a VM of a zone.
func (r *Router) ObserveRoundTrip(zone ident.AvailabilityZone, roundTrip time.Duration) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trips.Observe(zone, now, roundTrip)
}

// ObserveExecution records the result of a statement that this VM ran for another one.
func (r *Router) ObserveExecution(q execution.Request, result execution.Result) {
	u, ok := r.registered(q.Target)
	if !ok {
		return
	}
	nearest := placement.Nearest(r.cfg.Hubs(), u.Zone, r.cfg.Regions[u.Zone])
	choice := proxy.Choice{Target: q.Target, MinPosition: q.MinPosition, ExecutingShare: placement.Share(nearest, r.cfg.Self.Name)}
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeFigures(choice, r.upstreamState(u.Name), result, now)
}

func (r *Router) registered(target execution.Target) (catalog.Upstream, bool) {
	for _, u := range r.cfg.Snapshot().Upstreams[target.Group] {
		if u.Name == target.Upstream {
			return u, true
		}
	}
	return catalog.Upstream{}, false
}

// upstreamState returns the state of an upstream; r.mu must be held.
func (r *Router) upstreamState(u ident.UpstreamName) *upstreamState {
	s := r.upstreams[u]
	if s == nil {
		s = &upstreamState{}
		r.upstreams[u] = s
	}
	return s
}

// groupHistory returns the positions of a group's primary; r.mu must be held.
func (r *Router) groupHistory(group ident.GroupName) *balance.History {
	h := r.histories[group]
	if h == nil {
		h = &balance.History{}
		r.histories[group] = h
	}
	return h
}

// observeFigures records what a result tells of an upstream; r.mu must be held.
func (r *Router) observeFigures(choice proxy.Choice, s *upstreamState, result execution.Result, now time.Duration) {
	u, history := choice.Target.Upstream, r.groupHistory(choice.Target.Group)
	s.observedAt, s.changedAt = now, now
	if !result.Position.IsZero() {
		s.applied = result.Position
		if result.LeadershipVerified {
			history.Add(now, result.Position)
		} else {
			s.lag.ObserveApplied(now, history, result.Position)
		}
	}
	if result.Outcome == execution.NotRun && result.Code == statement.Lagging {
		s.lag.ObserveRefused(now, history, choice.MinPosition)
	}
	// A VM of an earlier version reports no service time.
	if registered, ok := r.registered(choice.Target); ok && result.ServiceTime > 0 && choice.ExecutingShare > 0 {
		r.balancer.ObserveFigures(now, u, balance.Figures{
			Load: float64(result.InFlight+result.Waiting) / choice.ExecutingShare, Waiting: float64(result.Waiting) / choice.ExecutingShare,
			Service: result.ServiceTime, Slots: registered.Slots, Primary: registered.Primary,
		})
	}
	ofVM := result.Reason == execution.PeerLost || result.Reason == execution.AnswerLost
	if result.Outcome == execution.Done || result.Outcome == execution.Failed || result.Outcome == execution.Unknown && !ofVM {
		r.balancer.ObserveAnswer(now, u, result.Outcome != execution.Done)
	}
}

// addFigures adds to a request what this VM itself has observed since the last one.
func (r *Router) addFigures(q *PositionsRequest, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := r.figuresSentAt
	q.MaxAge, r.figuresSentAt = min(now-since, balance.FigureValidity), now
	q.Figures = r.figuresOfGroups(now, q.Groups, func(s *upstreamState) bool { return s.observedAt >= since })
}

// figuresOfGroups returns the fresh figures of the upstreams of groups that are selected;
// r.mu must be held.
func (r *Router) figuresOfGroups(now time.Duration, groups []ident.GroupName, selected func(*upstreamState) bool) []UpstreamFigures {
	var list []UpstreamFigures
	snapshot := r.cfg.Snapshot()
	for _, group := range groups {
		for _, u := range snapshot.Upstreams[group] {
			s := r.upstreams[u.Name]
			if s == nil || !selected(s) {
				continue
			}
			if f := r.figuresOf(u, s, now); f.Age < balance.FigureValidity || f.LagAge > 0 {
				list = append(list, f)
			}
		}
	}
	return list
}

func (r *Router) figuresOf(u catalog.Upstream, s *upstreamState, now time.Duration) UpstreamFigures {
	f := UpstreamFigures{Group: u.Group, Upstream: u.Name, Age: balance.FigureValidity}
	if own, at, ok := r.balancer.Latest(now, u.Name); ok {
		f.Age, f.ServiceTime = now-at, own.Service
		f.Load, f.Waiting = int(math.Round(own.Load/loadUnit)), int(math.Round(own.Waiting/loadUnit))
		answers, failures := r.balancer.Answers(now, u.Name)
		f.Answers, f.Failures = int(math.Round(answers)), int(math.Round(failures))
	}
	if lag, at, ok := s.lag.Latest(now); ok {
		f.Lag, f.LagAge = lag, now-at+1
	}
	return f
}

// recordFigures records the figures that another VM sent at the time at; r.mu must be held.
// Those of upstreams that this VM does not know are ignored.
func (r *Router) recordFigures(at time.Duration, list []UpstreamFigures) {
	for _, f := range list {
		u, ok := r.registered(execution.Target{Group: f.Group, Upstream: f.Upstream})
		if !ok || min(f.Age, f.LagAge, f.Lag, f.ServiceTime) < 0 || min(f.Load, f.Waiting, f.Failures, f.Answers) < 0 {
			continue
		}
		s := r.upstreamState(f.Upstream)
		s.changedAt = max(s.changedAt, at)
		if f.Age < balance.FigureValidity {
			r.balancer.SetFigures(at-f.Age, f.Upstream, balance.Figures{
				Load: float64(f.Load) * loadUnit, Waiting: float64(f.Waiting) * loadUnit, Service: f.ServiceTime,
				Slots: u.Slots, Primary: u.Primary,
			})
			r.balancer.SetAnswers(at, f.Upstream, float64(f.Answers), float64(f.Failures))
		}
		if f.LagAge > 0 {
			s.lag.Set(at-f.LagAge, f.Lag)
		}
	}
}
