package groupcontroller

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// hedgeDelay is the time after which a round also sends requests to the members outside
// the nearest majority. It covers a round trip between regions (24 ms) with a margin.
const hedgeDelay = 50 * time.Millisecond

// readIndexer obtains the read index of a group in rounds that concurrent reads share.
type readIndexer struct {
	group     *groupState
	mu        sync.Mutex
	scheduler routing.ReadIndexScheduler
	rounds    map[uint64]*readIndexRound
}

type readIndexRound struct {
	done  chan struct{}
	point ident.LogPoint
	err   error
}

const (
	// readIndexRetryPeriod is how long failed rounds are retried. It covers the
	// replacement of a primary and a stall of this process.
	readIndexRetryPeriod = time.Second
	// readIndexRetryDelay is the delay before a failed round is retried.
	readIndexRetryDelay = 20 * time.Millisecond
)

// readIndex returns a read index from a round that started after the call. It retries
// failed rounds.
func (x *readIndexer) readIndex(ctx context.Context) (ident.LogPoint, error) {
	now := x.group.controller.options.Now
	deadline := now() + readIndexRetryPeriod
	for {
		point, err := x.joinRound(ctx)
		if err == nil || ctx.Err() != nil || now() >= deadline {
			return point, err
		}
		select {
		case <-ctx.Done():
			return ident.LogPoint{}, ctx.Err()
		case <-time.After(readIndexRetryDelay):
		}
	}
}

// joinRound waits for a round that starts after the call and returns its point.
func (x *readIndexer) joinRound(ctx context.Context) (ident.LogPoint, error) {
	now := x.group.controller.options.Now
	x.mu.Lock()
	number, start, wait := x.scheduler.Join(now())
	round := x.rounds[number]
	if round == nil {
		round = &readIndexRound{done: make(chan struct{})}
		if x.rounds == nil {
			x.rounds = map[uint64]*readIndexRound{}
		}
		x.rounds[number] = round
	}
	x.mu.Unlock()
	if start {
		go x.runRounds(number)
	} else if wait > 0 {
		time.AfterFunc(wait, func() {
			x.mu.Lock()
			number, start := x.scheduler.StartIfDue(now())
			x.mu.Unlock()
			if start {
				x.runRounds(number)
			}
		})
	}
	select {
	case <-round.done:
		return round.point, round.err
	case <-ctx.Done():
		return ident.LogPoint{}, ctx.Err()
	}
}

// runRounds runs a round, and then each round that is due when the previous one ends.
func (x *readIndexer) runRounds(number uint64) {
	for again := true; again; {
		point, err := x.group.queryReadIndex()
		x.mu.Lock()
		round := x.rounds[number]
		delete(x.rounds, number)
		number, again = x.scheduler.Finish(x.group.controller.options.Now())
		x.mu.Unlock()
		round.point, round.err = point, err
		close(round.done)
	}
}

type statusResponse struct {
	member int
	status group.Status
	err    error
}

// queryReadIndex requests the status of the nearest majority of the members, and that of
// the others once one of them fails or hedgeDelay has passed. It returns the highest
// received point among the first majority of responses.
func (g *groupState) queryReadIndex() (ident.LogPoint, error) {
	g.controller.metrics.indexRounds.Add(1)
	ctx, cancel := context.WithTimeout(g.ctx, ReadIndexTimeout)
	defer cancel()
	view := g.view.Load()
	order := view.ReadIndexOrder(*g.controller.location.Load())
	responses := make(chan statusResponse, len(order))
	request := func(members []int) {
		for _, i := range members {
			go func() { responses <- g.requestStatus(ctx, i, view.Members[i].Upstream) }()
		}
	}
	round, majority := routing.NewReadIndexRound(len(order)), view.Majority()
	request(order[:majority])
	rest := order[majority:]
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for !round.Done() && !round.Failed() {
		select {
		case response := <-responses:
			if response.err == nil {
				round.AddResponse(response.member, response.status.Received)
				continue
			}
			round.AddFailure(response.member)
		case <-hedge.C:
		}
		request(rest)
		rest = nil
	}
	if !round.Done() {
		return ident.LogPoint{}, resultcode.New(resultcode.NoUpstream, "no majority of group %s responded to the read-index request", g.name)
	}
	return round.Point(), nil
}

func (g *groupState) requestStatus(ctx context.Context, i int, name ident.UpstreamName) statusResponse {
	agent := g.agent(name)
	if agent == nil {
		return statusResponse{member: i, err: errUnresponsive}
	}
	status, err := agent.Status(ctx)
	if err == nil && status.Upstream != name {
		err = errUnresponsive
	}
	return statusResponse{i, status, err}
}
