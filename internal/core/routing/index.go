package routing

import "github.com/rosemarywall/rosemarywall/internal/ident"

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

// Batch groups reads into rounds: one question is in flight, and reads that
// arrive meanwhile share the next, because the members may already have answered
// the current one before such a read arrived.
type Batch struct {
	round    uint64
	inFlight bool
	wanted   bool
}

// Join returns the round that a read arriving now must wait for, and whether its
// question has to be asked now.
func (b *Batch) Join() (round uint64, ask bool) {
	if b.inFlight {
		b.wanted = true
		return b.round + 1, false
	}
	b.inFlight = true
	b.round++
	return b.round, true
}

// Finish ends the round in flight and reports whether the next has to be asked now.
func (b *Batch) Finish() (ask bool) {
	b.inFlight = false
	if b.wanted {
		b.wanted, b.inFlight = false, true
		b.round++
	}
	return b.inFlight
}
