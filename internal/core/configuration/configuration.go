package configuration

import (
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Configuration is one accepted state of the whole fleet. It is never changed
// after it was built; an accepted note yields a new one.
type Configuration struct {
	Version       ident.ConfigurationVersion              `json:"version"`
	Organisations map[ident.OrganisationName]Organisation `json:"organisations"`
	Zones         map[ident.AvailabilityZone]Zone         `json:"zones"`
	Databases     map[ident.GroupName]Database            `json:"databases"`
}

// Organisation is a tenant.
type Organisation struct {
	// Rate is the number of statements per second that the organisation may run.
	Rate float64 `json:"rate"`
	// Burst is the number of statements that may run at once above the rate.
	Burst float64 `json:"burst"`
	// Weight is the organisation's share in fair queues.
	Weight int `json:"weight"`
	// Databases lists the databases that the organisation may use.
	Databases []ident.GroupName `json:"databases"`
	// Keys maps the name of a key to the hexadecimal SHA-256 of the key.
	Keys map[string]string `json:"keys"`
}

// ZoneState says whether an availability zone takes new work.
type ZoneState string

// States of an availability zone.
const (
	ZoneInService    ZoneState = "in"
	ZoneOutOfService ZoneState = "out"
)

// Zone is an availability zone.
type Zone struct {
	Region ident.Region `json:"region"`
	State  ZoneState    `json:"state"`
	// Weight is the zone's part in the rates of every organisation.
	Weight int `json:"weight"`
}

// Database is a database group with its upstreams.
type Database struct {
	// Open databases need no key.
	Open      bool                            `json:"open"`
	Upstreams map[ident.UpstreamName]Upstream `json:"upstreams"`
}

// UpstreamState says whether an upstream takes new work.
type UpstreamState string

// States of an upstream.
const (
	UpstreamInService UpstreamState = "in"
	UpstreamLeaving   UpstreamState = "leaving"
)

// Upstream is one member of a database group.
type Upstream struct {
	Zone ident.AvailabilityZone `json:"zone"`
	// Address is the PostgreSQL address, IP:port.
	Address string `json:"address"`
	// Agent is the address of the member agent, IP:port.
	Agent string `json:"agent"`
	// Slots is the number of requests that the upstream runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the upstream accepts.
	Connections int           `json:"connections"`
	State       UpstreamState `json:"state"`
}
