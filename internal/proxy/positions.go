package proxy

import (
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// maxCommitGroups is the number of groups for which a session keeps the position of its last
// commit. A session usually commits in one group.
const maxCommitGroups = 8

// commitPositions holds the position of a session's last commit in each group. Positions of
// different groups can't be compared, and a route may lead to a group again that it has left.
type commitPositions struct {
	// list is ordered from the group whose commit is oldest to the one whose commit is newest.
	list []commitPosition
	// evicted is set if the position of some group was dropped to limit the memory.
	evicted bool
}

type commitPosition struct {
	group ident.GroupName
	// point is zero if the upstream reported no position for the commit.
	point ident.LogPoint
}

// record records an acknowledged commit in a group. The zero point means that its position is
// not known.
func (c *commitPositions) record(group ident.GroupName, point ident.LogPoint) {
	if i := c.index(group); i >= 0 {
		if known := c.list[i].point; !point.IsZero() && known.Compare(point) > 0 {
			point = known // responses of one group's upstreams may arrive in any order
		}
		c.list = slices.Delete(c.list, i, i+1)
	}
	if len(c.list) == maxCommitGroups {
		c.list, c.evicted = slices.Delete(c.list, 0, 1), true
	}
	c.list = append(c.list, commitPosition{group, point})
}

// position returns the position of the last commit in a group, which is zero if the session
// has committed nothing there. The result is false if there may be a commit whose position is
// not known. Only the primary is then sure to have it.
func (c *commitPositions) position(group ident.GroupName) (ident.LogPoint, bool) {
	if i := c.index(group); i >= 0 {
		point := c.list[i].point
		return point, !point.IsZero()
	}
	return ident.LogPoint{}, !c.evicted
}

func (c *commitPositions) index(group ident.GroupName) int {
	return slices.IndexFunc(c.list, func(p commitPosition) bool { return p.group == group })
}
