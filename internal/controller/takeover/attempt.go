package takeover

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	core "github.com/rosemarywall/rosemarywall/internal/core/takeover"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// attempt is one try to replace a primary.
type attempt struct {
	controller *Controller
	group      *group
	spec       catalog.Group
	state      *storesync.Snapshot
	reason     string
	primary    *catalog.Upstream
	record     record // as claimed
	silent     bool   // the primary does not answer
	// bound is the only member that may be promoted, because an earlier call for it may
	// still take effect; empty leaves the choice.
	bound ident.UpstreamName
	term  ident.Term // newest term that any member has reported
	// members are the replicas that the verification covers.
	members []catalog.Upstream

	mu    sync.Mutex
	conns map[execution.Target]execution.Conn
}

func (t *attempt) log(e *zerolog.Event) *zerolog.Event {
	e = e.Str("group", string(t.group.name)).Str("reason", t.reason)
	if t.primary != nil {
		e = e.Str("primary", string(t.primary.Name))
	}
	return e
}

func (t *attempt) run(ctx context.Context) {
	defer t.close()
	c := t.controller
	if t.doubtful() && !t.confirmed(ctx) {
		c.done(t.group, attemptPause, true)
		return
	}
	generation, err := t.claim(ctx)
	if err != nil {
		t.log(c.cfg.Log.Info()).Err(err).Msg("takeover not claimed")
		c.done(t.group, attemptPause, false)
		return
	}
	t.log(c.cfg.Log.Info()).Uint64("generation", generation).Msg("takeover claimed")
	candidate, ok := t.prepare(ctx)
	if !ok {
		t.giveUp(ctx)
		c.done(t.group, attemptPause, false)
		return
	}
	t.promote(ctx, generation, candidate)
}

// doubtful reports whether the reason is an observation of this VM alone.
func (t *attempt) doubtful() bool { return t.reason == reasonSilent }

// confirmed asks the primary once more, and lets other VMs ask it at the same time.
func (t *attempt) confirmed(ctx context.Context) bool {
	c := t.controller
	target := execution.TargetOf(*t.primary)
	others := make(chan bool, 1)
	go func() { others <- c.cfg.Confirm(ctx, target) }()
	if _, err := t.status(ctx, target, statement.Command{Kind: statement.StatusCommand}); err == nil {
		t.log(c.cfg.Log.Info()).Msg("primary answers; suspicion dropped")
		c.mu.Lock()
		t.group.trusted = c.cfg.Now() + trustFor
		c.mu.Unlock()
		return false
	}
	if !<-others {
		t.log(c.cfg.Log.Info()).Msg("primary answers another VM; suspicion dropped")
		return false
	}
	t.silent = true
	return true
}

// Reachable reports whether an upstream answers this VM.
func (c *Controller) Reachable(ctx context.Context, target execution.Target) bool {
	_, err := c.status(ctx, target, statement.Command{Kind: statement.StatusCommand})
	return err == nil
}

// status runs one status command over a connection of its own.
func (c *Controller) status(ctx context.Context, target execution.Target, command statement.Command) (statement.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	conn, err := c.cfg.Dial(ctx, target, "")
	if err != nil {
		return statement.Status{}, err
	}
	defer conn.Close()
	return statusOn(ctx, conn, command)
}

// status runs one status command. The connections of an attempt are kept until its
// end, because opening one costs as much as several questions.
func (t *attempt) status(ctx context.Context, target execution.Target, command statement.Command) (statement.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	t.mu.Lock()
	conn := t.conns[target]
	delete(t.conns, target)
	t.mu.Unlock()
	if conn == nil || !conn.Alive() {
		var err error
		if conn, err = t.controller.cfg.Dial(ctx, target, ""); err != nil {
			return statement.Status{}, err
		}
	}
	status, err := statusOn(ctx, conn, command)
	if err != nil {
		conn.Close()
		return status, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[execution.Target]execution.Conn{}
	}
	t.conns[target] = conn
	return status, nil
}

// close closes the connections of the attempt.
func (t *attempt) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		conn.Close()
	}
	t.conns = nil
}

func statusOn(ctx context.Context, conn execution.Conn, command statement.Command) (statement.Status, error) {
	for {
		status, reply, err := conn.Status(ctx, command)
		if err != nil {
			return status, err
		}
		if reply.Code == statement.OK {
			return status, nil
		}
		if reply.Code != statement.Busy || !clock.Sleep(ctx, catchUpPoll) {
			return status, &execution.RefusedError{Code: reply.Code}
		}
	}
}

// others returns the members besides the primary.
func (t *attempt) others() []catalog.Upstream {
	var out []catalog.Upstream
	for _, u := range t.state.Upstreams[t.group.name] {
		if t.primary == nil || u.Name != t.primary.Name {
			out = append(out, u)
		}
	}
	return out
}

// ask runs a command at all given members at once.
func (t *attempt) ask(ctx context.Context, members []catalog.Upstream, command func(catalog.Upstream) statement.Command) []core.Report {
	reports := make([]core.Report, len(members))
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, u := range members {
		wg.Go(func() {
			status, err := t.status(ctx, execution.TargetOf(u), command(u))
			mu.Lock()
			defer mu.Unlock()
			reports[i] = core.Report{Name: u.Name, Eligible: fit(t.state, u), SameZone: u.Zone == t.controller.cfg.Zone}
			if err != nil {
				t.log(t.controller.cfg.Log.Info()).Err(err).Str("upstream", string(u.Name)).Msg("member does not answer")
				return
			}
			reports[i].Reached, reports[i].Received = true, status.ReceivedPosition
			_, reports[i].Resuming = t.record.Resuming[u.Name]
			reports[i].Paused = status.PausedTerm > 0 && !reports[i].Resuming
			t.term = max(t.term, status.Term, status.ReceivedPosition.Term)
		})
	}
	wg.Wait()
	return reports
}

func statusCommand(catalog.Upstream) statement.Command {
	return statement.Command{Kind: statement.StatusCommand}
}

// promote calls the platform. While the outcome of a call is unknown the replicas
// stay paused and the next attempt claims a higher generation.
func (t *attempt) promote(ctx context.Context, generation uint64, candidate ident.UpstreamName) {
	c := t.controller
	start := c.cfg.Now()
	if err := t.announce(ctx, candidate); err != nil {
		t.log(c.cfg.Log.Info()).Err(err).Msg("candidate not announced")
		c.done(t.group, attemptPause, false)
		return
	}
	joined, found := t.joined()
	if took := c.cfg.Now() - start; found || took > announcedFor {
		t.log(c.cfg.Log.Warn()).Dur("took_ms", took).Str("joined", string(joined)).Msg("promotion not called")
		t.giveUp(ctx)
		c.done(t.group, attemptPause, false)
		return
	}
	call, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := c.cfg.Promoter.Promote(call, c.cfg.Self, generation, t.group.name, candidate)
	t.log(c.cfg.Log.Info()).Err(err).Str("candidate", string(candidate)).Uint64("generation", generation).Msg("promotion called")
	switch {
	case err == nil:
		t.settle(ctx, candidate)
		t.finish(ctx, candidate)
		c.mu.Lock()
		clear(t.group.paused) // a promotion lets all members receive again
		c.mu.Unlock()
		c.done(t.group, attemptPause, true)
	case resultcode.Is(err, resultcode.PlatformConflict), resultcode.Is(err, resultcode.PlatformQuota),
		resultcode.Is(err, resultcode.PlatformUnavailable):
		t.giveUp(ctx)
		c.done(t.group, attemptPause, false)
	default:
		c.done(t.group, lostCallPause, false)
	}
}

// settle waits until the candidate is registered as the primary.
func (t *attempt) settle(ctx context.Context, candidate ident.UpstreamName) {
	deadline := t.controller.cfg.Now() + settleTime
	for t.controller.cfg.Now() < deadline {
		for _, u := range t.controller.cfg.State().Upstreams[t.group.name] {
			if u.Name == candidate && u.Primary {
				return
			}
		}
		if !clock.Sleep(ctx, catchUpPoll) {
			return
		}
	}
}
