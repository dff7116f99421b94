package platform

import (
	"sort"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// Defaults of the list of VMs.
const (
	// DefaultVMLag is the age of the list.
	DefaultVMLag = 2 * time.Second
	// DefaultVMExpiry is the time after the last announcement at which a VM is dropped.
	DefaultVMExpiry = 10 * time.Second
)

// vmList is the list of VMs as it was a lag ago.
type vmList struct {
	mu      sync.Mutex
	now     func() time.Time
	lag     time.Duration
	expiry  time.Duration
	history map[ident.VMName][]vmChange
}

// vmChange is an announcement, or a removal when vm is nil.
type vmChange struct {
	at time.Time
	vm *objectapi.VM
}

func newVMList(now func() time.Time) *vmList {
	return &vmList{now: now, lag: DefaultVMLag, expiry: DefaultVMExpiry, history: map[ident.VMName][]vmChange{}}
}

func (l *vmList) record(name ident.VMName, vm *objectapi.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history[name] = append(l.pruned(name), vmChange{l.now(), vm})
}

// pruned returns the history of a VM from the change that is visible now.
func (l *vmList) pruned(name ident.VMName) []vmChange {
	history := l.history[name]
	visible := l.now().Add(-l.lag)
	for len(history) > 1 && !history[1].at.After(visible) {
		history = history[1:]
	}
	return history
}

func (l *vmList) setLag(lag, expiry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag, l.expiry = lag, expiry
}

// list returns the VMs that were listed a lag ago, ordered by name.
func (l *vmList) list() []objectapi.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := l.now().Add(-l.lag)
	vms := []objectapi.VM{}
	for name := range l.history {
		history := l.pruned(name)
		l.history[name] = history
		first := history[0]
		expired := first.at.Add(l.expiry).Before(visible)
		if first.vm != nil && !first.at.After(visible) && !expired {
			vms = append(vms, *first.vm)
		}
		if len(history) == 1 && (expired || first.vm == nil && !first.at.After(visible)) {
			delete(l.history, name)
		}
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms
}
