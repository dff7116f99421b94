package groupcontroller

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/standin"
	"github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// standinFleet starts the stand-ins of the platform and the member agents, and three
// controllers that connect to them.
func standinFleet(t *testing.T) (*upstream.Group, *fakeSource, []*Controller) {
	members := []upstream.MemberConfig{{Name: "a", Zone: "za"}, {Name: "b", Zone: "zb"}, {Name: "c", Zone: "zc"}}
	s, err := standin.Start(standin.Config{Groups: []upstream.Config{{
		Name: testGroup, User: "u", Password: "p", Members: members, Log: zerolog.Nop(),
	}}})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	g := s.Groups[testGroup]
	source := &fakeSource{current: standinConfiguration(g, configuration.UpstreamInService)}
	network := &fakeNetwork{}
	var fleet []*Controller
	for _, vm := range []struct {
		name ident.VMName
		zone ident.AvailabilityZone
	}{{"vm1", "za"}, {"vm2", "zb"}, {"vm3", "zc"}} {
		fleet = append(fleet, New(Options{
			Mesh: network.join(vm.name, vm.zone), Platform: objectapi.NewHTTPClient(s.Platform.Address()), Configuration: source,
			NewAgent: func(_ ident.GroupName, _ ident.UpstreamName, address string) group.Agent {
				return group.NewHTTPAgent(address)
			},
			Log: zerolog.Nop(),
		}))
	}
	for _, c := range fleet {
		c.Start()
		t.Cleanup(c.Stop)
	}
	return g, source, fleet
}

// standinConfiguration has the addresses of the stand-ins. Member a is in the given
// state.
func standinConfiguration(g *upstream.Group, a configuration.UpstreamState) *configuration.Configuration {
	return testConfiguration(func(upstreams map[ident.UpstreamName]configuration.Upstream) {
		for name, u := range upstreams {
			m := g.Member(name)
			u.Address, u.Agent = m.Address(), m.AgentAddress()
			if name == "a" {
				u.State = a
			}
			upstreams[name] = u
		}
	})
}

// awaitTerm waits until every VM sees a primary in the term that all members follow, and
// returns it.
func awaitTerm(t *testing.T, fleet []*Controller, term ident.Term) request.Target {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var target request.Target
	for _, c := range fleet {
		err := c.group(testGroup).wait(ctx, func(v *routing.View) bool {
			i, ok := v.WritePrimary()
			for k := range v.Observations {
				ok = ok && v.Term == term && v.Observations[k].Status.Term == term && v.Observations[k].Status.Primary == v.Members[i].Upstream
			}
			if ok {
				target = c.targetOf(v, i)
			}
			return ok
		})
		assert.NilError(t, err, "%+v", c.Dump())
		assert.NilError(t, c.Confirm(ctx, target, ident.LogPoint{Term: term}))
	}
	return target
}

// Guards against a controller that does not conform to the protocols of the platform and
// of the member agents, by a failover, the return of the old primary and a planned move.
func TestFailoverWithStandins(t *testing.T) {
	g, source, fleet := standinFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	target, err := fleet[0].Primary(ctx, testGroup)
	assert.NilError(t, err)
	assert.Equal(t, target.Upstream, ident.UpstreamName("a"))

	g.Member("a").Kill()
	target, err = fleet[1].PrimaryFor(ctx, testGroup, request.ReadRequirement{Strict: true})
	for err == nil && target.Upstream == "a" {
		target, err = fleet[1].PrimaryFor(ctx, testGroup, request.ReadRequirement{Strict: true})
	}
	assert.NilError(t, err)
	assert.Equal(t, target.Term, ident.Term(2))
	assert.NilError(t, g.Member("a").Restart())
	target = awaitTerm(t, fleet, 2)
	assert.Assert(t, target.Upstream != "a")
	for _, c := range fleet {
		if last := c.Dump()[testGroup].LastChange; last != nil {
			t.Logf("detection %s, total %s: %s", last.Detection, last.Total(), last.Reason)
		}
	}

	conf := standinConfiguration(g, configuration.UpstreamInService)
	u := conf.Databases[testGroup].Upstreams[target.Upstream]
	u.State = configuration.UpstreamLeaving
	conf.Databases[testGroup].Upstreams[target.Upstream] = u
	source.set(conf)
	moved := awaitTerm(t, fleet, 3)
	assert.Assert(t, moved.Upstream != target.Upstream)
	unplanned, planned := promotions(fleet)
	assert.Equal(t, unplanned, int64(1))
	assert.Equal(t, planned, int64(1))
}
