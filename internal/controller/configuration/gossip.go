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
	// exchangeInterval is the time between questions: a proof is valid for F = 3 s, so
	// that several questions may be lost.
	exchangeInterval = 500 * time.Millisecond
	// attestAfter is the age of the newest platform reading at which watchers start
	// to collect attestations. Two watches of watchTime fit into it.
	attestAfter = 1200 * time.Millisecond
	// bothAfter is the age of the newest platform reading at which a VM asks both
	// watchers of its zone. Younger readings need one, in turn: a reading is dated by
	// the start of its watch and is up to three times watchTime old when the next
	// question is answered.
	bothAfter = 1700 * time.Millisecond
	// randomContacts is the number of VMs among which a VM draws the one that it asks
	// beside its watchers. Asking any VM of 3,700 would open about four connections a
	// second and keep thousands of them until they are idle.
	randomContacts = 16
	// contactDraws is the mean number of questions after which a contact is replaced.
	contactDraws = 80
)

// exchange asks other VMs regularly. Every VM asks a watcher of its zone and one VM
// chosen at random, which finds a way around watchers that are cut off.
func (c *Controller) exchange(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		c.locked(c.viewTables)
		c.ask(false, c.targets()...)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) targets() []peer.Member {
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
	_, watcher := c.rank()
	c.mu.Lock()
	c.turn++
	if len(watchers) > 0 && !watcher && c.clock.Now()-c.core.LastReading().At < bothAfter {
		watchers = watchers[c.turn%len(watchers):][:1]
	}
	choose(watchers...)
	if len(members) > 0 {
		choose(c.contact(members))
	}
	stale := c.clock.Now()-c.core.LastReading().At > attestAfter
	qualified := c.core.Qualified()
	c.mu.Unlock()
	switch {
	case !qualified:
		choose(members...) // the restart rule needs an answer of every VM
	case watcher && stale:
		choose(c.ownZone()...)
		choose(c.otherWatchers()...)
	}
	targets := make([]peer.Member, 0, len(chosen))
	for _, member := range members {
		if _, ok := chosen[member.Name]; ok {
			targets = append(targets, member)
		}
	}
	return targets
}

// contact draws the VM to ask among a few that change slowly. The caller holds the lock.
func (c *Controller) contact(members []peer.Member) peer.Member {
	if len(members) <= randomContacts {
		return members[c.random.IntN(len(members))]
	}
	name := &c.contacts[c.random.IntN(randomContacts)]
	at, known := slices.BinarySearchFunc(members, *name, func(m peer.Member, name ident.VMName) int {
		return cmp.Compare(m.Name, name)
	})
	if !known || members[at].State != peer.Alive || c.random.IntN(contactDraws) == 0 {
		at = c.random.IntN(len(members))
		*name = members[at].Name
	}
	return members[at]
}

// acknowledged reports whether a majority of the own zone has acknowledged the
// known proposal. The caller holds the lock.
func (c *Controller) acknowledged() (ballot, uint64, bool) {
	b, self := c.known.ballot, c.mesh.Self()
	if b.Version <= c.core.Version() {
		return b, 0, false
	}
	table := c.core.Table(self.Zone)
	count := 0
	for _, vm := range table.VMs {
		if vm == self.Name || !b.after(c.acks[vm]) {
			count++
		}
	}
	return b, table.Version, count >= freshness.Majority(len(table.VMs))
}
