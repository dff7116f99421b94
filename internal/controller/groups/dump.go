package groupcontroller

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/promotion"
	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// GroupDump is a snapshot of one group for inspection.
type GroupDump struct {
	Term         ident.Term         `json:"term"`
	Primary      ident.UpstreamName `json:"primary"` // empty if none is known
	WritesPaused bool               `json:"held"`    // a planned move is in progress
	Record       promotion.Record   `json:"record"`  // from the platform's object
	Members      []MemberDump       `json:"members"`
	Waiting      int                `json:"waiting"` // requests that wait for a change
	// LastChange is the last change that this VM carried out.
	LastChange *promotion.Outcome `json:"last_change,omitempty"`
	// Decisions are the latest decisions of the promotion machine, oldest first.
	Decisions []promotion.TraceEntry `json:"decisions"`
}

// MemberDump is a snapshot of one member.
type MemberDump struct {
	Upstream  ident.UpstreamName `json:"upstream"`
	Usable    bool               `json:"usable"`
	Known     bool               `json:"known"`
	Down      bool               `json:"down"`
	StatusAge time.Duration      `json:"age_ns"` // since the last status
	Status    group.Status       `json:"status"`
}

// Dump returns the state of all groups. It contains no secrets.
func (c *Controller) Dump() map[ident.GroupName]GroupDump {
	groups := *c.groups.Load()
	dump := make(map[ident.GroupName]GroupDump, len(groups))
	for name, g := range groups {
		dump[name] = g.dump(c.options.Now())
	}
	return dump
}

func (g *groupState) dump(now time.Duration) GroupDump {
	g.promoter.mu.Lock()
	d := GroupDump{Record: g.promoter.machine.Record(), LastChange: g.promoter.lastOutcome, Decisions: g.promoter.machine.Trace()}
	g.promoter.mu.Unlock()
	g.mu.Lock()
	d.Waiting = len(g.waiters)
	g.mu.Unlock()
	v := g.view.Load()
	d.Term, d.WritesPaused = v.Term, v.WritesPaused
	if v.Primary >= 0 {
		d.Primary = v.Members[v.Primary].Upstream
	}
	for i := range v.Members {
		d.Members = append(d.Members, dumpMember(v, i, now))
	}
	return d
}

func dumpMember(v *routing.View, i int, now time.Duration) MemberDump {
	o := &v.Observations[i]
	return MemberDump{
		Upstream: v.Members[i].Upstream, Usable: v.Members[i].Usable,
		Known: o.Known, Down: o.Down, StatusAge: now - o.ReceivedAt, Status: o.Status,
	}
}
