package takeover

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

func newController(now *time.Duration) *Controller {
	return New(Config{Self: "vm-1", Now: func() time.Duration { return *now }, Log: zerolog.Nop(),
		Hubs: func() []placement.VM { return []placement.VM{{Name: "vm-1"}, {Name: "vm-2"}} }})
}

// Guards against takeovers that follow one another without end: a primary that has
// gone still claims the role with a newer registration than the one that leads.
func TestClaimOfAGonePrimaryHidesNoOther(t *testing.T) {
	now := time.Minute
	c := newController(&now)
	members := []catalog.Upstream{
		{Name: "u-gone", Group: "g1", Primary: true, Revision: 20}, {Name: "u-leads", Group: "g1", Primary: true, Revision: 10},
	}
	state := &storesync.Snapshot{
		Leaving: map[ident.UpstreamName]time.Duration{"u-gone": time.Second}, Deregistered: map[ident.UpstreamName]time.Duration{"u-gone": time.Second},
		Evacuated: map[ident.AvailabilityZone]time.Duration{},
	}
	reason, primary := c.reason(state, c.group("g1"), members, now)
	assert.Equal(t, reason, "")
	assert.Equal(t, primary.Name, ident.UpstreamName("u-leads"))
	reason, _ = c.reason(state, c.group("g1"), members[:1], now)
	assert.Equal(t, reason, reasonLeaving)
}

// Guards against holders that take turns within the time in which the platform takes
// that for a conflict, and against a wait for a VM that has died or for an old change.
func TestTurnsOfOtherHoldersAreRespected(t *testing.T) {
	now := time.Minute
	c := newController(&now)
	turn := seenRecord{record: record{Generation: 3, Holder: "vm-2", Done: true}, at: now}
	assert.Assert(t, c.respected(turn))
	now += 3 * time.Second
	assert.Assert(t, c.respected(turn))
	now += claimTime
	assert.Assert(t, !c.respected(turn))
	turn.at, turn.Holder = now, "vm-9"
	assert.Assert(t, !c.respected(turn), "vm-9 does not answer")
	turn.Holder, turn.old = "vm-2", true
	assert.Assert(t, !c.respected(turn), "it was done before this VM first looked")
}
