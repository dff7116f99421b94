package takeover

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// giveUp ends an attempt whose call certainly takes no effect, and lets the replicas
// that it has paused receive again.
func (t *attempt) giveUp(ctx context.Context) {
	seen, err := t.own(ctx)
	if err != nil {
		t.log(t.controller.cfg.Log.Info()).Err(err).Msg("replicas not resumed")
		return
	}
	if t.bound == "" {
		seen.Candidate = "" // the call of this attempt was refused or not made
	}
	t.resume(ctx, seen)
}

// resume orders the replicas that this VM has paused to receive again. The order is
// announced first: it may be carried out late, and a takeover that relies on a pause has
// to know. It is not given while a call may take effect that relies on the pauses.
func (t *attempt) resume(ctx context.Context, seen seenRecord) {
	c := t.controller
	c.mu.Lock()
	targets := maps.Clone(t.group.paused)
	c.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	start := c.cfg.Now()
	err := t.announceResume(ctx, seen, slices.Collect(maps.Keys(targets)))
	if took := c.cfg.Now() - start; err == nil && took > announcedFor {
		err = errors.Newf("the announcement took %s", took)
	}
	if err != nil {
		t.log(c.cfg.Log.Info()).Err(err).Int("replicas", len(targets)).Msg("replicas not resumed")
		return
	}
	t.log(c.cfg.Log.Info()).Int("replicas", len(targets)).Msg("replicas resumed")
	t.settleResume(ctx, t.orderResume(ctx, targets))
}

func (t *attempt) announceResume(ctx context.Context, seen seenRecord, names []ident.UpstreamName) error {
	now := t.controller.cfg.Now()
	if seen.pending(now) != "" {
		return errPending
	}
	r := seen.record
	r.Orders++
	r.Candidate, r.Resuming, r.Writer = "", seen.unanswered(now), t.controller.cfg.UniqueID()
	for _, name := range names {
		r.Resuming[name] = r.Orders
	}
	return t.write(ctx, r, seen.version)
}

// orderResume sends the orders and returns the replicas that have answered.
func (t *attempt) orderResume(ctx context.Context, targets map[ident.UpstreamName]execution.Target) []ident.UpstreamName {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answered []ident.UpstreamName
	for name, target := range targets {
		wg.Go(func() {
			if _, err := t.status(ctx, target, statement.Command{Kind: statement.ResumeCommand}); err != nil {
				t.log(t.controller.cfg.Log.Warn()).Err(err).Str("upstream", string(name)).Msg("replica not resumed")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered = append(answered, name)
		})
	}
	wg.Wait()
	return answered
}

// settleResume records the answers, so that a pause of these replicas counts again.
func (t *attempt) settleResume(ctx context.Context, answered []ident.UpstreamName) {
	c := t.controller
	c.mu.Lock()
	for _, name := range answered {
		delete(t.group.paused, name)
	}
	seen := t.group.record
	c.mu.Unlock()
	if len(answered) == 0 {
		return
	}
	r := seen.record
	r.Resuming, r.Writer = maps.Clone(r.Resuming), c.cfg.UniqueID()
	for _, name := range answered {
		delete(r.Resuming, name)
	}
	if err := t.write(ctx, r, seen.version); err != nil {
		t.log(c.cfg.Log.Info()).Err(err).Msg("answers of resumed replicas not recorded")
	}
}
