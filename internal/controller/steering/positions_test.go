package steering

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// positionFleet has a hub near the primary in zone a, and the relay and another VM of
// zone b. All share a clock.
type positionFleet struct {
	hub, relay, vm *fixture
	now            time.Duration
	requests       int
	// transit is called when a request or a response is on its way.
	transit func()
}

func newPositionFleet() *positionFleet {
	p := &positionFleet{now: time.Minute, transit: func() {}}
	byName := map[ident.VMName]*fixture{}
	add := func(index int, relay ident.VMName) *fixture {
		f := newFixture()
		f.cfg.Self, f.cfg.Log = f.live[index], zerolog.Nop()
		f.cfg.Now = func() time.Duration { return p.now }
		f.cfg.Relay = func() (ident.VMName, bool) { return relay, relay != "" }
		f.cfg.RequestPositions = func(_ context.Context, to ident.VMName, q PositionsRequest) (PositionsResponse, error) {
			p.requests++
			p.transit()
			response := byName[to].ServePositions(q)
			p.transit()
			return response, nil
		}
		byName[f.cfg.Self.Name] = f
		return f
	}
	p.hub, p.relay, p.vm = add(0, ""), add(2, ""), add(3, "vm-b0")
	byName["vm-a1"] = p.hub // both hubs of zone a know the same positions
	return p
}

// step makes each VM request positions once, the relay first.
func (p *positionFleet) step() {
	for _, f := range []*fixture{p.relay, p.vm} {
		for vm, groups := range f.positionSources() {
			f.requestPositions(context.Background(), vm, groups)
		}
	}
}

// Guards against reads that burden the primary because the VM itself has sent it nothing
// within the maximum staleness, which is the rule in a large fleet, and against requests
// for groups that nobody reads.
func TestReadsUseRelayedPositions(t *testing.T) {
	p := newPositionFleet()
	p.hub.RecordPosition("g1", p.now-100*time.Millisecond, point(1, 7))
	p.step()
	assert.Equal(t, p.requests, 0)
	c, ok := p.vm.Choose(newRequirement(catalog.BoundedStaleness, false))
	assert.Assert(t, ok && c.VerifyLeadership, "no position is known yet")
	p.step() // the relay learns that the group is read
	p.step()
	p.step()
	c, ok = p.vm.Choose(newRequirement(catalog.BoundedStaleness, false))
	assert.Assert(t, ok)
	assert.Equal(t, c.Target.Upstream, ident.UpstreamName("u-b"))
	assert.Equal(t, c.MinPosition, point(1, 7))
	p.now += 901 * time.Millisecond
	p.step()
	c, _ = p.vm.Choose(newRequirement(catalog.BoundedStaleness, false))
	assert.Assert(t, c.VerifyLeadership, "the position is older than the route allows, however often it was relayed")
	p.now += 2 * readTime
	p.step()
	requests := p.requests
	p.step()
	assert.Equal(t, p.requests, requests)
}

// Guards against a position that appears newer than it is because it was delayed on its
// way through other VMs: a read would miss commits older than the maximum staleness.
func TestRelayedPositionCoversEveryOldCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPositionFleet()
		var acknowledged []time.Duration // commit i+1 was acknowledged at this time
		pass := func() {
			for range rapid.IntRange(0, 3).Draw(t, "steps") {
				p.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
				if rapid.Bool().Draw(t, "commit") {
					acknowledged = append(acknowledged, p.now)
				} else {
					p.hub.RecordPosition("g1", p.now, point(1, len(acknowledged)))
				}
			}
		}
		p.transit = pass
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			pass()
			c, ok := p.vm.Choose(newRequirement(catalog.BoundedStaleness, false))
			if ok && !c.VerifyLeadership {
				for i, at := range acknowledged {
					if at < p.now-time.Second && ident.Position(i+1) > c.MinPosition.Position {
						t.Fatalf("commit %d of %v is not covered by %v at %v", i+1, at, c.MinPosition, p.now)
					}
				}
			}
			p.step()
		}
	})
}

// Guards against a position that was relayed before a change of primary and is preferred
// to that of the new one.
func TestRelayedPositionOfReplacedPrimaryIsIgnored(t *testing.T) {
	f := newFixture()
	f.observePrimary(2, 3)
	f.now += 100 * time.Millisecond
	f.RecordPosition("g1", f.now, point(1, 99))
	c, _ := f.Choose(newRequirement(catalog.BoundedStaleness, false))
	assert.Equal(t, c.MinPosition, point(2, 3))
}

// Guards against responses that do not match the request.
func TestMalformedPositionsAreIgnored(t *testing.T) {
	for _, response := range []PositionsResponse{
		{}, {Positions: []RelayedPosition{{point(1, 7), -time.Second}}},
		{Positions: []RelayedPosition{{point(1, 7), 0}, {point(1, 8), 0}}},
	} {
		p := newPositionFleet()
		p.vm.cfg.RequestPositions = func(context.Context, ident.VMName, PositionsRequest) (PositionsResponse, error) {
			return response, nil
		}
		p.vm.Choose(newRequirement(catalog.BoundedStaleness, false))
		p.step()
		c, _ := p.vm.Choose(newRequirement(catalog.BoundedStaleness, false))
		assert.Assert(t, c.VerifyLeadership)
	}
}
