package routing

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/balance"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Location is where the VM that selects an upstream runs.
type Location struct {
	Zone   ident.AvailabilityZone
	Region ident.Region
}

// OutstandingRequests returns the number of requests from this VM that are in
// progress on an upstream.
type OutstandingRequests func(ident.GroupName, ident.UpstreamName) int

// Requirement is what the last status of a replica must prove before a read may be
// sent to it.
type Requirement struct {
	// MinApplied is the log point that the replica must have applied.
	MinApplied ident.LogPoint
	// MaxAge, when positive, is the maximum age of the replica's state.
	MaxAge time.Duration
}

// Satisfies reports whether the member's last status meets the requirement at now.
func (o *Observation) Satisfies(requirement Requirement, now time.Duration) bool {
	if !o.Known || o.Down || !o.Status.Applied.AtLeast(requirement.MinApplied) {
		return false
	}
	if requirement.MaxAge <= 0 {
		return true
	}
	lag := o.Status.LagMilliseconds
	if lag < 0 || lag > requirement.MaxAge.Milliseconds() {
		return false
	}
	return time.Duration(lag)*time.Millisecond+(now-o.ReceivedAt) <= requirement.MaxAge
}

// SelectReplica returns the index of the best replica that meets the requirement, or
// -1. It prefers replicas in the same zone, then in the same region, then those with
// the fewest outstanding requests. Ties go to the first replica from position rotation
// on, so a caller that increments rotation spreads the load over equal replicas.
func (v *View) SelectReplica(requirement Requirement, location Location, outstanding OutstandingRequests, rotation uint64, now time.Duration) int {
	best, bestDistance, bestLoad := -1, 0, 0
	n := len(v.Members)
	if n == 0 {
		return -1
	}
	first := int(rotation % uint64(n))
	for k := range n {
		i := (first + k) % n
		if !v.replicaUsable(i) || !v.Observations[i].Satisfies(requirement, now) {
			continue
		}
		distance, load := v.distance(i, location), 0
		if outstanding != nil {
			load = outstanding(v.Group, v.Members[i].Upstream)
		}
		if best < 0 || distance < bestDistance || distance == bestDistance && load < bestLoad {
			best, bestDistance, bestLoad = i, distance, load
		}
	}
	return best
}

// replicaUsable excludes every member that last reported the primary role, because
// the age of a former primary's state has no known bound.
func (v *View) replicaUsable(i int) bool {
	return v.Members[i].Usable && i != v.Primary && v.Observations[i].Status.Role == group.RoleReplica
}

func (v *View) distance(i int, location Location) int {
	return balance.Distance(v.Members[i].Zone, v.Members[i].Region, location.Zone, location.Region)
}

// ReadPrimaryAt is WritePrimaryAt for reads, which a planned move does not pause: the
// old primary serves reads until a newer term is recorded.
func (v *View) ReadPrimaryAt(point ident.LogPoint) (int, bool) {
	i := v.Primary
	return i, i >= 0 && !v.Observations[i].Down && v.Observations[i].Status.Term >= point.Term
}

// WritePrimaryAt returns the index of the primary, and whether it accepts new requests
// and has every acknowledged entry up to point. A primary whose term is not below the
// point's has them all.
func (v *View) WritePrimaryAt(point ident.LogPoint) (int, bool) {
	i, ok := v.WritePrimary()
	return i, ok && v.Observations[i].Status.Term >= point.Term
}

// StrictReadPoint returns the point that a strict read must see, given the session's
// point and a read index requested after the read arrived. A session point with a term
// above the index's belongs to no acknowledged write, so the index replaces it.
func StrictReadPoint(session, index ident.LogPoint) ident.LogPoint {
	if session.Term > index.Term || index.AtLeast(session) {
		return index
	}
	return session
}
