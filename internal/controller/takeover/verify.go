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

// prepare chooses the candidate and verifies that it holds every acknowledged commit.
func (t *attempt) prepare(ctx context.Context) (ident.UpstreamName, bool) {
	if t.boundCandidate != "" && t.record.Demoted {
		// Proved before the earlier call. The demoted primary has confirmed nothing since.
		t.proof = proofDemoted
		return t.boundCandidate, t.boundCandidateResponds(ctx)
	}
	if t.reason != reasonWriteStalled {
		if candidate, outcome := t.handOver(ctx); outcome != notPossible {
			return candidate, outcome == handedOver
		}
	}
	return t.proveByReplicas(ctx)
}

// boundCandidateResponds reports whether the candidate of an earlier call responds.
func (t *attempt) boundCandidateResponds(ctx context.Context) bool {
	for _, u := range t.withHolders(t.snapshot.Upstreams[t.group.name]) {
		if u.Name == t.boundCandidate {
			if _, err := t.status(ctx, execution.TargetOf(u), statusCommand(u)); err == nil {
				return true
			}
		}
	}
	t.logWaiting("an earlier call may still promote a member that does not respond", []ident.UpstreamName{t.boundCandidate})
	return false
}

// proveByReplicas chooses the candidate, pauses the other replicas and verifies that the
// candidate holds what each of them holds.
func (t *attempt) proveByReplicas(ctx context.Context) (ident.UpstreamName, bool) {
	members := t.withHolders(t.nonPrimaryMembers())
	t.members = members
	var isolated <-chan bool
	if !t.isolated && t.spec.SyncReplicas > 0 && t.primarySilent(ctx) {
		isolated = t.checkIsolated(ctx)
	}
	targets := members
	if t.primary != nil && !t.unresponsive && !t.controller.withdrawn(t.primary.Zone) {
		targets = append(slices.Clone(members), *t.primary) // for its term
	}
	reports := t.sendCommand(ctx, targets, statusCommand)[:len(members)]
	if isolated != nil && !<-isolated {
		t.logWaiting(causeZoneSilent, nil)
		return "", false
	}
	missing := t.unreached(reports)
	for i, r := range reports {
		// One that has stepped down may lead again until another has caught up, even if it leaves.
		reports[i].Eligible = r.Eligible || t.primary == nil && r.Name == t.record.Primary
	}
	if t.boundCandidate != "" {
		reports = slices.DeleteFunc(reports, func(r core.Report) bool { return r.Name != t.boundCandidate })
	}
	candidate, ok := core.ChooseCandidate(reports)
	if !ok {
		t.logWaiting("no member can become primary", missing)
		return "", false
	}
	if t.spec.SyncReplicas <= 0 {
		return candidate, true
	}
	if len(missing) >= t.spec.SyncReplicas {
		// Paused replicas would only keep a primary that is cut off from this VM from
		// committing.
		t.logWaiting(causeMissing, missing)
		return "", false
	}
	candidate, ok = t.verify(ctx, members, candidate)
	return candidate, ok && (t.reason != reasonWriteStalled || t.stepDown(ctx))
}

// stepDown prevents a primary that completes no write from acknowledging further
// commits. It may reach its replicas again at any time, and also a member that joins and
// that the verification does not cover. The end of its log proves nothing: no replica has
// received it.
func (t *attempt) stepDown(ctx context.Context) bool {
	_, ok := t.demote(ctx, *t.primary)
	return ok && clock.Sleep(ctx, joinDelay)
}

// changedMember returns a member that has joined, started again or left since the
// verification; it may be the only one that holds a commit.
func (t *attempt) changedMember() (ident.UpstreamName, bool) {
	now := registeredIn(t.controller.cfg.Snapshot(), t.group.name)
	for _, pair := range [][2][]catalog.Upstream{{now, t.members}, {t.registered(), now}} {
		for _, u := range pair[0] {
			same := func(known catalog.Upstream) bool { return known.Name == u.Name && known.Incarnation == u.Incarnation }
			if !slices.ContainsFunc(pair[1], same) && (t.primary == nil || u.Name != t.primary.Name) {
				return u.Name, true
			}
		}
	}
	return "", false
}

func (t *attempt) verify(ctx context.Context, members []catalog.Upstream, candidate ident.UpstreamName) (ident.UpstreamName, bool) {
	var rest, chosen []catalog.Upstream
	for _, u := range members {
		if u.Name == candidate {
			chosen = append(chosen, u)
			continue
		}
		rest = append(rest, u)
	}
	// This is the lowest term that a replica accepts, so that a pause that is executed
	// late, after the promotion, is refused.
	term := t.term + 1
	reports := t.sendCommand(ctx, rest, func(catalog.Upstream) statement.Command {
		return statement.Command{Kind: statement.PauseCommand, Term: term}
	})
	t.markPaused(rest, reports)
	replicas := len(members) + len(t.lostLogs)
	deadline := t.controller.cfg.Now() + catchUpTimeout
	for {
		all := append(t.sendCommand(ctx, chosen, statusCommand), reports...)
		verdict := core.CheckPromotion(all, candidate, replicas, t.spec.SyncReplicas)
		t.log(t.controller.cfg.Log.Info()).Str("candidate", string(candidate)).Uint8("verdict", uint8(verdict)).
			Int("replicas", replicas).Uint64("term", uint64(term)).Interface("reports", all).Msg("takeover verified")
		switch {
		case verdict == core.Safe:
			return candidate, t.awaitRegistrations(ctx, all)
		case verdict == core.NoQuorum, t.controller.cfg.Now() >= deadline:
			t.logWaiting(causeMissing, t.missing(all, candidate, verdict))
			return "", false
		}
		if !clock.Sleep(ctx, catchUpPollInterval) {
			return "", false
		}
	}
}

// causeMissing is the cause of a takeover that waits for members.
const causeMissing = "these members may hold a commit that the candidate lacks"

// primarySilent reports whether the primary does not respond to this VM. One in a zone whose
// evacuation is in force gets no statements, so nothing is acknowledged there.
func (t *attempt) primarySilent(ctx context.Context) bool {
	var target execution.Target
	switch {
	case t.primary != nil && t.controller.withdrawn(t.primary.Zone):
		return false
	case t.primary != nil:
		target = execution.TargetOf(*t.primary)
	case t.record.Holders[t.record.Primary] == "":
		return false
	default:
		target = execution.Target{Group: t.group.name, Upstream: t.record.Primary, Address: t.record.Holders[t.record.Primary]}
	}
	if t.unresponsive {
		return true
	}
	_, err := t.status(ctx, target, statement.Command{Kind: statement.StatusCommand})
	t.isolated = connectionRefused(err)
	return err != nil && !t.isolated
}

// unreached returns the members that do not respond, and those whose logs are lost.
func (t *attempt) unreached(reports []core.Report) []ident.UpstreamName {
	out := slices.Clone(t.lostLogs)
	for _, r := range reports {
		if !r.Reached {
			out = append(out, r.Name)
		}
	}
	return out
}

// missing returns the members because of which a verification failed.
func (t *attempt) missing(reports []core.Report, candidate ident.UpstreamName, verdict core.Verdict) []ident.UpstreamName {
	var received ident.LogPoint
	for _, r := range reports {
		if r.Name == candidate {
			received = r.Received
		}
	}
	missing := slices.Clone(t.lostLogs)
	for _, r := range reports {
		if !r.Reached || r.Name != candidate && (!r.Paused || verdict == core.Behind && r.Received.Compare(received) > 0) {
			missing = append(missing, r.Name)
		}
	}
	return missing
}

// awaitRegistrations waits for the registration of a replica that may have just started
// again without its log. It registers within joinDelay, and changedMember then finds it.
func (t *attempt) awaitRegistrations(ctx context.Context, reports []core.Report) bool {
	empty := func(r core.Report) bool { return r.Reached && r.Received.IsZero() }
	return !slices.ContainsFunc(reports, empty) || clock.Sleep(ctx, joinDelay)
}
