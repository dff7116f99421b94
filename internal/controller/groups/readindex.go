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

// hedgeDelay is the time after which a round asks the members that it left out at
// first. It covers a round trip between regions (24 ms) with a margin.
const hedgeDelay = 50 * time.Millisecond

// indexer asks for the read index of a group, in rounds that reads share.
type indexer struct {
	group  *groupState
	mu     sync.Mutex
	batch  routing.ReadIndexScheduler
	rounds map[uint64]*indexRound
}

type indexRound struct {
	done  chan struct{}
	point ident.LogPoint
	err   error
}

const (
	// indexPatience is the time for which failed rounds are repeated. It covers a
	// primary that is being replaced and a stall of this process.
	indexPatience = time.Second
	// indexPause is the pause before a failed round is repeated.
	indexPause = 20 * time.Millisecond
)

// ask returns a read index that was asked for after the call. It repeats rounds that
// fail.
func (x *indexer) ask(ctx context.Context) (ident.LogPoint, error) {
	now := x.group.controller.options.Now
	last := now() + indexPatience
	for {
		point, err := x.round(ctx)
		if err == nil || ctx.Err() != nil || now() >= last {
			return point, err
		}
		select {
		case <-ctx.Done():
			return ident.LogPoint{}, ctx.Err()
		case <-time.After(indexPause):
		}
	}
}

// round returns the point of a round that starts after the call.
func (x *indexer) round(ctx context.Context) (ident.LogPoint, error) {
	now := x.group.controller.options.Now
	x.mu.Lock()
	number, start, wait := x.batch.Join(now())
	round := x.rounds[number]
	if round == nil {
		round = &indexRound{done: make(chan struct{})}
		if x.rounds == nil {
			x.rounds = map[uint64]*indexRound{}
		}
		x.rounds[number] = round
	}
	x.mu.Unlock()
	if start {
		go x.run(number)
	} else if wait > 0 {
		time.AfterFunc(wait, func() {
			x.mu.Lock()
			number, start := x.batch.StartIfDue(now())
			x.mu.Unlock()
			if start {
				x.run(number)
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

// run asks the question of a round and of the rounds that become due at its end.
func (x *indexer) run(number uint64) {
	for again := true; again; {
		point, err := x.group.question()
		x.mu.Lock()
		round := x.rounds[number]
		delete(x.rounds, number)
		number, again = x.batch.Finish(x.group.controller.options.Now())
		x.mu.Unlock()
		round.point, round.err = point, err
		close(round.done)
	}
}

type indexAnswer struct {
	member int
	status group.Status
	err    error
}

// question asks the nearest majority of the members for their status, and the others
// when one of them fails or hedgeDelay has passed. It returns the highest received
// point of the first majority of answers.
func (g *groupState) question() (ident.LogPoint, error) {
	g.controller.metrics.indexRounds.Add(1)
	ctx, cancel := context.WithTimeout(g.ctx, ReadIndexTimeout)
	defer cancel()
	view := g.view.Load()
	order := view.ReadIndexOrder(*g.controller.place.Load())
	answers := make(chan indexAnswer, len(order))
	ask := func(members []int) {
		for _, i := range members {
			go func() { answers <- g.askMember(ctx, i, view.Members[i].Upstream) }()
		}
	}
	round, first := routing.NewReadIndexRound(len(order)), view.Majority()
	ask(order[:first])
	rest := order[first:]
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for !round.Done() && !round.Failed() {
		select {
		case answer := <-answers:
			if answer.err == nil {
				round.AddResponse(answer.member, answer.status.Received)
				continue
			}
			round.AddFailure(answer.member)
		case <-hedge.C:
		}
		ask(rest)
		rest = nil
	}
	if !round.Done() {
		return ident.LogPoint{}, resultcode.New(resultcode.NoUpstream, "no majority of group %s answered for its position", g.name)
	}
	return round.Point(), nil
}

func (g *groupState) askMember(ctx context.Context, i int, name ident.UpstreamName) indexAnswer {
	agent := g.agent(name)
	if agent == nil {
		return indexAnswer{member: i, err: errSilent}
	}
	status, err := agent.Status(ctx)
	if err == nil && status.Upstream != name {
		err = errSilent
	}
	return indexAnswer{i, status, err}
}
