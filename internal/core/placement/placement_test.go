package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

func newVMs(zones map[string]int) []VM {
	var out []VM
	for zone, n := range zones {
		for i := range n {
			out = append(out, VM{Name: ident.VMName(fmt.Sprintf("%s-%d", zone, i)), Zone: ident.AvailabilityZone(zone), Region: ident.Region("r-" + zone)})
		}
	}
	return out
}

// Guards against upstreams to which no VM may connect, and against VMs of other zones
// that take connections while the upstream's zone has VMs of its own.
func TestNearest(t *testing.T) {
	all := newVMs(map[string]int{"a": 2, "b": 1})
	assert.Equal(t, len(Nearest(all, "a", "r-a")), 2)
	assert.Equal(t, len(Nearest(all, "c", "r-b")), 1)
	assert.Equal(t, len(Nearest(all, "c", "r-c")), 3)
}

// Guards against organisations whose home hub changes when another VM leaves, which
// would close and reopen connections throughout the fleet.
func TestRankIsStableWhenAnotherVMLeaves(t *testing.T) {
	all := newVMs(map[string]int{"a": 6})
	homes := map[ident.VMName]int{}
	for i := range 300 {
		key := fmt.Sprintf("organisation-%d", i)
		ranked := Rank(all, key)
		homes[ranked[0].Name]++
		last := ranked[len(ranked)-1].Name
		var rest []VM
		for _, v := range all {
			if v.Name != last {
				rest = append(rest, v)
			}
		}
		assert.DeepEqual(t, Rank(rest, key), ranked[:len(ranked)-1])
	}
	for name, n := range homes {
		assert.Assert(t, n >= 25, "%s is the home hub of %d of 300 organisations", name, n)
	}
}

// Guards against small VMs that get as much work as large ones.
func TestRankFollowsCapacity(t *testing.T) {
	all := newVMs(map[string]int{"a": 3})
	all[0].Cores, all[1].Cores, all[2].Cores = 0.8, 0.8, 0.2
	first := map[ident.VMName]int{}
	for i := range 3000 {
		first[Rank(all, fmt.Sprintf("key-%d", i))[0].Name]++
	}
	small := first[all[2].Name]
	assert.Assert(t, small > 200 && small < 500, "the small VM ranks first for %d of 3000 keys", small)
}

// Guards against VMs outside the list that act as if they ranked first.
func TestRankOfUnlistedVM(t *testing.T) {
	all := newVMs(map[string]int{"a": 3})
	assert.Equal(t, RankOf(all, "key", "other"), 3)
	assert.Equal(t, RankOf(all, "key", Rank(all, "key")[1].Name), 1)
	assert.Equal(t, RankOf(nil, "key", "other"), 0)
}

// Guards against connection limits of VMs whose sum exceeds what the upstream accepts.
func TestConnectionLimitsStayWithinUpstreamLimit(t *testing.T) {
	for limit := 1; limit <= 64; limit++ {
		for sharing := 1; sharing <= 10; sharing++ {
			all := newVMs(map[string]int{"a": sharing})
			all[0].Cores = 4
			sum := 0
			for _, v := range all {
				n := ConnectionLimit(limit, all, v.Name)
				assert.Assert(t, n >= 1)
				sum += n
			}
			assert.Assert(t, sum <= max(limit, sharing), "limit %d, %d VMs, %d in total", limit, sharing, sum)
			if spare := SpareConnectionLimit(limit, sharing); limit >= 4*sharing {
				assert.Assert(t, sum+spare*sharing <= limit, "limit %d, %d VMs, %d in total, %d spare each", limit, sharing, sum, spare)
			}
		}
	}
	assert.Equal(t, ConnectionLimit(16, newVMs(map[string]int{"a": 2}), "other"), 0)
}

// Guards against VMs that together open many more connections concurrently than the
// upstream has slots, and against a VM that may open none.
func TestDialLimitSharesSlots(t *testing.T) {
	near := []VM{{Name: "a", Cores: 0.8}, {Name: "b", Cores: 0.8}, {Name: "c", Cores: 0.2}}
	assert.Equal(t, DialLimit(12, near, "a"), 5)
	assert.Equal(t, DialLimit(12, near, "c"), minDials)
	assert.Equal(t, DialLimit(12, near, "elsewhere"), minDials)
	assert.Equal(t, DialLimit(0, nil, "a"), minDials)
}
