package service

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/controller/limits"
	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/relay"
)

// Handle implements relay.Handler.
func (v *VM) Handle(ctx context.Context, from relay.Peer, kind relay.Kind, body cbor.RawMessage) any {
	switch kind {
	case peers.KindProbe:
		v.peers.Discover(from.Identity)
		return v.pulse()
	case peers.KindExecute:
		var r execution.Request
		if v.decode(from, body, &r) {
			return v.executeFor(ctx, from, r)
		}
	case peers.KindRollback:
		var a peers.RollbackRequest
		if v.decode(from, body, &a) {
			v.remote.ended(from.ConnectionID, a.Transaction)
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
	case peers.KindTake:
		var r limits.TakeRequest
		if v.decode(from, body, &r) {
			return v.limits.HandleTake(ctx, r)
		}
	case peers.KindBorrow:
		var ask shares.BorrowRequest
		if v.decode(from, body, &ask) {
			return v.limits.HandleBorrow(from.Identity, ask)
		}
	}
	return nil
}

func (v *VM) decode(from relay.Peer, body cbor.RawMessage, into any) bool {
	err := relay.Decode(body, into)
	if err != nil {
		v.log.Warn().Err(err).Str("peer", string(from.VM)).Msg("message of a peer ignored")
	}
	return err == nil
}

func (v *VM) pulse() peers.ProbeResponse {
	version, age, proved := v.follower.Proof()
	table, tableAge := v.limits.TableVersion()
	return peers.ProbeResponse{Version: version, ProofAge: age, Proved: proved, Leaving: v.leaving.Load(),
		Incarnation: v.self.Incarnation, ShareTableVersion: table, ShareTableAge: tableAge, Digest: v.follower.Digest()}
}

// executeFor executes a statement for another VM.
func (v *VM) executeFor(ctx context.Context, from relay.Peer, r execution.Request) execution.Result {
	if r.Mode != execution.Continue && v.leaving.Load() {
		return execution.Result{Outcome: execution.NotRun, Reason: execution.Stopping}
	}
	if r.Mode == execution.Begin {
		v.remote.opened(from.ConnectionID, r.TransactionID, r.Target)
	}
	result := v.local.Execute(ctx, r)
	v.executed(from.VM, r, result)
	if v.follower.Snapshot().IsPrimary(r.Target.Group, r.Target.Upstream) {
		// In a large fleet the VMs that execute see a primary's failure first.
		v.takeover.ObservePrimary(r.Target, r.Writes, result)
	}
	if r.TransactionID != "" && !result.TransactionOpen {
		v.remote.ended(from.ConnectionID, r.TransactionID)
	}
	return result
}

const (
	// confirmers is the number of VMs that are asked whether they reach a primary.
	confirmers = 3
	// confirmTimeout bounds their answers; a VM that does not answer confirms nothing
	// and denies nothing.
	confirmTimeout = 800 * time.Millisecond
)

// confirmSilent asks other VMs, those of other zones first, and reports whether none
// of them reaches the upstream.
func (v *VM) confirmSilent(ctx context.Context, target execution.Target) bool {
	var others []placement.VM
	for _, vm := range placement.Rank(v.peers.Hubs(), string(target.Upstream)) {
		if vm.Zone != v.settings.Zone {
			others = append(others, vm)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answers := make(chan bool, confirmers)
	asked := others[:min(confirmers, len(others))]
	for _, vm := range asked {
		go func() {
			var reached bool
			err := v.peers.Call(ctx, vm.Name, peers.KindReachability, target, &reached)
			answers <- err == nil && reached
		}()
	}
	silent := true
	for range asked {
		if <-answers {
			silent = false
		}
	}
	return silent
}

// tellTimeout bounds the message that a primary does not answer; a later one follows.
const tellTimeout = 500 * time.Millisecond

// tellSuspicion tells a VM that a primary does not answer this one.
func (v *VM) tellSuspicion(vm ident.VMName, target execution.Target) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		var taken bool
		if err := v.peers.Call(ctx, vm, peers.KindSuspect, target, &taken); err != nil {
			v.log.Debug().Err(err).Str("peer", string(vm)).Msg("suspicion not delivered")
		}
	}()
}

// Closed implements relay.Handler: the transactions that a VM has opened here are
// rolled back when its connection ends.
func (v *VM) Closed(from relay.Peer) {
	for transaction, target := range v.remote.close(from.ConnectionID) {
		v.local.Rollback(target, transaction)
	}
}
