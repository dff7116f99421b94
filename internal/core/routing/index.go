package routing

import (
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// IndexRound collects the answers to one read-index question.
type IndexRound struct {
	answered []bool
	majority int
	count    int
	failed   int
	point    ident.LogPoint
}

// NewIndexRound starts a round over the configured members.
func NewIndexRound(members int) *IndexRound {
	return &IndexRound{answered: make([]bool, members), majority: members/2 + 1}
}

// Answer records the received point of a member. It reports whether the round has
// a majority. Repeated answers of one member count once.
func (r *IndexRound) Answer(i int, received ident.LogPoint) bool {
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

// Fail records that a member did not answer.
func (r *IndexRound) Fail(int) { r.failed++ }

// Done reports whether a majority has answered.
func (r *IndexRound) Done() bool { return r.count >= r.majority }

// Hopeless reports whether no majority can answer any more.
func (r *IndexRound) Hopeless() bool { return len(r.answered)-r.failed < r.majority }

// Point is the read index; valid once Done.
func (r *IndexRound) Point() ident.LogPoint { return r.point }

// Limits of the rounds of one group.
const (
	// RoundInterval is the time between the starts of rounds while one is in flight.
	// A read waits at most this long for the start of its round; with a single round
	// in flight it would wait half a round trip more, 12 ms between regions.
	RoundInterval = 5 * time.Millisecond
	// MaxRounds limits the rounds in flight.
	MaxRounds = 16
)

// Batch groups reads into rounds. A read never shares a round that started before it
// arrived, because the members may already have answered that one.
type Batch struct {
	round    uint64 // number of the round started last
	inFlight int
	wanted   bool // reads wait for round+1
	started  time.Duration
}

// Join returns the round that a read arriving now must wait for. With start set the
// caller has to ask its question now; otherwise, when wait is positive, it has to call
// Due after that time.
func (b *Batch) Join(now time.Duration) (round uint64, start bool, wait time.Duration) {
	if !b.wanted && b.mayStart(now) {
		b.start(now)
		return b.round, true, 0
	}
	if !b.wanted {
		b.wanted = true
		wait = max(b.started+RoundInterval-now, 1)
	}
	return b.round + 1, false, wait
}

// Due reports whether the next round has to be asked now, and its number.
func (b *Batch) Due(now time.Duration) (round uint64, start bool) {
	if !b.wanted || !b.mayStart(now) {
		return 0, false
	}
	b.wanted = false
	b.start(now)
	return b.round, true
}

// Finish ends a round and reports whether the next has to be asked now, and its
// number.
func (b *Batch) Finish(now time.Duration) (round uint64, start bool) {
	b.inFlight--
	return b.Due(now)
}

func (b *Batch) mayStart(now time.Duration) bool {
	return b.inFlight == 0 || b.inFlight < MaxRounds && now >= b.started+RoundInterval
}

func (b *Batch) start(now time.Duration) {
	b.round++
	b.inFlight++
	b.started = now
}

// AskOrder returns the members in the order in which they are asked for a read index:
// those that answer before those that failed, near ones first.
func (v *View) AskOrder(place Place) []int {
	order := make([]int, len(v.Members))
	for i := range order {
		order[i] = i
	}
	rank := func(i int) int {
		distance := v.distance(i, place)
		if v.Seen[i].Down || !v.Seen[i].Known {
			distance += 10
		}
		return distance
	}
	slices.SortStableFunc(order, func(i, j int) int { return rank(i) - rank(j) })
	return order
}
