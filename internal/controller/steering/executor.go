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

// chooseExecutor chooses the VM that runs the statement on an upstream.
func (r *Router) chooseExecutor(requirement proxy.Requirement, u catalog.Upstream, now time.Duration) proxy.Choice {
	region := r.cfg.Regions[u.Zone]
	hubs := r.cfg.Hubs()
	nearest := placement.Nearest(hubs, u.Zone, region)
	if len(nearest) == 0 {
		nearest = []placement.VM{r.cfg.Self} // no hub responds
	}
	restricted := len(requirement.Grant.Route.HomeRegions)+len(requirement.Grant.Organisation.HomeRegions) > 0
	if restricted && nearest[0].Region != region {
		nearest = []placement.VM{r.cfg.Self} // the statement must not reach a VM in another region
	}
	key := string(requirement.Grant.Organisation.Name) + "/" + string(u.Name)
	chosen, ok := r.firstAvailable(placement.Rank(nearest, key), u.Name, now)
	if !ok && !restricted {
		// The network may separate the nearest VMs from the upstream, but not others.
		if other, found := r.firstAvailable(placement.Rank(hubs, key), u.Name, now); found && r.allUnreachable(nearest, u.Name, now) {
			chosen = other
		}
	}
	limit := requirement.Grant.Group.MaxConnections
	connections := placement.SpareConnectionLimit(limit, r.cfg.FleetSize())
	if placement.Index(hubs, chosen.Name) >= 0 && placement.Index(nearest, chosen.Name) >= 0 {
		connections = placement.ConnectionLimit(limit, nearest, chosen.Name)
	}
	executor := r.cfg.Local
	if chosen.Name != r.cfg.Self.Name {
		executor = r.cfg.Remote(chosen.Name)
	}
	return proxy.Choice{
		Target: execution.TargetOf(u), Executor: executor, ExecutingVM: chosen.Name, ConnectionLimit: connections,
		DialLimit: placement.DialLimit(u.Slots, nearest, chosen.Name),
		Slots:     u.Slots, SlotShare: placement.SlotShare(u.Slots, nearest, chosen.Name),
		ExecutingShare: placement.Share(nearest, chosen.Name),
	}
}

// firstAvailable returns the first VM that is neither saturated nor unable to reach the
// upstream. If there is none it returns the first VM and false.
func (r *Router) firstAvailable(ranked []placement.VM, u ident.UpstreamName, now time.Duration) (placement.VM, bool) {
	if len(ranked) == 0 {
		return placement.VM{}, false
	}
	for _, vm := range ranked {
		pair := vmUpstream{vm.Name, u}
		if now >= r.saturated[pair] && now >= r.unreachable[pair] {
			return vm, true
		}
	}
	return ranked[0], false
}

// allUnreachable reports whether each of the VMs has recently failed to reach the
// upstream.
func (r *Router) allUnreachable(vms []placement.VM, u ident.UpstreamName, now time.Duration) bool {
	return !slices.ContainsFunc(vms, func(vm placement.VM) bool { return now >= r.unreachable[vmUpstream{vm.Name, u}] })
}
