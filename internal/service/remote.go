package service

import (
	"context"
	"sync"

	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// storeRelay returns the hub of this VM's zone that follows the store for the others;
// false if that is this VM, or if the zone has no hub.
func (v *VM) storeRelay() (ident.VMName, bool) {
	var near []placement.VM
	for _, hub := range v.peers.Hubs() {
		if hub.Zone == v.settings.Zone {
			near = append(near, hub)
		}
	}
	if len(near) == 0 {
		return "", false
	}
	first := placement.Rank(near, "store")[0].Name
	return first, first != v.settings.VM
}

// askView asks a VM for what it has read in the store.
func (v *VM) askView(ctx context.Context, vm ident.VMName, request storesync.ViewRequest) (storesync.ViewResponse, error) {
	var view storesync.ViewResponse
	err := v.peers.Call(ctx, vm, peers.KindView, request, &view)
	return view, err
}

// remoteTransactions are the transactions that other VMs have opened here, by the
// connection that they came over.
type remoteTransactions struct {
	mu   *sync.Mutex
	open map[uint64]map[string]execution.Target
}

func newRemoteTransactions() remoteTransactions {
	return remoteTransactions{mu: &sync.Mutex{}, open: map[uint64]map[string]execution.Target{}}
}

func (t remoteTransactions) opened(connection uint64, transaction string, target execution.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[connection] == nil {
		t.open[connection] = map[string]execution.Target{}
	}
	t.open[connection][transaction] = target
}

func (t remoteTransactions) ended(connection uint64, transaction string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open[connection], transaction)
}

func (t remoteTransactions) close(connection uint64) map[string]execution.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := t.open[connection]
	delete(t.open, connection)
	return open
}
