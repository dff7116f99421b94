package takeover

import (
	"context"
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	core "github.com/rosemarywall/rosemarywall/internal/core/takeover"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// A primary that responds is demoted before another member is promoted. It then confirms no
// commit any more, whoever receives its log, and its log ends with the last one that it has
// confirmed or begun. A candidate that holds this log holds every acknowledged commit. The
// proof counts no members, so it doesn't depend on those that join, leave or lose their logs.

// outcome is the result of a hand-over.
type outcome uint8

const (
	// handedOver means that the candidate holds the log of the demoted primary.
	handedOver outcome = iota
	// notPossible means that no primary can be demoted, so that only the replicas can prove
	// which of them holds every acknowledged commit.
	notPossible
	// waiting means that the attempt must be repeated.
	waiting
)

// handOver demotes the primary and returns the member that holds its log.
func (t *attempt) handOver(ctx context.Context) (ident.UpstreamName, outcome) {
	primary, ok := t.demotablePrimary()
	if !ok {
		return "", notPossible
	}
	status, err := t.status(ctx, execution.TargetOf(primary), statusCommand(primary))
	if err != nil || !status.Primary && !t.isNewestPrimary(primary) {
		t.unresponsive, t.isolated = err != nil, connectionRefused(err)
		return "", notPossible
	}
	t.term = max(t.term, status.Term, status.ReceivedPosition.Term)
	replicas := t.replicasOf(primary)
	if status.Primary {
		// Until a candidate is known to receive, the primary goes on serving.
		if _, ok := t.awaitReplica(ctx, replicas, status.ReceivedPosition); !ok {
			t.logWaiting("no candidate has received what the primary has", nil)
			return "", waiting
		}
	}
	end, ok := t.demote(ctx, primary)
	if !ok {
		return "", waiting
	}
	if candidate, ok := t.awaitReplica(ctx, replicas, end); ok {
		t.proof = proofDemoted
		return candidate, handedOver
	}
	if t.boundCandidate != "" {
		return "", notPossible // it may lack only commits that nobody has confirmed
	}
	// Replicas receive from a primary only. The demoted one holds everything that it has
	// acknowledged, so it is promoted again until a candidate has caught up.
	t.log(t.controller.cfg.Log.Warn()).Stringer("end", end).Msg("no candidate has the end of the log; the demoted primary is promoted again")
	t.proof = proofDemoted
	return primary.Name, handedOver
}

// demotablePrimary returns the registered primary, or the last one if none is registered. The
// result is false if nothing may be sent to it or its log is lost.
func (t *attempt) demotablePrimary() (catalog.Upstream, bool) {
	var primary catalog.Upstream
	switch {
	case t.unresponsive || t.spec.SyncReplicas <= 0:
		return primary, false
	case t.primary != nil:
		primary = *t.primary
	default:
		members := t.snapshot.Upstreams[t.group.name]
		i := slices.IndexFunc(members, func(u catalog.Upstream) bool { return u.Name == t.record.Primary })
		if i < 0 {
			return primary, false
		}
		primary = members[i]
	}
	return primary, !t.record.logLost(primary) && !t.controller.withdrawn(primary.Zone)
}

// isNewestPrimary reports whether no other member can have become primary since the record
// named this one: each call is announced in the record before it is made.
func (t *attempt) isNewestPrimary(primary catalog.Upstream) bool {
	return t.record.Primary == primary.Name && t.record.PrimaryCall == t.record.CallNumber
}

// replicasOf returns the registered members other than the primary.
func (t *attempt) replicasOf(primary catalog.Upstream) []catalog.Upstream {
	return slices.DeleteFunc(t.registered(), func(u catalog.Upstream) bool { return u.Name == primary.Name })
}

// awaitReplica returns the best candidate that has received the log up to end. It waits for
// one up to catchUpTimeout. Replicas that are found paused are resumed if the attempt fails.
func (t *attempt) awaitReplica(ctx context.Context, replicas []catalog.Upstream, end ident.LogPoint) (ident.UpstreamName, bool) {
	deadline := t.controller.cfg.Now() + catchUpTimeout
	for {
		reports := t.sendCommand(ctx, replicas, statusCommand)
		t.markPaused(replicas, reports)
		candidates := reports
		if t.boundCandidate != "" {
			candidates = slices.DeleteFunc(slices.Clone(reports), func(r core.Report) bool { return r.Name != t.boundCandidate })
		}
		candidate, verdict := core.ChooseSuccessor(candidates, end)
		t.log(t.controller.cfg.Log.Info()).Str("candidate", string(candidate)).Uint8("verdict", uint8(verdict)).
			Stringer("end", end).Str("demoted", string(t.demoted)).Interface("reports", reports).Msg("hand-over checked")
		if verdict == core.Safe {
			return candidate, true
		}
		if t.controller.cfg.Now() >= deadline || !clock.Sleep(ctx, catchUpPollInterval) {
			return "", false
		}
	}
}

// demote commands the primary to step down and returns the end of its log. A command without
// a response may have been executed.
func (t *attempt) demote(ctx context.Context, primary catalog.Upstream) (ident.LogPoint, bool) {
	c, term := t.controller, t.term+1
	c.mu.Lock()
	t.group.steppedDown = true
	c.mu.Unlock()
	status, err := t.status(ctx, execution.TargetOf(primary), statement.Command{Kind: statement.StepDownCommand, Term: term})
	t.log(c.cfg.Log.Info()).Err(err).Uint64("term", uint64(term)).Stringer("position", status.ReceivedPosition).Msg("primary commanded to step down")
	if err != nil || status.Primary {
		t.logWaiting("the primary has not confirmed that it steps down", []ident.UpstreamName{primary.Name})
		return ident.LogPoint{}, false
	}
	t.demoted = primary.Name
	return status.ReceivedPosition, true
}

// causeZoneSilent is the cause of a takeover that waits because the primary may be cut off
// together with its zone.
const causeZoneSilent = "the primary's zone does not respond, so members that join there may confirm commits"

// logWaiting logs why a takeover is not carried out and the members that it waits for.
func (t *attempt) logWaiting(cause string, members []ident.UpstreamName) {
	names := make([]string, len(members))
	for i, name := range members {
		names[i] = string(name)
	}
	t.log(t.controller.cfg.Log.Warn()).Str("cause", cause).Strs("waiting_for", names).Msg("takeover waits")
}
