package placement

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// zone returns candidates of one zone with the given capacities, all alive.
func zone(cores ...float64) []Candidate {
	var out []Candidate
	for i, v := range vms(map[string]int{"a": len(cores)}) {
		v.Cores = cores[i]
		out = append(out, Candidate{VM: v})
	}
	return out
}

func names(vms []VM) []ident.VMName {
	var out []ident.VMName
	for _, v := range vms {
		out = append(out, v.Name)
	}
	return out
}

// Guards against small VMs as hubs while there are large ones, and against hubs that
// are too small for the work of their zone.
func TestHubsAreTheLargestVMs(t *testing.T) {
	hubs, _ := Hubs(zone(0.2, 0.8, 0.2, 0.2, 0.8, 0.2, 0.2, 0.2, 0.2, 0.2))
	assert.Equal(t, len(hubs), minHubs)
	assert.Assert(t, slices.Contains(names(hubs), "a-1") && slices.Contains(names(hubs), "a-4"))
	hubs, _ = Hubs(zone(slices.Repeat([]float64{0.1}, 20)...))
	assert.Equal(t, len(hubs), 8, "equal VMs share the work among more of them")
}

// Guards against hubs whose number grows with the fleet, all of which every VM probes.
func TestHubsAreBounded(t *testing.T) {
	var all []Candidate
	for _, v := range vms(map[string]int{"a": 50, "b": 50, "c": 50, "d": 50, "e": 50, "f": 50}) {
		all = append(all, Candidate{VM: v})
	}
	hubs, _ := Hubs(all)
	assert.Assert(t, len(hubs) <= maxHubs && len(hubs) >= 6*minHubs, "%d hubs", len(hubs))
	all = nil
	zones := map[string]int{}
	for i := range 24 {
		zones[string(rune('a'+i))] = 10
	}
	for _, v := range vms(zones) {
		all = append(all, Candidate{VM: v})
	}
	hubs, _ = Hubs(all)
	assert.Equal(t, len(hubs), 24*minHubs)
}

// Guards against probes of every VM by every other one, and against dead hubs whose
// return nobody notices.
func TestProbedVMs(t *testing.T) {
	all := zone(0.8, 0.8, 0.4, 0.4, 0.4, 0.2, 0.2, 0.2)
	hubs, probe := Hubs(all)
	assert.DeepEqual(t, probe, names(hubs))
	all[0].Dead, all[1].Leaving = true, true
	hubs, probe = Hubs(all)
	assert.Assert(t, !slices.Contains(names(hubs), "a-0") && !slices.Contains(names(hubs), "a-1"))
	assert.Assert(t, slices.Contains(probe, "a-0") && slices.Contains(probe, "a-1"))
	for i := range all {
		all[i].Dead = true
	}
	hubs, probe = Hubs(all)
	assert.Equal(t, len(hubs), 0)
	assert.Equal(t, len(probe), maxPassed)
}

// Guards against zones without hubs although VMs live, and against VMs that disagree
// about the hubs while they know the same.
func TestEveryZoneHasHubs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Candidate
		alive := map[ident.AvailabilityZone]int{}
		dead := map[ident.AvailabilityZone]int{}
		for name, n := range map[string]int{"a": rapid.IntRange(1, 9).Draw(t, "a"), "b": rapid.IntRange(1, 9).Draw(t, "b")} {
			for _, v := range vms(map[string]int{name: n}) {
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
			if dead[zone] < maxPassed && (found == 0 || found < min(n, minHubs)) {
				t.Fatalf("zone %s: %d hubs of %d live VMs", zone, found, n)
			}
		}
		shuffled := rapid.Permutation(all).Draw(t, "order")
		again, _ := Hubs(shuffled)
		assert.DeepEqual(t, names(hubs), names(again))
	})
}

// Guards against rates that are split into less than single operations, and against
// so few holders that the loss of one matters.
func TestRateHolders(t *testing.T) {
	count := func(zones map[string]int) int { return len(RateHolders(vms(zones))) }
	assert.Equal(t, count(map[string]int{"a": 3, "b": 3, "c": 3, "d": 3, "e": 3, "f": 3}), 6)
	assert.Equal(t, count(map[string]int{"a": 3, "b": 2, "c": 2}), 6)
	assert.Equal(t, count(map[string]int{"a": 12}), 6)
	assert.Equal(t, count(map[string]int{"a": 1, "b": 1}), 2)
	assert.Equal(t, count(nil), 0)
}
