package service

import (
	"context"
	"maps"
	"sync"

	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/controller/steering"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// storeRelayVM returns the hub of this VM's zone that follows the store for the others.
// The result is false if this VM does so itself, or if the zone has no hub.
func (v *VM) storeRelayVM() (ident.VMName, bool) {
	var sameZone []placement.VM
	for _, hub := range v.peers.Hubs() {
		if hub.Zone == v.settings.Zone {
			sameZone = append(sameZone, hub)
		}
	}
	if len(sameZone) == 0 {
		return "", false
	}
	first := placement.Rank(sameZone, "store")[0].Name
	return first, first != v.settings.VM
}

// requestView requests the objects that a VM has read from the store.
func (v *VM) requestView(ctx context.Context, vm ident.VMName, request storesync.ViewRequest) (storesync.ViewResponse, error) {
	var view storesync.ViewResponse
	err := v.peers.Call(ctx, vm, peers.KindView, request, &view)
	return view, err
}

// requestPositions requests positions that primaries have reported to a VM.
func (v *VM) requestPositions(ctx context.Context, vm ident.VMName, request steering.PositionsRequest) (steering.PositionsResponse, error) {
	var response steering.PositionsResponse
	err := v.peers.Call(ctx, vm, peers.KindPositions, request, &response)
	return response, err
}

// remoteTransactions tracks the open transactions that other VMs have begun on this one,
// so that they can be rolled back when the connection closes.
type remoteTransactions struct {
	mu *sync.Mutex
	// byConnection holds the target of each transaction by connection and transaction.
	byConnection map[uint64]map[string]execution.Target
}

func newRemoteTransactions() remoteTransactions {
	return remoteTransactions{mu: &sync.Mutex{}, byConnection: map[uint64]map[string]execution.Target{}}
}

func (t remoteTransactions) add(connection uint64, transaction string, target execution.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byConnection[connection] == nil {
		t.byConnection[connection] = map[string]execution.Target{}
	}
	t.byConnection[connection][transaction] = target
}

func (t remoteTransactions) remove(connection uint64, transaction string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byConnection[connection], transaction)
}

// removeConnection removes and returns the transactions of a connection.
func (t remoteTransactions) removeConnection(connection uint64) map[string]execution.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	transactions := t.byConnection[connection]
	delete(t.byConnection, connection)
	return transactions
}

// removeAll removes and returns all transactions.
func (t remoteTransactions) removeAll() map[string]execution.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := map[string]execution.Target{}
	for connection, transactions := range t.byConnection {
		maps.Copy(all, transactions)
		delete(t.byConnection, connection)
	}
	return all
}

// count returns the number of transactions.
func (t remoteTransactions) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, transactions := range t.byConnection {
		n += len(transactions)
	}
	return n
}
