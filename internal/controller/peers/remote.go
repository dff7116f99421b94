package peers

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/relay"
)

const (
	// transitTime is added to the time that a statement may take on another VM, for
	// the way there and back and for opening a connection.
	transitTime = 150 * time.Millisecond
	// abandonTimeout bounds the message that rolls a transaction back.
	abandonTimeout = time.Second
)

// AbandonRequest rolls an open transaction back.
type AbandonRequest struct {
	Target      execution.Target `cbor:"1,keyasint"`
	Transaction string           `cbor:"2,keyasint"`
}

// RemoteExecutor executes statements on another VM.
type RemoteExecutor struct {
	peers *Peers
	name  ident.VMName
}

// Executor returns the executor of a VM.
func (p *Peers) Executor(name ident.VMName) *RemoteExecutor {
	return &RemoteExecutor{peers: p, name: name}
}

// Execute implements execution.Executor.
func (r *RemoteExecutor) Execute(ctx context.Context, request execution.Request) execution.Result {
	q, ok := r.peers.get(r.name)
	if !ok {
		return execution.Result{Outcome: execution.NotRun, Reason: execution.PeerLost}
	}
	ctx, cancel := context.WithTimeout(ctx, request.Wait+request.Timeout+transitTime)
	defer cancel()
	var result execution.Result
	err := q.client.Call(ctx, KindExecute, request, &result)
	if err == nil {
		return result
	}
	if ctx.Err() == nil {
		r.peers.suspect(q)
	}
	if errors.Is(err, relay.ErrNotSent) {
		return execution.Result{Outcome: execution.NotRun, Reason: execution.PeerLost}
	}
	return execution.Result{Outcome: execution.Unknown, Reason: execution.PeerLost, Detail: err.Error()}
}

// Abandon implements execution.Executor. The message is sent in the background; a
// transaction that it does not reach ends with its connection.
func (r *RemoteExecutor) Abandon(target execution.Target, transaction string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
		defer cancel()
		var done bool
		if err := r.peers.Call(ctx, r.name, KindAbandon, AbandonRequest{target, transaction}, &done); err != nil {
			r.peers.cfg.Log.Debug().Err(err).Str("peer", string(r.name)).Msg("rollback not delivered")
		}
	}()
}
