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
	// rosterInterval is the time between readings of the platform's list of VMs by the
	// watchers of a zone: 24 zones with two watchers make about 10 calls a second.
	rosterInterval = 5 * time.Second
	// rosterRetry is the time between readings while no other VM is known.
	rosterRetry = time.Second
	// rosterWatchers is the number of VMs of a zone that read the list.
	rosterWatchers = 2
)

// followRoster gives the platform's lagging list of VMs to the failure detector as
// a hint, and to the share controller as proof that a VM was removed. A VM that knows no other VM reads it at once; later only the watchers of
// the zone do.
func (v *VM) followRoster(ctx context.Context) error {
	for {
		wait := rosterInterval
		if v.readsRoster() {
			if !v.readRoster(ctx) || len(v.mesh.Members()) < 2 {
				wait = rosterRetry
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

func (v *VM) readsRoster() bool {
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
	for _, w := range detector.Watchers(known, v.mesh.Self().Zone, rosterWatchers) {
		if w.Name == v.mesh.Self().Name {
			return true
		}
	}
	return false
}

// readRoster reports whether the platform answered.
func (v *VM) readRoster(ctx context.Context) bool {
	list, err := v.platform.VMs(ctx)
	if err != nil {
		v.log.Debug().Err(err).Msg("list of VMs not read")
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
