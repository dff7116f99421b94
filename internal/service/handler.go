package service

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/controller/limits"
	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/controller/steering"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/core/usage"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/relay"
)

// Handle implements relay.Handler. It rejects a body that cannot be decoded and an unknown
// kind.
func (v *VM) Handle(ctx context.Context, from relay.Peer, kind relay.Kind, body cbor.RawMessage) any {
	switch kind {
	case peers.KindProbe:
		v.peers.Discover(from.Identity)
		return v.probeResponse()
	case peers.KindExecute:
		var r execution.Request
		if v.decode(from, body, &r) && r.Valid() {
			return v.executeRemote(ctx, from, r)
		}
	case peers.KindRollback:
		var a peers.RollbackRequest
		if v.decode(from, body, &a) {
			v.remote.remove(from.ConnectionID, a.Transaction)
			v.local.Rollback(a.Target, a.Transaction)
			return true
		}
	case peers.KindReachability:
		var target execution.Target
		if v.decode(from, body, &target) {
			return v.takeover.Reachable(ctx, target)
		}
	case peers.KindSuspect:
		var target execution.Target
		if v.decode(from, body, &target) {
			v.takeover.HandleSuspicion(target)
			return true
		}
	case peers.KindView:
		var r storesync.ViewRequest
		if v.decode(from, body, &r) {
			return v.follower.ServeView(ctx, r)
		}
	case peers.KindMembers:
		var r peers.MembersRequest
		if v.decode(from, body, &r) {
			return v.peers.ServeMembers(r)
		}
	case peers.KindPositions:
		var r steering.PositionsRequest
		if v.decode(from, body, &r) {
			return v.router.ServePositions(r)
		}
	case peers.KindTake:
		var r limits.TakeRequest
		if v.decode(from, body, &r) {
			return v.limits.HandleTake(ctx, r)
		}
	case peers.KindUsage:
		var m usage.Message
		if v.usage != nil && v.decode(from, body, &m) {
			return v.usage.Handle(from.Identity, m)
		}
	case peers.KindBorrow:
		var r shares.BorrowRequest
		if v.decode(from, body, &r) {
			return v.limits.HandleBorrow(from.Identity, r)
		}
	}
	return relay.Rejected
}

func (v *VM) decode(from relay.Peer, body cbor.RawMessage, into any) bool {
	err := relay.Decode(body, into)
	if err != nil {
		v.log.Warn().Err(err).Str("peer", string(from.VM)).Msg("malformed peer request ignored")
	}
	return err == nil
}

func (v *VM) probeResponse() peers.ProbeResponse {
	version, age, proved := v.follower.Proof()
	table, tableAge := v.limits.TableVersion()
	return peers.ProbeResponse{Version: version, ProofAge: age, Proved: proved, Leaving: v.stopping(),
		Incarnation: v.self.Incarnation, ShareTableVersion: table, ShareTableAge: tableAge, View: v.follower.ViewProof(), WallClock: v.probeWallClock()}
}

// executeRemote executes a statement for another VM and tracks the transaction that it
// begins or ends. While this VM is stopping it only continues open transactions.
func (v *VM) executeRemote(ctx context.Context, from relay.Peer, r execution.Request) execution.Result {
	if r.Mode != execution.Continue && v.stopping() {
		return execution.Result{Outcome: execution.NotRun, Reason: execution.Stopping}
	}
	v.remoteStatements.Add(1)
	defer func() {
		v.lastRemoteStatement.Store(int64(v.clock.Now()))
		v.remoteStatements.Add(-1)
	}()
	if r.Mode == execution.Begin {
		v.remote.add(from.ConnectionID, r.TransactionID, r.Target)
	}
	sentAt := v.clock.Now()
	result := v.local.Execute(ctx, r)
	if result.LeadershipVerified {
		v.router.RecordPosition(r.Target.Group, sentAt, result.Position)
	}
	v.router.ObserveExecution(r, result)
	v.logFailedExecution(from.VM, r, result)
	if v.follower.Snapshot().IsPrimary(r.Target.Group, r.Target.Upstream) {
		// In a large fleet the executing VMs detect the failure of a primary first.
		v.takeover.ObservePrimary(r.Target, r.Writes, result)
	}
	if r.TransactionID != "" && !result.TransactionOpen {
		v.remote.remove(from.ConnectionID, r.TransactionID)
	}
	return result
}

const (
	// maxConfirmingVMs limits the number of VMs that are called to confirm that a primary
	// does not respond.
	maxConfirmingVMs = 3
	// confirmationTimeout limits these calls. A VM that does not respond in time is
	// ignored.
	confirmationTimeout = 800 * time.Millisecond
)

// confirmUnresponsive calls hubs of other zones and reports whether none of them reports
// that it reaches the upstream. If there is no such hub it returns true.
func (v *VM) confirmUnresponsive(ctx context.Context, target execution.Target) bool {
	var others []placement.VM
	for _, vm := range placement.Rank(v.peers.Hubs(), string(target.Upstream)) {
		if vm.Zone != v.settings.Zone {
			others = append(others, vm)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	results := make(chan bool, maxConfirmingVMs)
	targets := others[:min(maxConfirmingVMs, len(others))]
	for _, vm := range targets {
		recovery.Go(v.log, "request reachability", func() {
			var reached bool
			err := v.peers.Call(ctx, vm.Name, peers.KindReachability, target, &reached)
			results <- err == nil && reached
		})
	}
	unresponsive := true
	for range targets {
		if <-results {
			unresponsive = false
		}
	}
	return unresponsive
}

// unreachableInZone reports whether a VM in a zone responds and doesn't reach the upstream, or
// the zone has no VM.
func (v *VM) unreachableInZone(ctx context.Context, zone ident.AvailabilityZone, target execution.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	for _, vm := range placement.Rank(v.peers.Hubs(), string(target.Upstream)) {
		var reached bool
		if vm.Zone == zone && v.peers.Call(ctx, vm.Name, peers.KindReachability, target, &reached) == nil {
			return !reached
		}
	}
	return !v.peers.HasVMs(zone)
}

// notifyTimeout limits a notification that a primary does not respond. A lost one is
// followed by others.
const notifyTimeout = 500 * time.Millisecond

// notifySuspicion notifies a VM, without waiting, that a primary does not respond to this
// one.
func (v *VM) notifySuspicion(vm ident.VMName, target execution.Target) {
	recovery.Go(v.log, "notify suspicion", func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		var accepted bool
		if err := v.peers.Call(ctx, vm, peers.KindSuspect, target, &accepted); err != nil {
			v.log.Debug().Err(err).Str("peer", string(vm)).Msg("cannot notify peer of an unresponsive primary")
		}
	})
}

// Closed implements relay.Handler. It rolls back the transactions that were begun over
// the connection.
func (v *VM) Closed(from relay.Peer) {
	for transaction, target := range v.remote.removeConnection(from.ConnectionID) {
		v.local.Rollback(target, transaction)
	}
}
