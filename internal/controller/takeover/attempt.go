package takeover

import (
	"context"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	core "github.com/rosemarywall/rosemarywall/internal/core/takeover"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// attempt is one attempt of this VM to replace the primary of a group, or a maintenance
// step outside a takeover.
type attempt struct {
	controller   *Controller
	group        *group
	spec         catalog.Group
	snapshot     *storesync.Snapshot
	reason       string
	primary      *catalog.Upstream
	record       record // as claimed
	unresponsive bool   // the primary does not respond
	// isolated means that a VM in the primary's zone does not reach the primary either.
	isolated bool
	// boundCandidate is the only member that may be promoted, because an earlier call for
	// it may still take effect; empty means any member.
	boundCandidate ident.UpstreamName
	term           ident.Term // highest term that any member has reported
	// members are the replicas that the verification covers, and lostLogs those that have
	// started again without the log that may hold a commit.
	members  []catalog.Upstream
	lostLogs []ident.UpstreamName
	// holdersKnown means that the record named commit holders before this attempt.
	holdersKnown bool
	// demoted is the primary that has stepped down in this attempt.
	demoted ident.UpstreamName
	proof   proof

	mu    sync.Mutex
	conns map[execution.Target]execution.Conn
}

// proof is the reason why a candidate holds every acknowledged commit.
type proof string

const (
	// proofReplicas means that it holds what every paused replica holds, and that too few
	// replicas are missing to have confirmed a commit.
	proofReplicas proof = "replicas"
	// proofDemoted means that it holds the log of the demoted primary.
	proofDemoted proof = "demoted"
)

func (t *attempt) log(e *zerolog.Event) *zerolog.Event {
	e = e.Str("group", string(t.group.name)).Str("reason", t.reason)
	if t.primary != nil {
		e = e.Str("primary", string(t.primary.Name))
	}
	return e
}

// start runs a step on a new goroutine. The group is busy until it ends.
func (t *attempt) start(task string, step func()) {
	c := t.controller
	go func() {
		defer c.setIdle(t.group)
		defer t.close()
		if recovery.Run(c.cfg.Log, task, step) {
			c.endAttempt(t.group, attemptInterval, false)
		}
	}()
}

// run attempts a takeover.
func (t *attempt) run(ctx context.Context) {
	c := t.controller
	if t.needsConfirmation() && !t.confirmed(ctx) {
		c.endAttempt(t.group, attemptInterval, true)
		return
	}
	generation, err := t.claim(ctx)
	if err != nil {
		t.log(c.cfg.Log.Info()).Err(err).Msg("takeover not claimed")
		c.endAttempt(t.group, attemptInterval, false)
		return
	}
	t.log(c.cfg.Log.Info()).Uint64("generation", generation).Msg("takeover claimed")
	t.proof = proofReplicas
	candidate, ok := t.prepare(ctx)
	if !ok {
		t.abort(ctx)
		c.endAttempt(t.group, attemptInterval, false)
		return
	}
	t.promote(ctx, generation, candidate)
}

// needsConfirmation reports whether the reason is an observation that only this VM has
// made.
func (t *attempt) needsConfirmation() bool { return t.reason == reasonUnresponsive }

// confirmed reports whether neither this VM nor another one reaches the primary. All
// of them send it a request at the same time.
func (t *attempt) confirmed(ctx context.Context) bool {
	c := t.controller
	target := execution.TargetOf(*t.primary)
	isolated := t.checkIsolated(ctx)
	others := make(chan bool, 1)
	go func() {
		unresponsive := false
		recovery.Run(c.cfg.Log, "confirm unresponsive primary", func() { unresponsive = c.cfg.Confirm(ctx, target) })
		others <- unresponsive
	}()
	_, err := t.status(ctx, target, statement.Command{Kind: statement.StatusCommand})
	if err == nil {
		t.log(c.cfg.Log.Info()).Msg("primary responds; suspicion dropped")
		c.mu.Lock()
		t.group.trustedUntil = c.cfg.Now() + suspicionHoldoff
		c.mu.Unlock()
		return false
	}
	if !<-others {
		t.log(c.cfg.Log.Info()).Msg("primary responds to another VM; suspicion dropped")
		return false
	}
	t.unresponsive, t.isolated = true, connectionRefused(err) || <-isolated
	if !t.isolated && t.spec.SyncReplicas > 0 {
		t.logWaiting(causeZoneSilent, []ident.UpstreamName{t.primary.Name})
		return false
	}
	return true
}

// checkIsolated returns whether a VM in the zone of a primary that does not respond to this VM
// doesn't reach it either. If no VM of the zone responds, the zone may be cut off: clients
// there may still get commits acknowledged, which members have confirmed that have joined
// behind the cut and that no other zone knows.
func (t *attempt) checkIsolated(ctx context.Context) <-chan bool {
	target, zone := execution.Target{Group: t.group.name, Upstream: t.record.Primary, Address: t.record.Holders[t.record.Primary]}, t.record.Logs[t.record.Primary].Zone
	if t.primary != nil {
		target, zone = execution.TargetOf(*t.primary), t.primary.Zone
	}
	result := make(chan bool, 1)
	go func() {
		isolated := false
		recovery.Run(t.controller.cfg.Log, "confirm isolated primary", func() { isolated = t.controller.isolatedInZone(ctx, zone, target) })
		result <- isolated
	}()
	return result
}

// connectionRefused reports whether err proves that no process listens at the address, so
// that the member is not merely cut off.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isolatedInZone reports whether an upstream that does not respond to this VM responds to no
// VM in its zone either.
func (c *Controller) isolatedInZone(ctx context.Context, zone ident.AvailabilityZone, target execution.Target) bool {
	return zone == "" || zone == c.cfg.Zone || c.cfg.UnreachableInZone(ctx, zone, target)
}

// Reachable reports whether an upstream responds to this VM. One in an evacuated zone is
// not asked and counts as unreachable.
func (c *Controller) Reachable(ctx context.Context, target execution.Target) bool {
	if zone, known := c.cfg.Snapshot().ZoneOf(target.Group, target.Upstream); known && c.withdrawn(zone) {
		return false
	}
	_, err := c.status(ctx, target, statement.Command{Kind: statement.StatusCommand})
	return err == nil
}

// status runs one status command over a new connection.
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
// end, because opening one costs as much as several requests.
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
		if reply.Code != statement.Busy || !clock.Sleep(ctx, catchUpPollInterval) {
			return status, &execution.RefusedError{Code: reply.Code}
		}
	}
}

// nonPrimaryMembers returns the members other than the primary.
func (t *attempt) nonPrimaryMembers() []catalog.Upstream {
	var out []catalog.Upstream
	for _, u := range t.snapshot.Upstreams[t.group.name] {
		if t.primary == nil || u.Name != t.primary.Name {
			out = append(out, u)
		}
	}
	return out
}

// sendCommand runs a command on the given members concurrently and returns their reports.
func (t *attempt) sendCommand(ctx context.Context, members []catalog.Upstream, command func(catalog.Upstream) statement.Command) []core.Report {
	reports := make([]core.Report, len(members))
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, u := range members {
		reports[i] = core.Report{Name: u.Name, Eligible: eligible(t.snapshot, u), SameZone: u.Zone == t.controller.cfg.Zone}
		t.goRun(&wg, "member command", func() {
			status, err := t.status(ctx, execution.TargetOf(u), command(u))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.log(t.controller.cfg.Log.Info()).Err(err).Str("upstream", string(u.Name)).Msg("member does not respond")
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

// goRun calls f on a new goroutine of the group wg.
func (t *attempt) goRun(wg *sync.WaitGroup, task string, f func()) {
	wg.Go(func() { recovery.Run(t.controller.cfg.Log, task, f) })
}

func statusCommand(catalog.Upstream) statement.Command {
	return statement.Command{Kind: statement.StatusCommand}
}

// promote announces the candidate and calls the platform. While the outcome of a call
// is unknown the replicas stay paused, and the next attempt claims a higher generation.
func (t *attempt) promote(ctx context.Context, generation uint64, candidate ident.UpstreamName) {
	c := t.controller
	start := c.cfg.Now()
	if err := t.announce(ctx, candidate); err != nil {
		t.log(c.cfg.Log.Info()).Err(err).Msg("candidate not announced")
		c.endAttempt(t.group, attemptInterval, false)
		return
	}
	var changed ident.UpstreamName
	found := false
	if t.proof != proofDemoted {
		changed, found = t.changedMember()
	}
	if took := c.cfg.Now() - start; found || took > maxAnnouncementAge {
		t.log(c.cfg.Log.Warn()).Dur("took_ms", took).Str("changed", string(changed)).Msg("promotion not called")
		t.abort(ctx)
		c.endAttempt(t.group, attemptInterval, false)
		return
	}
	call, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	err := c.cfg.Promoter.Promote(call, c.cfg.Self, generation, t.group.name, candidate)
	t.log(c.cfg.Log.Info()).Err(err).Str("candidate", string(candidate)).Uint64("generation", generation).Msg("promotion called")
	switch {
	case err == nil:
		t.awaitRegistration(ctx, candidate)
		t.log(c.cfg.Log.Warn()).Str("candidate", string(candidate)).Uint64("generation", generation).Uint64("term", uint64(t.term+1)).
			Str("proof", string(t.proof)).Msg("primary replaced")
		t.markDone(ctx, candidate)
		c.mu.Lock()
		clear(t.group.paused) // a promotion resumes all members
		c.mu.Unlock()
		c.endAttempt(t.group, attemptInterval, true)
	case resultcode.Is(err, resultcode.PlatformConflict), resultcode.Is(err, resultcode.PlatformQuota),
		resultcode.Is(err, resultcode.PlatformUnavailable):
		t.abort(ctx)
		c.endAttempt(t.group, attemptInterval, false)
	default:
		c.endAttempt(t.group, lostResponseRetryDelay, false)
	}
}

// awaitRegistration waits until the candidate is registered as the primary.
func (t *attempt) awaitRegistration(ctx context.Context, candidate ident.UpstreamName) {
	deadline := t.controller.cfg.Now() + registrationTimeout
	for t.controller.cfg.Now() < deadline {
		for _, u := range t.controller.cfg.Snapshot().Upstreams[t.group.name] {
			if u.Name == candidate && u.Primary {
				return
			}
		}
		if !clock.Sleep(ctx, catchUpPollInterval) {
			return
		}
	}
}
