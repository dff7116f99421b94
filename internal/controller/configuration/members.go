package configcontroller

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/core/freshness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// watchersPerZone is the number of VMs of a zone that watch the platform. With two,
// the failure of one does not delay updates.
const watchersPerZone = 2

// watchersOf returns the watchers of a zone: the live VMs with the highest
// rendezvous hashes. VMs with the same membership view select the same watchers.
func watchersOf(members []peer.Member, zone ident.AvailabilityZone) []peer.Member {
	var live []peer.Member
	for _, member := range members {
		if member.Zone == zone && member.State == peer.Alive {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(x, y peer.Member) int {
		return cmp.Or(cmp.Compare(rendezvous(y), rendezvous(x)), cmp.Compare(x.Name, y.Name))
	})
	return live[:min(watchersPerZone, len(live))]
}

func rendezvous(member peer.Member) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member.Zone + "/"))
	_, _ = h.Write([]byte(member.Name))
	// FNV hashes of names that differ only in the last byte have similar high bits.
	mixed := h.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}

// watcherRank returns the position of this VM among the watchers of its zone, and
// whether it is a watcher.
func (c *Controller) watcherRank() (int, bool) {
	self := c.mesh.Self()
	i := slices.IndexFunc(watchersOf(c.mesh.Members(), self.Zone), func(m peer.Member) bool { return m.Name == self.Name })
	return i, i >= 0
}

// otherWatchersOfZone returns the watchers of this VM's zone except this VM and
// exclude.
func (c *Controller) otherWatchersOfZone(exclude ident.VMName) []peer.Member {
	self := c.mesh.Self()
	return slices.DeleteFunc(watchersOf(c.mesh.Members(), self.Zone), func(m peer.Member) bool {
		return m.Name == self.Name || m.Name == exclude
	})
}

// watchersOfOtherZones returns the watchers of all other zones of the membership view.
func (c *Controller) watchersOfOtherZones() []peer.Member {
	members, own := c.mesh.Members(), c.mesh.Self().Zone
	seen := map[ident.AvailabilityZone]bool{own: true}
	var watchers []peer.Member
	for _, member := range members {
		if !seen[member.Zone] {
			seen[member.Zone] = true
			watchers = append(watchers, watchersOf(members, member.Zone)...)
		}
	}
	return watchers
}

// zonePeers returns the other VMs of this VM's zone that are not dead.
func (c *Controller) zonePeers() []peer.Member {
	self := c.mesh.Self()
	return slices.DeleteFunc(c.mesh.Members(), func(m peer.Member) bool {
		return m.Zone != self.Zone || m.Name == self.Name || m.State == peer.Dead
	})
}

// setViewTables uses the membership view as the table of every zone without a share
// table. The caller holds c.mu.
func (c *Controller) setViewTables() {
	tables := map[ident.AvailabilityZone]freshness.Table{}
	for _, member := range c.mesh.Members() {
		if member.State != peer.Dead {
			table := tables[member.Zone]
			table.VMs = append(table.VMs, member.Name)
			tables[member.Zone] = table
		}
	}
	for zone, table := range tables {
		if c.state.Table(zone).Version == 0 {
			c.state.SetTable(zone, table)
		}
	}
}
