package fleet

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/entry"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/settings"
)

// Zone is an availability zone of the installation.
type Zone struct {
	Name   ident.AvailabilityZone
	Region ident.Region
	// VMs is the number of entry VMs in the zone.
	VMs int
}

// Organisation is a tenant of the first release note.
type Organisation struct {
	Name        ident.OrganisationName
	Rate, Burst float64 // statements per second, statements
	Weight      int
}

// Config describes an installation.
type Config struct {
	Zones         []Zone
	Databases     []ident.GroupName
	Organisations []Organisation
	// Slots and Connections are the limits of one upstream.
	Slots, Connections int
	// ConnectDelay is the cost of a new upstream connection.
	ConnectDelay time.Duration
	// ShipDelay and Lag delay replication: until received, and until applied.
	ShipDelay, Lag time.Duration
	// ZoneLatency and RegionLatency are one-way latencies between zones of one region
	// and between regions; they apply to messages between VMs and to upstreams.
	ZoneLatency, RegionLatency time.Duration
	// CallerAddresses are the listening addresses of the first VMs; others use free ports.
	CallerAddresses []string
	// Seed makes random choices repeatable.
	Seed uint64
	// Baseline replaces parts of all VMs for measurements.
	Baseline entry.Baseline
	// Adjust changes the settings of each VM before its first start; nil changes nothing.
	Adjust func(*settings.Settings)
	Log    zerolog.Logger
}

const (
	upstreamUser     = "rosemarywall"
	upstreamPassword = "upstream-password"
)

// Testeno returns an installation of three zones in three regions with three
// databases, as the design page describes it.
func Testeno() Config {
	return Config{
		Zones: []Zone{
			{Name: "plovdiv-a", Region: "bg-south", VMs: 3},
			{Name: "ruse-a", Region: "bg-north", VMs: 3},
			{Name: "constanta-a", Region: "ro-east", VMs: 2},
		},
		Databases: []ident.GroupName{"deckbook-1", "deckbook-2", "deckbook-3"},
		Organisations: []Organisation{
			{"print-shop-north", 400, 800, 4}, {"print-shop-south", 400, 800, 4}, {"cardhouse", 200, 400, 2},
			{"designer-one", 50, 100, 1}, {"designer-two", 50, 100, 1}, {"tabletop-guild", 50, 100, 1},
			{"floor-tablets", 100, 200, 2}, {"sequencer", 100, 200, 2},
		},
		Slots: 2, Connections: 16, ConnectDelay: 12 * time.Millisecond,
		ZoneLatency: 1500 * time.Microsecond, RegionLatency: 12 * time.Millisecond,
		ShipDelay: time.Millisecond, Lag: 5 * time.Millisecond,
	}
}

// LoneStar returns an installation of three zones in three regions with three
// databases, as the design page describes it.
func LoneStar() Config {
	return Config{
		Zones: []Zone{
			{Name: "dfw-irving", Region: "tx-north", VMs: 3},
			{Name: "hou-pasadena", Region: "tx-east", VMs: 3},
			{Name: "sat-schertz", Region: "tx-south", VMs: 2},
		},
		Databases: []ident.GroupName{"refill-orders-1", "refill-orders-2", "refill-orders-3"},
		Organisations: []Organisation{
			{"lone-star", 600, 1200, 4}, {"bluebonnet", 400, 800, 4}, {"pecos-light", 300, 600, 2}, {"gulf-taper", 300, 600, 2},
			{"drivers", 100, 200, 1}, {"reconciliation", 100, 200, 1}, {"counter", 100, 200, 1}, {"web-orders", 100, 200, 1},
		},
		Slots: 5, Connections: 55, ConnectDelay: 25 * time.Millisecond,
		ZoneLatency: time.Millisecond, RegionLatency: 8 * time.Millisecond,
		ShipDelay: time.Millisecond, Lag: 5 * time.Millisecond,
	}
}
