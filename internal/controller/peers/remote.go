package peers

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/relay"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// transitAllowance is added to the timeout of a statement on another VM, to cover the
	// network round trip and opening a connection.
	transitAllowance = 150 * time.Millisecond
	// rollbackTimeout limits a RollbackRequest and its repetitions.
	rollbackTimeout = time.Second
	// rollbackRetryDelay is the time after which a RollbackRequest that was rejected is repeated.
	rollbackRetryDelay = 50 * time.Millisecond
)

// RollbackRequest requests the rollback of an open transaction.
type RollbackRequest struct {
	Target      execution.Target `cbor:"1,keyasint"`
	Transaction string           `cbor:"2,keyasint"`
}

// RemoteExecutor executes statements on another VM. It implements execution.Executor.
type RemoteExecutor struct {
	peers *Peers
	name  ident.VMName
}

// Executor returns an executor that runs statements on the given VM.
func (p *Peers) Executor(name ident.VMName) *RemoteExecutor {
	return &RemoteExecutor{peers: p, name: name}
}

// Execute implements execution.Executor.
func (r *RemoteExecutor) Execute(ctx context.Context, request execution.Request) execution.Result {
	q, ok := r.peers.lookup(r.name)
	if !ok {
		return execution.Result{Outcome: execution.NotRun, Reason: execution.PeerLost}
	}
	ctx, cancel := context.WithTimeout(ctx, request.Timeout+transitAllowance)
	defer cancel()
	if request.Repeatable() {
		ctx, cancel = r.peers.untilSuspect(ctx, q)
		defer cancel()
	}
	var result execution.Result
	err := r.peers.call(ctx, q, KindExecute, request, &result)
	if err == nil && !result.Valid() {
		err = resultcode.New(resultcode.MessageMalformed, "the result states no outcome")
	}
	if err == nil {
		if result.Reason == execution.Stopping {
			r.peers.markLeaving(q)
		}
		return result
	}
	if result, ok := r.refusal(request, err); ok {
		return result
	}
	if ctx.Err() == nil {
		r.peers.markUnresponsive(q)
	}
	if errors.Is(err, relay.ErrNotSent) {
		return execution.Result{Outcome: execution.NotRun, Reason: execution.PeerLost}
	}
	if request.Mode == execution.Continue {
		r.Rollback(request.Target, request.TransactionID) // the statement may still run, and the connection go on
	}
	return execution.Result{Outcome: execution.Unknown, Reason: execution.PeerLost, Detail: err.Error()}
}

// refusal returns the result of a statement that the other VM did not run, or whose result it could
// not pass on or this VM cannot read. A transaction that may be open there is rolled back, because
// the connection goes on. The result is false for any other error.
func (r *RemoteExecutor) refusal(request execution.Request, err error) (execution.Result, bool) {
	result := execution.Result{Outcome: execution.NotRun, Detail: err.Error()}
	switch {
	case framing.ReasonOf(err) == framing.TooLarge:
		result.Reason = execution.TooLarge
	case errors.Is(err, relay.ErrRejected):
		result.Reason = execution.NoConnection
	case errors.Is(err, relay.ErrResponseTooLarge), resultcode.Is(err, resultcode.MessageMalformed):
		result.Outcome, result.Reason, result.Sent = execution.Unknown, execution.AnswerLost, true
	default:
		return execution.Result{}, false
	}
	// A first statement that was not run has opened no transaction.
	if request.Mode == execution.Continue || request.Mode == execution.Begin && result.Outcome == execution.Unknown {
		r.Rollback(request.Target, request.TransactionID)
	}
	return result, true
}

// Rollback implements execution.Executor. The request is sent in the background. If it is
// lost, the transaction ends with its connection.
func (r *RemoteExecutor) Rollback(target execution.Target, transaction string) {
	recovery.Go(r.peers.cfg.Log, "rollback request", func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		var ended bool
		err := r.peers.Call(ctx, r.name, KindRollback, RollbackRequest{target, transaction}, &ended)
		for errors.Is(err, relay.ErrRejected) && clock.Sleep(ctx, rollbackRetryDelay) { // the other VM has too many requests
			err = r.peers.Call(ctx, r.name, KindRollback, RollbackRequest{target, transaction}, &ended)
		}
		if err != nil {
			r.peers.cfg.Log.Debug().Err(err).Str("peer", string(r.name)).Msg("rollback request failed")
		}
	})
}
