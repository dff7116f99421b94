package placement

import (
	"cmp"
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// hubCapacityFraction is the minimum fraction of a zone's processor capacity that
	// its hubs must provide. Executing statements for other VMs takes less than half of
	// a VM's work.
	hubCapacityFraction = 0.4
	// minHubsPerZone is the minimum number of hubs in a zone. With three, losing one hub
	// moves a third of the zone's work, and after a second loss one hub remains while
	// another VM becomes a hub.
	minHubsPerZone = 3
	// maxHubs limits the hubs of all zones together, except that each zone may have
	// minHubsPerZone. Every VM probes every hub: 26 probes per second in six zones at
	// the intervals of internal/controller/peers and a time to apply of 5 s.
	maxHubs = 40
	// maxSkippedVMs is the number of dead or leaving VMs of a zone that are skipped in
	// the search for live hubs. A zone with more dead VMs is probably partitioned, and
	// probing all of its VMs would not detect its recovery sooner.
	maxSkippedVMs = 6
	// roundingTolerance covers floating-point summation errors, in cores.
	roundingTolerance = 1e-6
)

// Candidate is a VM of the fleet with its known health.
type Candidate struct {
	VM
	// Dead is set if the VM does not respond to probes. A VM that was not probed is not
	// dead.
	Dead bool
	// Leaving is set if the VM is shutting down.
	Leaving bool
}

// Hubs returns the VMs to use as hubs, and the VMs to probe: the hubs and the VMs that
// would be hubs if they were not dead or leaving.
func Hubs(vms []Candidate) (hubs []VM, probe []ident.VMName) {
	zones := map[ident.AvailabilityZone][]Candidate{}
	for _, v := range vms {
		zones[v.Zone] = append(zones[v.Zone], v)
	}
	perZoneLimit := max(minHubsPerZone, maxHubs/max(1, len(zones)))
	for _, zone := range zones {
		h, p := selectZoneHubs(zone, perZoneLimit)
		hubs, probe = append(hubs, h...), append(probe, p...)
	}
	slices.SortFunc(hubs, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(probe)
	return hubs, probe
}

// minRateHolders is the minimum number of VMs that hold shares of the rates, if there
// are as many hubs. The shares of a VM that dies are unusable for half a minute; with
// six holders, organisations keep five sixths of their rates meanwhile.
const minRateHolders = 6

// RateHolders returns the hubs that hold shares of the rates: an equal number per zone
// and no more than needed for minRateHolders. An organisation's burst is unusable if it
// is split into shares of less than one operation.
func RateHolders(hubs []VM) []VM {
	zones := map[ident.AvailabilityZone][]VM{}
	for _, v := range hubs {
		zones[v.Zone] = append(zones[v.Zone], v)
	}
	var out []VM
	if len(zones) == 0 {
		return out
	}
	perZone := (minRateHolders + len(zones) - 1) / len(zones)
	for _, zone := range zones {
		slices.SortFunc(zone, compareByCapacity)
		out = append(out, zone[:min(perZone, len(zone))]...)
	}
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// compareByCapacity orders VMs by descending capacity, with ties broken by hash.
func compareByCapacity(a, b VM) int {
	return cmp.Or(cmp.Compare(b.capacity(), a.capacity()), cmp.Compare(hash(b.Name, "hub"), hash(a.Name, "hub")))
}

// selectZoneHubs returns up to limit hubs of a zone, and the VMs of the zone to probe.
func selectZoneHubs(zone []Candidate, limit int) (hubs []VM, probe []ident.VMName) {
	total := 0.0
	for _, v := range zone {
		total += v.capacity()
	}
	slices.SortFunc(zone, func(a, b Candidate) int { return compareByCapacity(a.VM, b.VM) })
	target := hubCapacityFraction*total - roundingTolerance
	selected, skipped := 0.0, 0
	for _, v := range zone {
		if len(hubs) >= minHubsPerZone && selected >= target || len(hubs) >= limit || skipped >= maxSkippedVMs {
			break
		}
		probe = append(probe, v.Name)
		if v.Dead || v.Leaving {
			skipped++
			continue
		}
		hubs, selected = append(hubs, v.VM), selected+v.capacity()
	}
	return hubs, probe
}
