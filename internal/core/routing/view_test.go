package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

func point(term ident.Term, position ident.Position) ident.LogPoint {
	return ident.LogPoint{Term: term, Position: position}
}

// testView returns a view with the members a (primary), b and c in the zones za, zb
// and zc.
func testView(term ident.Term, b, c group.Status) *View {
	var members []Member
	for _, name := range []ident.UpstreamName{"a", "b", "c"} {
		members = append(members, Member{Upstream: name, Zone: "z" + ident.AvailabilityZone(name), Region: "south", Usable: true})
	}
	members[2].Region = "east"
	v := NewView("g", members)
	v = v.WithStatus(0, group.Status{Term: term, Role: group.RolePrimary, Received: point(term, 9)}, 0)
	return v.WithStatus(1, b, 0).WithStatus(2, c, 0)
}

func replica(term ident.Term, received ident.LogPoint) group.Status {
	return group.Status{Term: term, Role: group.RoleReplica, Received: received, Applied: received}
}

// Guards against confirming a write by a status that proves nothing about the term of
// the write. The model in specs/promotion.pml checks the same rule.
func TestConfirms(t *testing.T) {
	behind := replica(2, point(1, 1))
	for name, c := range map[string]struct {
		b       group.Status
		point   ident.LogPoint
		confirm bool
	}{
		"received":                        {replica(2, point(2, 5)), point(2, 5), true},
		"not yet received":                {replica(2, point(2, 4)), point(2, 5), false},
		"higher term":                     {replica(3, point(2, 5)), point(2, 5), false},
		"entry of a higher term":          {replica(3, point(3, 6)), point(2, 5), false},
		"lower term":                      {replica(1, point(2, 5)), point(2, 5), false},
		"old entry without one of term":   {replica(2, point(1, 5)), point(1, 5), false},
		"old entry followed by a new one": {replica(2, point(2, 6)), point(1, 5), true},
		"another primary":                 {group.Status{Term: 2, Role: group.RolePrimary, Received: point(2, 5)}, point(2, 5), false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, testView(2, c.b, behind).Confirms("a", 2, c.point), c.confirm)
		})
	}
}

// Guards against a wrong order of replicas, and against selecting a replica that is
// behind, too old, leaving or down.
func TestSelectReplica(t *testing.T) {
	v := testView(1, replica(1, point(1, 5)), replica(1, point(1, 5)))
	load := map[ident.UpstreamName]int{"b": 3}
	outstanding := func(_ ident.GroupName, u ident.UpstreamName) int { return load[u] }
	selectReplica := func(v *View, location Location, requirement Requirement) ident.UpstreamName {
		for rotation := range uint64(3) {
			if i := v.SelectReplica(requirement, location, outstanding, rotation, time.Second); i >= 0 && rotation == 2 {
				return v.Members[i].Upstream
			}
		}
		return ""
	}
	at5 := Requirement{MinApplied: point(1, 5)}
	assert.Equal(t, selectReplica(v, Location{Zone: "zc", Region: "east"}, at5), ident.UpstreamName("c"))
	assert.Equal(t, selectReplica(v, Location{Zone: "zb", Region: "south"}, at5), ident.UpstreamName("b"))
	assert.Equal(t, selectReplica(v, Location{Zone: "zx", Region: "south"}, at5), ident.UpstreamName("b"))
	assert.Equal(t, selectReplica(v, Location{Zone: "zx", Region: "west"}, at5), ident.UpstreamName("c"))
	assert.Equal(t, selectReplica(v, Location{Zone: "zc"}, Requirement{MinApplied: point(1, 6)}), ident.UpstreamName(""))
	assert.Equal(t, selectReplica(v, Location{Zone: "zc"}, Requirement{MaxAge: 999 * time.Millisecond}), ident.UpstreamName(""))
	assert.Equal(t, selectReplica(v, Location{Zone: "zc"}, Requirement{MaxAge: time.Second}), ident.UpstreamName("c"))
	members := append([]Member(nil), v.Members...)
	members[2].Usable = false
	assert.Equal(t, selectReplica(v.WithMembers(members), Location{Zone: "zc"}, at5), ident.UpstreamName("b"))
	assert.Equal(t, selectReplica(v.WithMembers(members).WithFailure(1), Location{Zone: "zc"}, at5), ident.UpstreamName(""))
}

// Guards against dropping a session point that may belong to an acknowledged write, and
// against waiting for one with a term that no member has reached.
func TestStrictReadPoint(t *testing.T) {
	assert.Equal(t, StrictReadPoint(point(2, 7), point(2, 5)), point(2, 7))
	assert.Equal(t, StrictReadPoint(point(1, 9), point(2, 5)), point(2, 5))
	assert.Equal(t, StrictReadPoint(point(3, 1), point(2, 5)), point(2, 5))
}
