package entry

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

const (
	// vmListInterval is the interval at which the watchers of an availability zone
	// read the platform's list of VMs. 24 zones with two watchers each make about 10
	// calls per second.
	vmListInterval = 5 * time.Second
	// vmListRetryInterval replaces vmListInterval after a failed read and while no
	// other VM is known.
	vmListRetryInterval = time.Second
	// vmListWatchers is the number of VMs per availability zone that read the list.
	vmListWatchers = 2
)

// watchVMList periodically reads the platform's list of VMs, which lags behind the
// actual state. The failure detector uses the list as a hint, and the share
// controller as proof that a VM was removed. A VM that knows no other VM reads the
// list immediately; otherwise only the watchers of its availability zone read it.
func (v *VM) watchVMList(ctx context.Context) error {
	for {
		wait := vmListInterval
		if v.readsVMList() {
			if !v.readVMList(ctx) || len(v.mesh.Members()) < 2 {
				wait = vmListRetryInterval
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// readsVMList reports whether this VM is a watcher of its availability zone or knows
// no other VM.
func (v *VM) readsVMList() bool {
	members := v.mesh.Members()
	if len(members) < 2 {
		return true
	}
	known := make([]detector.Member, 0, len(members))
	for _, m := range members {
		if m.State != peer.Dead {
			known = append(known, detector.Member{Name: m.Name, Zone: m.Zone, Address: m.Address})
		}
	}
	for _, w := range detector.Watchers(known, v.mesh.Self().Zone, vmListWatchers) {
		if w.Name == v.mesh.Self().Name {
			return true
		}
	}
	return false
}

// readVMList reads the list of VMs once and reports whether the read succeeded.
func (v *VM) readVMList(ctx context.Context) bool {
	list, err := v.platform.VMs(ctx)
	if err != nil {
		v.log.Debug().Err(err).Msg("cannot read the list of VMs")
		return false
	}
	members := make([]peer.Member, 0, len(list))
	names := make([]ident.VMName, 0, len(list))
	for _, vm := range list {
		m := peer.Member{Name: vm.Name, Zone: vm.Zone, Address: vm.Address}
		if vm.State == objectapi.VMLeaving {
			m.State = peer.Leaving
		}
		members = append(members, m)
		names = append(names, vm.Name)
	}
	v.mesh.AddHints(members, true)
	v.shares.SetListedVMs(names)
	return true
}
