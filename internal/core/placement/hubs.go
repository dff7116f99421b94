package placement

import (
	"cmp"
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// hubShare is the part of a zone's processor capacity that its hubs have at least.
	// Executing for others takes less than half of a VM's work.
	hubShare = 0.4
	// minHubs is the least number of hubs of a zone. With three, the loss of one moves a
	// third of the zone's work, and a second loss leaves one while another VM is made a
	// hub.
	minHubs = 3
	// maxHubs bounds the hubs of all zones, but for minHubs of each, because every VM
	// probes all of them: 26 probes a second in six zones at the intervals of
	// internal/controller/peers with a time to apply of 5 s.
	maxHubs = 40
	// maxPassed is the number of dead VMs of a zone that are passed over in search of
	// live hubs. A zone in which more are dead is probably cut off, and probing all of
	// its VMs would find out no sooner.
	maxPassed = 6
	// rounding covers errors of summation, in cores.
	rounding = 1e-6
)

// Candidate is a VM of the fleet and what is known about it.
type Candidate struct {
	VM
	// Dead says that the VM does not answer; one that was not asked is not dead.
	Dead bool
	// Leaving says that the VM stops.
	Leaving bool
}

// Hubs returns the VMs to use as hubs, and those to probe: the hubs, and the VMs that
// would be hubs if they answered or stayed.
func Hubs(vms []Candidate) (hubs []VM, probe []ident.VMName) {
	zones := map[ident.AvailabilityZone][]Candidate{}
	for _, v := range vms {
		zones[v.Zone] = append(zones[v.Zone], v)
	}
	most := max(minHubs, maxHubs/max(1, len(zones)))
	for _, zone := range zones {
		h, p := zoneHubs(zone, most)
		hubs, probe = append(hubs, h...), append(probe, p...)
	}
	slices.SortFunc(hubs, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(probe)
	return hubs, probe
}

// minRateHolders is the least number of VMs that hold parts of the rates, if there are
// so many hubs. The parts of one that dies are out of use for half a minute, and
// organisations get by with five sixths of their rates.
const minRateHolders = 6

// RateHolders returns the hubs that hold parts of the rates: as many of each zone, but
// no more than needed, because an organisation's burst is of use only while it is not
// split into less than single operations.
func RateHolders(hubs []VM) []VM {
	zones := map[ident.AvailabilityZone][]VM{}
	for _, v := range hubs {
		zones[v.Zone] = append(zones[v.Zone], v)
	}
	var out []VM
	if len(zones) == 0 {
		return out
	}
	each := (minRateHolders + len(zones) - 1) / len(zones)
	for _, zone := range zones {
		slices.SortFunc(zone, bySize)
		out = append(out, zone[:min(each, len(zone))]...)
	}
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// bySize orders VMs by capacity, and equal ones by hash.
func bySize(a, b VM) int {
	return cmp.Or(cmp.Compare(b.capacity(), a.capacity()), cmp.Compare(hash(b.Name, "hub"), hash(a.Name, "hub")))
}

// zoneHubs returns the hubs of a zone, at most as many as most.
func zoneHubs(zone []Candidate, most int) (hubs []VM, probe []ident.VMName) {
	total := 0.0
	for _, v := range zone {
		total += v.capacity()
	}
	slices.SortFunc(zone, func(a, b Candidate) int { return bySize(a.VM, b.VM) })
	enough := hubShare*total - rounding
	have, passed := 0.0, 0
	for _, v := range zone {
		if len(hubs) >= minHubs && have >= enough || len(hubs) >= most || passed >= maxPassed {
			break
		}
		probe = append(probe, v.Name)
		if v.Dead || v.Leaving {
			passed++
			continue
		}
		hubs, have = append(hubs, v.VM), have+v.capacity()
	}
	return hubs, probe
}
