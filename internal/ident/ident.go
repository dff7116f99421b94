package ident

import "fmt"

// OrganisationName identifies a tenant.
type OrganisationName string

// AvailabilityZone identifies an availability zone.
type AvailabilityZone string

// Region identifies a region, which contains one or more availability zones.
type Region string

// VMName identifies an entry VM across restarts.
type VMName string

// GroupName identifies a database group: one primary and its replicas. Callers
// use it as the database name.
type GroupName string

// UpstreamName identifies one member of a database group within its group.
type UpstreamName string

// Incarnation distinguishes successive lives of a process; a restart has a
// higher incarnation.
type Incarnation uint64

// ConfigurationVersion numbers accepted configurations; zero means none.
type ConfigurationVersion uint64

// Term numbers the primaries of a group.
type Term uint64

// Position is an offset in the log of a group, in entries.
type Position uint64

// LogPoint identifies a log entry by the term in which it was written and its
// position. Points order by term first, then by position.
type LogPoint struct {
	Term     Term     `json:"term" cbor:"1,keyasint"`
	Position Position `json:"position" cbor:"2,keyasint"`
}

// Compare returns -1, 0 or +1 when p is before, equal to or after q.
func (p LogPoint) Compare(q LogPoint) int {
	switch {
	case p.Term < q.Term:
		return -1
	case p.Term > q.Term:
		return 1
	case p.Position < q.Position:
		return -1
	case p.Position > q.Position:
		return 1
	}
	return 0
}

// AtLeast reports whether a log that ends at p contains the acknowledged entry
// at q. A higher term begins with every acknowledged entry of the lower ones.
func (p LogPoint) AtLeast(q LogPoint) bool { return p.Compare(q) >= 0 }

// IsZero reports whether p names no entry.
func (p LogPoint) IsZero() bool { return p == LogPoint{} }

// String formats the point as term/position.
func (p LogPoint) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Position) }
