package steering

import (
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
)

// seat chooses the VM that executes at an upstream.
func (r *Router) seat(need proxy.Requirement, u catalog.Upstream, now time.Duration) proxy.Choice {
	region := r.cfg.Regions[u.Zone]
	hubs := r.cfg.Hubs()
	near := placement.Nearest(hubs, u.Zone, region)
	if len(near) == 0 {
		near = []placement.VM{r.cfg.Self} // no hub answers
	}
	homes := len(need.Grant.Route.HomeRegions)+len(need.Grant.Organisation.HomeRegions) > 0
	if homes && near[0].Region != region {
		near = []placement.VM{r.cfg.Self} // no other region may see the statement
	}
	key := string(need.Grant.Organisation.Name) + "/" + string(u.Name)
	chosen, ok := r.open(placement.Rank(near, key), u.Name, now)
	if !ok && !homes {
		// The near VMs may be cut off from the upstream while others reach it.
		if far, found := r.open(placement.Rank(hubs, key), u.Name, now); found && r.unreached(near, u.Name, now) {
			chosen = far
		}
	}
	limit := need.Grant.Group.MaxConnections
	connections := placement.SpareConnectionLimit(limit, r.cfg.FleetSize())
	if placement.Index(hubs, chosen.Name) >= 0 && placement.Index(near, chosen.Name) >= 0 {
		connections = placement.ConnectionLimit(limit, near, chosen.Name)
	}
	executor := r.cfg.Local
	if chosen.Name != r.cfg.Self.Name {
		executor = r.cfg.Remote(chosen.Name)
	}
	return proxy.Choice{
		Target: execution.TargetOf(u), Executor: executor, ExecutingVM: chosen.Name, ConnectionLimit: connections,
		DialLimit: placement.DialLimit(u.Slots, near, chosen.Name),
	}
}

// open returns the first VM that is not known to fail at the upstream; false with
// the first one when there is none.
func (r *Router) open(ranked []placement.VM, u ident.UpstreamName, now time.Duration) (placement.VM, bool) {
	if len(ranked) == 0 {
		return placement.VM{}, false
	}
	for _, vm := range ranked {
		s := seat{vm.Name, u}
		if now >= r.saturated[s] && now >= r.unreachable[s] {
			return vm, true
		}
	}
	return ranked[0], false
}

// unreached reports whether every given VM has failed to reach the upstream.
func (r *Router) unreached(vms []placement.VM, u ident.UpstreamName, now time.Duration) bool {
	return !slices.ContainsFunc(vms, func(vm placement.VM) bool { return now >= r.unreachable[seat{vm.Name, u}] })
}
