package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/promotion"
	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// linesPerSecond is the least rate of an agent's stream; a stream of a busy group
// has up to one line per millisecond.
const linesPerSecond = 10

// chunkBytes is the overhead of one line in the chunked encoding of HTTP.
const chunkBytes = 7

func typicalStatus() group.Status {
	point := ident.LogPoint{Term: 12, Position: 734_003_200}
	return group.Status{
		Group: "database-00042", Upstream: "member-1", Incarnation: 1_700_000_000, Term: 12, Role: group.RoleReplica,
		Received: point, Applied: point, Primary: "member-0", LagMilliseconds: 12,
	}
}

// groupCost is what following one group costs a VM.
type groupCost struct {
	LineBytes      int
	Line           time.Duration // decode a line and pass it to view and machine
	Tick           time.Duration // a step of the promotion
	Configure      time.Duration // one change of the membership of DesignVMs
	Memory         float64       // bytes of the machine and the view, without the HTTP client
	StreamProcess  float64       // part of a core per stream
	StreamTraffic  float64       // bytes per second per stream
	GroupProcessor float64       // part of a core per group and second, streams included
}

func groupMembers() ([]routing.Member, []promotion.Member) {
	var view []routing.Member
	var list []promotion.Member
	for k := range DesignMembers {
		name := ident.UpstreamName(fmt.Sprint("member-", k))
		view = append(view, routing.Member{Upstream: name, Zone: zoneName(k), Slots: 2, Connections: 16, Usable: true})
		list = append(list, promotion.Member{Upstream: name, Zone: zoneName(k), Usable: true})
	}
	return view, list
}

func measureGroup() (groupCost, error) {
	view, list := groupMembers()
	var vms []promotion.VM
	for _, m := range fleetOf(DesignZones, DesignZoneVMs)[:DesignVMs] {
		vms = append(vms, promotion.VM{Name: m.Name, Zone: m.Zone})
	}
	self := vms[0]
	type followed struct {
		machine *promotion.Machine
		view    *routing.View
	}
	const groups = 50
	all, held := heapOf(func() []followed {
		var out []followed
		for i := range groups {
			name := ident.GroupName(fmt.Sprintf("database-%05d", i))
			m := promotion.New(name, self, "life", rand.New(rand.NewPCG(uint64(i), 1)))
			m.Configure(0, list, vms)
			out = append(out, followed{m, routing.NewView(name, view)})
		}
		return out
	})
	line, err := json.Marshal(typicalStatus())
	if err != nil {
		return groupCost{}, err
	}
	c := groupCost{LineBytes: len(line) + 1 + chunkBytes, Memory: held / groups}
	now, g := time.Duration(0), all[0]
	c.Line = timePer(20_000, func() {
		now += time.Millisecond
		var status group.Status
		if err = json.Unmarshal(line, &status); err == nil {
			g.view = g.view.WithStatus(1, status, now)
			g.machine.Status(now, status)
		}
	})
	c.Tick = timePer(2_000, func() {
		now += 10 * time.Millisecond
		for k := range list { // keeps the group healthy; the lines are counted above
			status := typicalStatus()
			status.Upstream = list[k].Upstream
			if k == 0 {
				status.Role = group.RolePrimary
			}
			g.machine.Status(now, status)
		}
		for range 10 {
			g.machine.Tick(now)
			g.machine.TakeActions()
		}
	}) / 10
	c.Configure = timePer(20, func() { g.machine.Configure(now, list, vms) })
	c.StreamProcess = linesPerSecond * c.Line.Seconds()
	c.StreamTraffic = float64(linesPerSecond * c.LineBytes)
	c.GroupProcessor = DesignMembers*c.StreamProcess + 5*c.Tick.Seconds()
	return c, err
}
