package ident

import "fmt"

// OrganisationName identifies a tenant.
type OrganisationName string

// AvailabilityZone identifies an availability zone.
type AvailabilityZone string

// Region identifies a region, which contains one or more availability zones.
type Region string

// VMName identifies an entry VM. It does not change when the VM restarts.
type VMName string

// GroupName identifies a database group: one primary and its replicas. Clients
// use it as the database name.
type GroupName string

// UpstreamName identifies a member of a database group. It is unique within the group.
type UpstreamName string

// Incarnation distinguishes successive runs of a process. It increases with each
// restart.
type Incarnation uint64

// ConfigurationVersion is the number of an accepted configuration. Zero means none.
type ConfigurationVersion uint64

// Term is the number of a primary of a group. Each new primary has a higher term.
type Term uint64

// Position is an offset in the log of a group, counted in entries.
type Position uint64

// LogPoint identifies a log entry by the term in which it was written and its
// position. Log points are ordered by term, then by position.
type LogPoint struct {
	Term     Term     `json:"term" cbor:"1,keyasint"`
	Position Position `json:"position" cbor:"2,keyasint"`
}

// Compare returns -1 if p is before q, 0 if they are equal and +1 if p is after q.
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
// at q. The log of a higher term starts with all acknowledged entries of lower terms.
func (p LogPoint) AtLeast(q LogPoint) bool { return p.Compare(q) >= 0 }

// IsZero reports whether p is the zero value, which identifies no entry.
func (p LogPoint) IsZero() bool { return p == LogPoint{} }

// String formats the point as term/position.
func (p LogPoint) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Position) }
