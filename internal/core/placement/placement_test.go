package placement

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

func vms(zones map[string]int) []VM {
	var out []VM
	for zone, n := range zones {
		for i := range n {
			out = append(out, VM{ident.VMName(fmt.Sprintf("%s-%d", zone, i)), ident.AvailabilityZone(zone), ident.Region("r-" + zone)})
		}
	}
	return out
}

// Guards against upstreams without a VM, and against VMs of other zones that take
// connections while the upstream's zone has VMs of its own.
func TestNearVMs(t *testing.T) {
	all := vms(map[string]int{"a": 2, "b": 1})
	assert.Equal(t, len(Near(all, "a", "r-a")), 2)
	assert.Equal(t, len(Near(all, "c", "r-b")), 1)
	assert.Equal(t, len(Near(all, "c", "r-c")), 3)
}

// Guards against organisations that change their home when another VM leaves, which
// would close and open connections all over the fleet.
func TestRankIsStableWhenAnotherVMLeaves(t *testing.T) {
	all := vms(map[string]int{"a": 6})
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
		assert.Assert(t, n >= 25, "%s is home of %d of 300 organisations", name, n)
	}
}

// Guards against VMs that together open more connections than the upstream accepts.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	for limit := 1; limit <= 64; limit++ {
		for sharing := 1; sharing <= 10; sharing++ {
			n := Connections(limit, sharing)
			assert.Assert(t, n >= 1)
			assert.Assert(t, n*sharing <= max(limit, sharing), "limit %d, %d VMs, %d each", limit, sharing, n)
			if spare := SpareConnections(limit, sharing); limit >= 4*sharing {
				assert.Assert(t, (n+spare)*sharing <= limit, "limit %d, %d VMs, %d and %d each", limit, sharing, n, spare)
			}
		}
	}
}
