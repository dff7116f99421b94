package routing

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Location is where the choosing VM runs.
type Location struct {
	Zone   ident.AvailabilityZone
	Region ident.Region
}

// OutstandingRequests returns the number of requests that this VM runs on an upstream.
type OutstandingRequests func(ident.GroupName, ident.UpstreamName) int

// Requirement is what a replica must prove.
type Requirement struct {
	// MinApplied must be applied.
	MinApplied ident.LogPoint
	// MaxAge, when positive, bounds the age of the replica's state.
	MaxAge time.Duration
}

// Satisfies reports whether a member's last status satisfies the need at now.
func (o *Observation) Satisfies(need Requirement, now time.Duration) bool {
	if !o.Known || o.Down || !o.Status.Applied.AtLeast(need.MinApplied) {
		return false
	}
	if need.MaxAge <= 0 {
		return true
	}
	lag := o.Status.LagMilliseconds
	if lag < 0 || lag > need.MaxAge.Milliseconds() {
		return false
	}
	return time.Duration(lag)*time.Millisecond+(now-o.ReceivedAt) <= need.MaxAge
}

// SelectReplica returns the index of the best replica that proves the need, or -1. The
// order is same zone, same region, least outstanding; turn breaks ties so that
// equal replicas share the load.
func (v *View) SelectReplica(need Requirement, place Location, outstanding OutstandingRequests, turn uint64, now time.Duration) int {
	best, bestDistance, bestLoad := -1, 0, 0
	n := len(v.Members)
	if n == 0 {
		return -1
	}
	first := int(turn % uint64(n))
	for k := range n {
		i := (first + k) % n
		if !v.replicaUsable(i) || !v.Observations[i].Satisfies(need, now) {
			continue
		}
		distance, load := v.distance(i, place), 0
		if outstanding != nil {
			load = outstanding(v.Group, v.Members[i].Upstream)
		}
		if best < 0 || distance < bestDistance || distance == bestDistance && load < bestLoad {
			best, bestDistance, bestLoad = i, distance, load
		}
	}
	return best
}

// replicaUsable excludes every member that last reported the primary role: a
// former primary cannot bound the age of its state.
func (v *View) replicaUsable(i int) bool {
	return v.Members[i].Usable && i != v.Primary && v.Observations[i].Status.Role == group.RoleReplica
}

func (v *View) distance(i int, place Location) int {
	switch {
	case v.Members[i].Zone == place.Zone:
		return 0
	case v.Members[i].Region == place.Region:
		return 1
	}
	return 2
}

// ReadPrimaryAt is PrimaryFor for reads, which a planned move does not hold back: the
// old primary of a move serves reads until a newer term is recorded.
func (v *View) ReadPrimaryAt(point ident.LogPoint) (int, bool) {
	i := v.Primary
	return i, i >= 0 && !v.Observations[i].Down && v.Observations[i].Status.Term >= point.Term
}

// WritePrimaryAt returns the primary when it holds every acknowledged entry up to
// point, which holds when its term is not below the point's.
func (v *View) WritePrimaryAt(point ident.LogPoint) (int, bool) {
	i, ok := v.WritePrimary()
	return i, ok && v.Observations[i].Status.Term >= point.Term
}

// StrictReadPoint combines a session point with a read index that was asked for after
// the read arrived. A session point of a term above the index belongs to no
// acknowledged write and is replaced by the index.
func StrictReadPoint(session, index ident.LogPoint) ident.LogPoint {
	if session.Term > index.Term || index.AtLeast(session) {
		return index
	}
	return session
}
