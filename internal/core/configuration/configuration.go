package configuration

import (
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Configuration is one version of the configuration of the whole fleet. It is
// immutable; applying a note creates a new one.
type Configuration struct {
	Version       ident.ConfigurationVersion              `json:"version"`
	Organisations map[ident.OrganisationName]Organisation `json:"organisations"`
	Zones         map[ident.AvailabilityZone]Zone         `json:"zones"`
	Databases     map[ident.GroupName]Database            `json:"databases"`
}

// Organisation is a tenant.
type Organisation struct {
	// Rate limits the statements per second.
	Rate float64 `json:"rate"`
	// Burst is the number of statements by which the organisation may exceed its
	// rate at once.
	Burst float64 `json:"burst"`
	// Weight is the relative weight of the organisation in fair queues.
	Weight int `json:"weight"`
	// Databases lists the databases that the organisation may use.
	Databases []ident.GroupName `json:"databases"`
	// Keys maps the name of a key to its hexadecimal SHA-256 hash.
	Keys map[string]string `json:"keys"`
}

// ZoneState determines whether an availability zone accepts new work.
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
	// Weight determines the zone's share of the rate of every organisation.
	Weight int `json:"weight"`
}

// Database is a database group with its upstreams.
type Database struct {
	// Open is true if clients need no key.
	Open      bool                            `json:"open"`
	Upstreams map[ident.UpstreamName]Upstream `json:"upstreams"`
}

// UpstreamState determines whether an upstream accepts new work.
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
	// Slots limits the requests that run concurrently on the upstream.
	Slots int `json:"slots"`
	// Connections limits the connections to the upstream.
	Connections int           `json:"connections"`
	State       UpstreamState `json:"state"`
}
