package groupcontroller

import (
	"cmp"
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/routing"
)

// membersOf returns the members of a database, sorted by name.
func membersOf(conf *configuration.Configuration, database configuration.Database) []routing.Member {
	members := make([]routing.Member, 0, len(database.Upstreams))
	for name, u := range database.Upstreams {
		zone := conf.Zones[u.Zone]
		members = append(members, routing.Member{
			Upstream: name, Zone: u.Zone, Region: zone.Region,
			Address: u.Address, Agent: u.Agent, Slots: u.Slots, Connections: u.Connections,
			Usable: u.State != configuration.UpstreamLeaving && zone.State != configuration.ZoneOutOfService,
		})
	}
	slices.SortFunc(members, func(a, b routing.Member) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return members
}
