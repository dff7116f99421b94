package routing

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Member is a configured member of a group.
type Member struct {
	Upstream    ident.UpstreamName
	Zone        ident.AvailabilityZone
	Region      ident.Region
	Address     string // PostgreSQL address, IP:port
	Agent       string // member agent, IP:port
	Slots       int
	Connections int
	// Usable is false for leaving upstreams and for upstreams in a zone out of service.
	Usable bool
}

// Observation is the state of a member as last seen by this VM.
type Observation struct {
	Status group.Status
	// ReceivedAt is the time at which the status arrived.
	ReceivedAt time.Duration
	// Known is false until the first status arrives.
	Known bool
	// Down is set after a connection to the member failed, until its next status.
	Down bool
}

// Record is the part of the group's platform object that is used for routing.
type Record struct {
	Term ident.Term
	// Serving is false while a proposer of Term is fencing members.
	Serving bool
	Primary ident.UpstreamName
}

// View is an immutable snapshot of one group.
type View struct {
	Group        ident.GroupName
	Members      []Member
	Observations []Observation // parallel to Members
	Record       Record
	// WritesPaused is set while a planned move is in progress; writes must wait.
	WritesPaused bool

	// Primary is the index of the primary in Members, or -1 if none is known.
	Primary int
	// Term is the term of the primary, or the term of the record if that is higher.
	Term ident.Term
}

// NewView returns a view in which no member has reported a status.
func NewView(name ident.GroupName, members []Member) *View {
	v := &View{Group: name, Members: members, Observations: make([]Observation, len(members))}
	v.derive()
	return v
}

// MemberIndex returns the index of an upstream in Members, or -1.
func (v *View) MemberIndex(upstream ident.UpstreamName) int {
	for i := range v.Members {
		if v.Members[i].Upstream == upstream {
			return i
		}
	}
	return -1
}

// Majority returns the number of members that form a majority.
func (v *View) Majority() int { return len(v.Members)/2 + 1 }

func (v *View) clone() *View {
	next := *v
	next.Observations = append([]Observation(nil), v.Observations...)
	return &next
}

// WithStatus returns the view after a status arrived. A status with a lower term or an
// older incarnation than the last one arrived out of order and is ignored.
func (v *View) WithStatus(i int, status group.Status, now time.Duration) *View {
	last := v.Observations[i]
	if last.Known && (status.Incarnation < last.Status.Incarnation || status.Term < last.Status.Term) {
		return v
	}
	next := v.clone()
	next.Observations[i] = Observation{Status: status, ReceivedAt: now, Known: true}
	next.derive()
	return next
}

// WithFailure returns the view after a connection to a member failed.
func (v *View) WithFailure(i int) *View {
	if v.Observations[i].Down {
		return v
	}
	next := v.clone()
	next.Observations[i].Down = true
	next.derive()
	return next
}

// WithRecord returns the view after the group's object was read. It ignores older
// records: those of a lower term, and those of the same term after a serving one.
func (v *View) WithRecord(record Record) *View {
	if record == v.Record || record.Term < v.Record.Term || record.Term == v.Record.Term && v.Record.Serving {
		return v
	}
	next := v.clone()
	next.Record = record
	next.WritesPaused = false
	next.derive()
	return next
}

// WithWritesPaused returns the view with writes paused or resumed.
func (v *View) WithWritesPaused(paused bool) *View {
	if v.WritesPaused == paused {
		return v
	}
	next := v.clone()
	next.WritesPaused = paused
	return next
}

// WithMembers returns the view for a changed configuration. It keeps the observation of
// each member whose agent address is unchanged.
func (v *View) WithMembers(members []Member) *View {
	next := *v
	next.Members = members
	next.Observations = make([]Observation, len(members))
	for i := range members {
		if j := v.MemberIndex(members[i].Upstream); j >= 0 && v.Members[j].Agent == members[i].Agent {
			next.Observations[i] = v.Observations[j]
		}
	}
	next.derive()
	return &next
}

// derive sets Primary and Term. The primary is the unfenced member that reports the
// primary role in the highest term, unless the record has a higher term.
func (v *View) derive() {
	v.Primary, v.Term = -1, v.Record.Term
	for i := range v.Observations {
		s := &v.Observations[i].Status
		if v.Observations[i].Known && s.Role == group.RolePrimary && !s.Fenced && s.Term >= v.Term {
			v.Primary, v.Term = i, s.Term
		}
	}
}

// WritePrimary returns the index of the primary, and whether it accepts new requests.
func (v *View) WritePrimary() (int, bool) {
	ok := v.Primary >= 0 && !v.WritesPaused && !v.Observations[v.Primary].Down
	return v.Primary, ok
}

// Confirms reports whether a write at point on the primary of the term is confirmed,
// so that it survives a promotion. The package comment states the rule.
func (v *View) Confirms(primary ident.UpstreamName, term ident.Term, point ident.LogPoint) bool {
	replicas := 0
	for i := range v.Observations {
		s := &v.Observations[i].Status
		if v.Observations[i].Known && v.Members[i].Upstream != primary && statusConfirms(s, term, point) {
			replicas++
		}
	}
	return replicas+1 >= v.Majority()
}

func statusConfirms(s *group.Status, term ident.Term, point ident.LogPoint) bool {
	return s.Role == group.RoleReplica && s.Term == term && s.Received.Term == term && s.Received.AtLeast(point)
}
