// Package catalog defines the immutable description of what clients may access: the
// accepted configuration and the upstreams known to serve it.
package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Consistency is the guarantee that a route provides for reads.
type Consistency uint8

// Consistency levels.
const (
	// Primary reads see every commit acknowledged before the read started.
	Primary Consistency = iota + 1
	// BoundedStaleness reads see every commit older than the route's MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads have bounded staleness and see every commit of their session.
	ReadYourWrites
)

// Route is a database name that clients connect to.
type Route struct {
	Name        string
	Group       ident.GroupName
	Consistency Consistency
	// MaxStaleness is the maximum age of the data that a read returns; zero for Primary
	// routes.
	MaxStaleness time.Duration
	// StatementTimeout limits the execution of one statement.
	StatementTimeout time.Duration
	// LatencyTarget is the latency target for a whole operation.
	LatencyTarget time.Duration
	// Priority orders the routes when a resource is scarce; 0 is the highest.
	Priority int
	// Public routes require no key.
	Public bool
	// HomeRegions are the regions whose upstreams may serve the route; empty means all
	// regions.
	HomeRegions []ident.Region
}

// Group is a database group.
type Group struct {
	Name ident.GroupName
	// MaxConnections is the number of connections that each upstream accepts from all
	// VMs combined.
	MaxConnections int
	// SyncReplicas is the number of replicas that must receive a commit before it is
	// acknowledged.
	SyncReplicas int
	// SlowStartRate is the number of requests per second that an upstream in slow start
	// may receive from all VMs combined; zero means no limit.
	SlowStartRate float64
	// SlowStartDuration is the length of slow start after an upstream starts or after
	// its zone is back in service.
	SlowStartDuration time.Duration
}

// Organisation is a tenant with its own keys and rate limit.
type Organisation struct {
	Name ident.OrganisationName
	// Rate is the number of operations per second and Burst the number of operations at
	// once, each over all VMs.
	Rate, Burst float64
	HomeRegions []ident.Region
}

// KeyHash is the SHA-256 hash of a client's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash by which a key is stored.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Catalog is one version of the accepted configuration.
type Catalog struct {
	Version       ident.ConfigurationVersion
	Routes        map[string]Route
	Groups        map[ident.GroupName]Group
	Organisations map[ident.OrganisationName]Organisation
	Keys          map[KeyHash]ident.OrganisationName
	// Rejected holds an error for each entry of the configuration that is left out, with the
	// place of the entry. No error holds a key.
	Rejected []error
	// IdleTransactionTimeout is the time after which an idle transaction may be aborted;
	// zero means no limit.
	IdleTransactionTimeout time.Duration
}

// Organisation returns the organisation that owns a key.
func (c *Catalog) Organisation(key KeyHash) (Organisation, bool) {
	name, ok := c.Keys[key]
	if !ok {
		return Organisation{}, false
	}
	return c.Organisations[name], true
}

// UpstreamState indicates whether an upstream accepts new work.
type UpstreamState uint8

// States of an upstream.
const (
	Ready UpstreamState = iota
	// Draining upstreams are about to stop and receive no new work.
	Draining
)

// Upstream is a member of a database group as described by its registration.
type Upstream struct {
	Name    ident.UpstreamName
	Group   ident.GroupName
	Address string
	Zone    ident.AvailabilityZone
	// Slots is the number of requests that the upstream executes concurrently.
	Slots int
	State UpstreamState
	// Primary is set if the upstream considers itself the primary of its group.
	Primary bool
	// Incarnation identifies a run of the upstream's process.
	Incarnation int64 `json:"Born"`
	// SlowStart is the remaining time of the upstream's slow start.
	SlowStart time.Duration `json:"Cold"`
	// Revision is the revision of the registration's last change.
	Revision uint64
}

// Upstreams holds the registered upstreams of each group, ordered by name.
type Upstreams map[ident.GroupName][]Upstream

// RegionAllowed reports whether both lists of home regions include the region. An empty
// list includes all regions.
func RegionAllowed(region ident.Region, route, organisation []ident.Region) bool {
	return includesRegion(route, region) && includesRegion(organisation, region)
}

func includesRegion(homes []ident.Region, region ident.Region) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Sort orders the upstreams of each group by name.
func (u Upstreams) Sort() {
	for _, members := range u {
		slices.SortFunc(members, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
}
