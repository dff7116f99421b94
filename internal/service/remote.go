package service

import (
	"sync"

	"github.com/rosemarywall/rosemarywall/internal/execution"
)

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
