// Package catalog holds the immutable description of what callers may reach: the
// accepted configuration and the upstreams that are known to serve it.
package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Consistency is the guarantee that a route gives to its reads.
type Consistency uint8

// Consistencies of routes.
const (
	// Primary reads see every commit acknowledged before them.
	Primary Consistency = iota + 1
	// BoundedStaleness reads miss no commit older than the route's limit.
	BoundedStaleness
	// ReadYourWrites reads are bounded in staleness and see every commit of their session.
	ReadYourWrites
)

// Route is what callers name as their database.
type Route struct {
	Name        string
	Group       ident.GroupName
	Consistency Consistency
	// MaxStaleness bounds the age of the data of reads; zero on Primary routes.
	MaxStaleness time.Duration
	// StatementTimeout limits one statement.
	StatementTimeout time.Duration
	// LatencyTarget is the target for a whole operation.
	LatencyTarget time.Duration
	// Public routes need no key.
	Public bool
	// HomeRegions are the regions whose upstreams may serve the route; empty means all.
	HomeRegions []ident.Region
}

// Group is a database group.
type Group struct {
	Name ident.GroupName
	// MaxConnections is the number of connections that each upstream accepts from all
	// VMs together.
	MaxConnections int
	// SyncReplicas is the number of replicas that receive a commit before it is
	// acknowledged.
	SyncReplicas int
	// SlowStartRate is the number of requests a second that a cold upstream may get from
	// all VMs together; zero means no limit.
	SlowStartRate float64
	// SlowStartDuration is how long an upstream stays cold after it starts or its zone returns.
	SlowStartDuration time.Duration
}

// Organisation owns keys and a rate.
type Organisation struct {
	Name ident.OrganisationName
	// Rate is the number of operations a second, and Burst the number at once, over
	// all VMs.
	Rate, Burst float64
	HomeRegions []ident.Region
}

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is kept.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Catalog is one version of the accepted configuration.
type Catalog struct {
	Version       ident.ConfigurationVersion
	Routes        map[string]Route
	Groups        map[ident.GroupName]Group
	Organisations map[ident.OrganisationName]Organisation
	Keys          map[KeyHash]ident.OrganisationName
	// IdleTransactionTimeout is the time after which an idle transaction may be ended; zero
	// means no limit.
	IdleTransactionTimeout time.Duration
}

// Organisation returns the owner of a key.
func (c *Catalog) Organisation(key KeyHash) (Organisation, bool) {
	name, ok := c.Keys[key]
	if !ok {
		return Organisation{}, false
	}
	return c.Organisations[name], true
}

// UpstreamState says whether an upstream takes new work.
type UpstreamState uint8

// States of an upstream.
const (
	Ready UpstreamState = iota
	// Draining upstreams stop soon and get no new work.
	Draining
)

// Upstream is one member of a database group as it registered itself.
type Upstream struct {
	Name    ident.UpstreamName
	Group   ident.GroupName
	Address string
	Zone    ident.AvailabilityZone
	// Slots is the number of requests that it runs at once.
	Slots int
	State UpstreamState
	// Primary is the upstream's own view of its role.
	Primary bool
	// Incarnation identifies the life of the upstream's process.
	Incarnation int64 `json:"Born"`
	// SlowStart is how much longer the upstream stays slow after its start.
	SlowStart time.Duration `json:"Cold"`
	// Revision is the revision of the registration's last change.
	Revision uint64
}

// Upstreams are the registered upstreams of each group, ordered by name.
type Upstreams map[ident.GroupName][]Upstream

// RegionAllowed reports whether both lists of home regions admit the region.
func RegionAllowed(region ident.Region, route, organisation []ident.Region) bool {
	return admits(route, region) && admits(organisation, region)
}

func admits(homes []ident.Region, region ident.Region) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// Sort orders the upstreams of each group by name.
func (u Upstreams) Sort() {
	for _, members := range u {
		slices.SortFunc(members, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
}
