package groupcontroller

import (
	"context"
	"sync"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// indexer asks for the read index of a group, one question at a time.
type indexer struct {
	group  *groupState
	mu     sync.Mutex
	batch  routing.Batch
	rounds [2]*indexRound // the round in flight and the next, by number modulo 2
}

type indexRound struct {
	done  chan struct{}
	point ident.LogPoint
	err   error
}

// ask returns a read index that was asked for after the call.
func (x *indexer) ask(ctx context.Context) (ident.LogPoint, error) {
	x.mu.Lock()
	number, start := x.batch.Join()
	slot := &x.rounds[number%2]
	if *slot == nil {
		*slot = &indexRound{done: make(chan struct{})}
	}
	round := *slot
	x.mu.Unlock()
	if start {
		go x.run(number)
	}
	select {
	case <-round.done:
		return round.point, round.err
	case <-ctx.Done():
		return ident.LogPoint{}, ctx.Err()
	}
}

// run asks the question of a round and of the rounds that become due meanwhile.
func (x *indexer) run(number uint64) {
	for again := true; again; number++ {
		point, err := x.group.question()
		x.mu.Lock()
		round := x.rounds[number%2]
		x.rounds[number%2] = nil
		again = x.batch.Finish()
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

// question asks all members for their status and returns the highest received
// point of the first majority of answers.
func (g *groupState) question() (ident.LogPoint, error) {
	g.controller.metrics.indexRounds.Add(1)
	ctx, cancel := context.WithTimeout(g.ctx, IndexTimeout)
	defer cancel()
	members := g.view.Load().Members
	answers := make(chan indexAnswer, len(members))
	for i := range members {
		agent := g.agent(members[i].Upstream)
		go func() {
			if agent == nil {
				answers <- indexAnswer{member: i, err: errSilent}
				return
			}
			status, err := agent.Status(ctx)
			answers <- indexAnswer{i, status, err}
		}()
	}
	round := routing.NewIndexRound(len(members))
	for !round.Done() && !round.Hopeless() {
		answer := <-answers
		if answer.err != nil || answer.status.Upstream != members[answer.member].Upstream {
			round.Fail(answer.member)
		} else {
			round.Answer(answer.member, answer.status.Received)
		}
	}
	if !round.Done() {
		return ident.LogPoint{}, resultcode.New(resultcode.NoUpstream, "no majority of group %s answered for its position", g.name)
	}
	return round.Point(), nil
}
