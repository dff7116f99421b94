package placement

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// zoneCandidates returns live candidates of one zone with the given capacities.
func zoneCandidates(cores ...float64) []Candidate {
	var out []Candidate
	for i, v := range newVMs(map[string]int{"a": len(cores)}) {
		v.Cores = cores[i]
		out = append(out, Candidate{VM: v})
	}
	return out
}

func vmNames(vms []VM) []ident.VMName {
	var out []ident.VMName
	for _, v := range vms {
		out = append(out, v.Name)
	}
	return out
}

// Guards against small VMs that become hubs while there are larger ones, and against
// hubs whose total capacity is too small for the work of their zone.
func TestHubsAreTheLargestVMs(t *testing.T) {
	hubs, _ := Hubs(zoneCandidates(0.2, 0.8, 0.2, 0.2, 0.8, 0.2, 0.2, 0.2, 0.2, 0.2))
	assert.Equal(t, len(hubs), minHubsPerZone)
	assert.Assert(t, slices.Contains(vmNames(hubs), "a-1") && slices.Contains(vmNames(hubs), "a-4"))
	hubs, _ = Hubs(zoneCandidates(slices.Repeat([]float64{0.1}, 20)...))
	assert.Equal(t, len(hubs), 8, "hubs of a zone with 20 equal VMs")
}

// Guards against a number of hubs that grows with the fleet, since every VM probes
// every hub.
func TestHubsAreBounded(t *testing.T) {
	var all []Candidate
	for _, v := range newVMs(map[string]int{"a": 50, "b": 50, "c": 50, "d": 50, "e": 50, "f": 50}) {
		all = append(all, Candidate{VM: v})
	}
	hubs, _ := Hubs(all)
	assert.Assert(t, len(hubs) <= maxHubs && len(hubs) >= 6*minHubsPerZone, "%d hubs", len(hubs))
	all = nil
	zones := map[string]int{}
	for i := range 24 {
		zones[string(rune('a'+i))] = 10
	}
	for _, v := range newVMs(zones) {
		all = append(all, Candidate{VM: v})
	}
	hubs, _ = Hubs(all)
	assert.Equal(t, len(hubs), 24*minHubsPerZone)
}

// Guards against every VM probing every other VM, and against dead hubs whose recovery
// is not detected.
func TestProbeTargets(t *testing.T) {
	all := zoneCandidates(0.8, 0.8, 0.4, 0.4, 0.4, 0.2, 0.2, 0.2)
	hubs, probe := Hubs(all)
	assert.DeepEqual(t, probe, vmNames(hubs))
	all[0].Dead, all[1].Leaving = true, true
	hubs, probe = Hubs(all)
	assert.Assert(t, !slices.Contains(vmNames(hubs), "a-0") && !slices.Contains(vmNames(hubs), "a-1"))
	assert.Assert(t, slices.Contains(probe, "a-0") && slices.Contains(probe, "a-1"))
	for i := range all {
		all[i].Dead = true
	}
	hubs, probe = Hubs(all)
	assert.Equal(t, len(hubs), 0)
	assert.Equal(t, len(probe), maxSkippedVMs)
}

// Guards against zones that have live VMs but no hubs, and against VMs that choose
// different hubs from the same information.
func TestEveryZoneHasHubs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Candidate
		alive := map[ident.AvailabilityZone]int{}
		dead := map[ident.AvailabilityZone]int{}
		for name, n := range map[string]int{"a": rapid.IntRange(1, 9).Draw(t, "a"), "b": rapid.IntRange(1, 9).Draw(t, "b")} {
			for _, v := range newVMs(map[string]int{name: n}) {
				v.Cores = float64(rapid.IntRange(0, 3).Draw(t, "cores"))
				c := Candidate{VM: v, Dead: rapid.Bool().Draw(t, "dead")}
				if c.Dead {
					dead[v.Zone]++
				} else {
					alive[v.Zone]++
				}
				all = append(all, c)
			}
		}
		hubs, _ := Hubs(all)
		for zone, n := range alive {
			found := len(Nearest(hubs, zone, "none"))
			if dead[zone] < maxSkippedVMs && (found == 0 || found < min(n, minHubsPerZone)) {
				t.Fatalf("zone %s: %d hubs of %d live VMs", zone, found, n)
			}
		}
		shuffled := rapid.Permutation(all).Draw(t, "order")
		again, _ := Hubs(shuffled)
		assert.DeepEqual(t, vmNames(hubs), vmNames(again))
	})
}

// Guards against rates that are split into shares of less than one operation, and
// against so few holders that the loss of one is significant.
func TestRateHolders(t *testing.T) {
	count := func(zones map[string]int) int { return len(RateHolders(newVMs(zones))) }
	assert.Equal(t, count(map[string]int{"a": 3, "b": 3, "c": 3, "d": 3, "e": 3, "f": 3}), 6)
	assert.Equal(t, count(map[string]int{"a": 3, "b": 2, "c": 2}), 6)
	assert.Equal(t, count(map[string]int{"a": 12}), 6)
	assert.Equal(t, count(map[string]int{"a": 1, "b": 1}), 2)
	assert.Equal(t, count(nil), 0)
}
