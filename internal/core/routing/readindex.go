package routing

import (
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// ReadIndexRound collects the answers to one read-index question.
type ReadIndexRound struct {
	answered []bool
	majority int
	count    int
	failed   int
	point    ident.LogPoint
}

// NewReadIndexRound starts a round over the configured members.
func NewReadIndexRound(members int) *ReadIndexRound {
	return &ReadIndexRound{answered: make([]bool, members), majority: members/2 + 1}
}

// AddResponse records the received point of a member. It reports whether the round has
// a majority. Repeated answers of one member count once.
func (r *ReadIndexRound) AddResponse(i int, received ident.LogPoint) bool {
	if r.Done() {
		return true
	}
	if !r.answered[i] {
		r.answered[i] = true
		r.count++
	}
	if received.Compare(r.point) > 0 {
		r.point = received
	}
	return r.Done()
}

// AddFailure records that a member did not answer.
func (r *ReadIndexRound) AddFailure(int) { r.failed++ }

// Done reports whether a majority has answered.
func (r *ReadIndexRound) Done() bool { return r.count >= r.majority }

// Failed reports whether no majority can answer any more.
func (r *ReadIndexRound) Failed() bool { return len(r.answered)-r.failed < r.majority }

// Point is the read index; valid once Done.
func (r *ReadIndexRound) Point() ident.LogPoint { return r.point }

// Limits of the rounds of one group.
const (
	// ReadIndexInterval is the time between the starts of rounds while one is in flight.
	// A read waits at most this long for the start of its round; with a single round
	// in flight it would wait half a round trip more, 12 ms between regions.
	ReadIndexInterval = 5 * time.Millisecond
	// MaxReadIndexRounds limits the rounds in flight.
	MaxReadIndexRounds = 16
)

// ReadIndexScheduler groups reads into rounds. A read never shares a round that started before it
// arrived, because the members may already have answered that one.
type ReadIndexScheduler struct {
	round    uint64 // number of the round started last
	inFlight int
	wanted   bool // reads wait for round+1
	started  time.Duration
}

// Join returns the round that a read arriving now must wait for. With start set the
// caller has to ask its question now; otherwise, when wait is positive, it has to call
// Due after that time.
func (b *ReadIndexScheduler) Join(now time.Duration) (round uint64, start bool, wait time.Duration) {
	if !b.wanted && b.mayStart(now) {
		b.start(now)
		return b.round, true, 0
	}
	if !b.wanted {
		b.wanted = true
		wait = max(b.started+ReadIndexInterval-now, 1)
	}
	return b.round + 1, false, wait
}

// StartIfDue reports whether the next round has to be asked now, and its number.
func (b *ReadIndexScheduler) StartIfDue(now time.Duration) (round uint64, start bool) {
	if !b.wanted || !b.mayStart(now) {
		return 0, false
	}
	b.wanted = false
	b.start(now)
	return b.round, true
}

// Finish ends a round and reports whether the next has to be asked now, and its
// number.
func (b *ReadIndexScheduler) Finish(now time.Duration) (round uint64, start bool) {
	b.inFlight--
	return b.StartIfDue(now)
}

func (b *ReadIndexScheduler) mayStart(now time.Duration) bool {
	return b.inFlight == 0 || b.inFlight < MaxReadIndexRounds && now >= b.started+ReadIndexInterval
}

func (b *ReadIndexScheduler) start(now time.Duration) {
	b.round++
	b.inFlight++
	b.started = now
}

// ReadIndexOrder returns the members in the order in which they are asked for a read index:
// those that answer before those that failed, near ones first.
func (v *View) ReadIndexOrder(place Location) []int {
	order := make([]int, len(v.Members))
	for i := range order {
		order[i] = i
	}
	rank := func(i int) int {
		distance := v.distance(i, place)
		if v.Observations[i].Down || !v.Observations[i].Known {
			distance += 10
		}
		return distance
	}
	slices.SortStableFunc(order, func(i, j int) int { return rank(i) - rank(j) })
	return order
}
