package routing

import (
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// ReadIndexRound collects the responses of the members to one read-index request.
type ReadIndexRound struct {
	responded []bool
	majority  int
	responses int
	failures  int
	point     ident.LogPoint
}

// NewReadIndexRound starts a round over the configured members.
func NewReadIndexRound(members int) *ReadIndexRound {
	return &ReadIndexRound{responded: make([]bool, members), majority: members/2 + 1}
}

// AddResponse records the received point of member i and reports whether a majority
// has responded. Repeated responses of one member count once.
func (r *ReadIndexRound) AddResponse(i int, received ident.LogPoint) bool {
	if r.Done() {
		return true
	}
	if !r.responded[i] {
		r.responded[i] = true
		r.responses++
	}
	if received.Compare(r.point) > 0 {
		r.point = received
	}
	return r.Done()
}

// AddFailure records that a member did not respond.
func (r *ReadIndexRound) AddFailure(int) { r.failures++ }

// Done reports whether a majority has responded.
func (r *ReadIndexRound) Done() bool { return r.responses >= r.majority }

// Failed reports whether a majority can no longer be reached.
func (r *ReadIndexRound) Failed() bool { return len(r.responded)-r.failures < r.majority }

// Point returns the read index. It is valid once Done reports true.
func (r *ReadIndexRound) Point() ident.LogPoint { return r.point }

// Limits of the read-index rounds of one group.
const (
	// ReadIndexInterval is the minimum time between the starts of two rounds while one
	// is in flight. It is the longest time that a read waits for its round to start.
	// Allowing only one round in flight would add half a round trip, 12 ms between
	// regions.
	ReadIndexInterval = 5 * time.Millisecond
	// MaxReadIndexRounds is the maximum number of rounds in flight.
	MaxReadIndexRounds = 16
)

// ReadIndexScheduler groups reads into rounds. A read never joins a round that started
// before the read arrived, because members may already have responded to that round.
type ReadIndexScheduler struct {
	round    uint64 // number of the last started round
	inFlight int
	pending  bool // reads wait for round+1
	started  time.Duration
}

// Join returns the round that a read arriving now must wait for. If start is set, the
// caller must send the requests of that round now. Otherwise, if wait is positive, it
// must call StartIfDue after that time.
func (s *ReadIndexScheduler) Join(now time.Duration) (round uint64, start bool, wait time.Duration) {
	if !s.pending && s.canStart(now) {
		s.start(now)
		return s.round, true, 0
	}
	if !s.pending {
		s.pending = true
		wait = max(s.started+ReadIndexInterval-now, 1)
	}
	return s.round + 1, false, wait
}

// StartIfDue starts the next round if it is due. If start is set, the caller must send
// the requests of the returned round now.
func (s *ReadIndexScheduler) StartIfDue(now time.Duration) (round uint64, start bool) {
	if !s.pending || !s.canStart(now) {
		return 0, false
	}
	s.pending = false
	s.start(now)
	return s.round, true
}

// Finish ends a round and starts the next one if it is due, like StartIfDue.
func (s *ReadIndexScheduler) Finish(now time.Duration) (round uint64, start bool) {
	s.inFlight--
	return s.StartIfDue(now)
}

func (s *ReadIndexScheduler) canStart(now time.Duration) bool {
	return s.inFlight == 0 || s.inFlight < MaxReadIndexRounds && now >= s.started+ReadIndexInterval
}

func (s *ReadIndexScheduler) start(now time.Duration) {
	s.round++
	s.inFlight++
	s.started = now
}

// ReadIndexOrder returns the member indexes in the order in which they receive
// read-index requests: reachable members before failed ones, then by distance.
func (v *View) ReadIndexOrder(location Location) []int {
	order := make([]int, len(v.Members))
	for i := range order {
		order[i] = i
	}
	rank := func(i int) int {
		distance := v.distance(i, location)
		if v.Observations[i].Down || !v.Observations[i].Known {
			distance += 10
		}
		return distance
	}
	slices.SortStableFunc(order, func(i, j int) int { return rank(i) - rank(j) })
	return order
}
