package configcontroller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/freshness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

const (
	// gossipInterval is the interval between requests. A proof is valid for
	// freshness.MaxStaleness, 3 s, so several requests may be lost.
	gossipInterval = 500 * time.Millisecond
	// attestationAge is the age of the newest platform reading above which watchers
	// collect attestations. It is longer than two watches of watchTimeout.
	attestationAge = 1200 * time.Millisecond
	// bothWatchersAge is the age of the newest platform reading from which on a VM
	// sends requests to both watchers of its zone instead of one in turn. A reading is
	// dated by the start of its watch and is normally up to three times watchTimeout
	// old when the next request is answered.
	bothWatchersAge = 1700 * time.Millisecond
	// randomPeerCount is the number of VMs from which a VM draws the one that it sends
	// a request to in addition to its watchers. Drawing from all of 3,700 VMs would
	// open about four connections per second and keep thousands of them open until
	// the idle timeout.
	randomPeerCount = 16
	// drawsPerReplacement is the mean number of draws after which a drawn peer is
	// replaced.
	drawsPerReplacement = 80
)

// gossip sends requests to other VMs periodically: to a watcher of the zone and to a
// random VM, which helps if the watchers are disconnected.
func (c *Controller) gossip(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		c.update(c.setViewTables)
		c.sendRequests(false, c.gossipTargets()...)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) gossipTargets() []peer.Member {
	members, self := c.mesh.Members(), c.mesh.Self()
	chosen := map[ident.VMName]peer.Member{}
	choose := func(members ...peer.Member) {
		for _, member := range members {
			if member.Name != self.Name && member.State != peer.Dead {
				chosen[member.Name] = member
			}
		}
	}
	watchers := watchersOf(members, self.Zone)
	_, watcher := c.watcherRank()
	c.mu.Lock()
	c.watcherTurn++
	if len(watchers) > 0 && !watcher && c.clock.Now()-c.state.LastReading().At < bothWatchersAge {
		watchers = watchers[c.watcherTurn%len(watchers):][:1]
	}
	choose(watchers...)
	if len(members) > 0 {
		choose(c.randomPeer(members))
	}
	stale := c.clock.Now()-c.state.LastReading().At > attestationAge
	qualified := c.state.Qualified()
	c.mu.Unlock()
	switch {
	case !qualified:
		choose(members...) // requalification needs a response from every VM
	case watcher && stale:
		choose(c.zonePeers()...)
		choose(c.watchersOfOtherZones()...)
	}
	targets := make([]peer.Member, 0, len(chosen))
	for _, member := range members {
		if _, ok := chosen[member.Name]; ok {
			targets = append(targets, member)
		}
	}
	return targets
}

// randomPeer draws a VM from a small set that changes slowly. The caller holds c.mu.
func (c *Controller) randomPeer(members []peer.Member) peer.Member {
	if len(members) <= randomPeerCount {
		return members[c.random.IntN(len(members))]
	}
	name := &c.randomPeers[c.random.IntN(randomPeerCount)]
	at, known := slices.BinarySearchFunc(members, *name, func(m peer.Member, name ident.VMName) int {
		return cmp.Compare(m.Name, name)
	})
	if !known || members[at].State != peer.Alive || c.random.IntN(drawsPerReplacement) == 0 {
		at = c.random.IntN(len(members))
		*name = members[at].Name
	}
	return members[at]
}

// zoneAcknowledged returns the ballot of the known proposal and the version of the
// zone's share table, and reports whether a majority of the zone has acknowledged the
// ballot. The caller holds c.mu.
func (c *Controller) zoneAcknowledged() (ballot, uint64, bool) {
	b, self := c.proposal.ballot, c.mesh.Self()
	if b.Version <= c.state.Version() {
		return b, 0, false
	}
	table := c.state.Table(self.Zone)
	count := 0
	for _, vm := range table.VMs {
		if vm == self.Name || !b.after(c.vmAcks[vm]) {
			count++
		}
	}
	return b, table.Version, count >= freshness.Majority(len(table.VMs))
}
