package takeover

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/withdrawal"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

func newController(now *time.Duration) *Controller {
	return New(Config{Self: "vm-1", Now: func() time.Duration { return *now }, Log: zerolog.Nop(),
		Hubs: func() []placement.VM { return []placement.VM{{Name: "vm-1"}, {Name: "vm-2"}} }})
}

// Guards against endless takeovers, caused by a deregistered primary whose registration
// was newer than that of the acting primary.
func TestDeregisteredPrimaryDoesNotTakePrecedence(t *testing.T) {
	now := time.Minute
	c := newController(&now)
	members := []catalog.Upstream{
		{Name: "u-deregistered", Group: "g1", Primary: true, Revision: 20}, {Name: "u-acting", Group: "g1", Primary: true, Revision: 10},
	}
	snapshot := &storesync.Snapshot{
		Leaving: map[ident.UpstreamName]withdrawal.Withdrawal{"u-deregistered": {LearnedAt: time.Second}}, Deregistered: map[ident.UpstreamName]time.Duration{"u-deregistered": time.Second},
		Evacuated: map[ident.AvailabilityZone]withdrawal.Withdrawal{},
	}
	reason, primary := c.changeReason(snapshot, c.group("g1"), members, now)
	assert.Equal(t, reason, "")
	assert.Equal(t, primary.Name, ident.UpstreamName("u-acting"))
	reason, _ = c.changeReason(snapshot, c.group("g1"), members[:1], now)
	assert.Equal(t, reason, reasonLeaving)
}

// Guards against two holders within the time in which the platform treats them as a
// conflict, and against waiting for a dead VM or an old change.
func TestClaimsOfOtherHoldersAreRespected(t *testing.T) {
	now := time.Minute
	c := newController(&now)
	claim := seenRecord{record: record{Generation: 3, Holder: "vm-2", Done: true}, at: now}
	assert.Assert(t, c.claimActive(claim))
	now += 3 * time.Second
	assert.Assert(t, c.claimActive(claim))
	now += claimTimeout
	assert.Assert(t, !c.claimActive(claim))
	claim.at, claim.Holder = now, "vm-9"
	assert.Assert(t, !c.claimActive(claim), "vm-9 does not respond")
	claim.Holder, claim.doneAtFirstRead = "vm-2", true
	assert.Assert(t, !c.claimActive(claim), "the change was done before this VM first read the record")
}

// panickingPromoter panics at its first call.
type panickingPromoter struct {
	*fakePlatform
	called bool
}

func (p *panickingPromoter) Promote(ctx context.Context, holder ident.VMName, token uint64, group ident.GroupName, upstream ident.UpstreamName) error {
	if !p.called {
		p.called = true
		panic("fault")
	}
	return p.fakePlatform.Promote(ctx, holder, token, group, upstream)
}

// Guards against a panic in a takeover that ends the process, leaves the group without
// further attempts, or is repeated without a delay.
func TestPanicEndsOnlyTheAttempt(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		c := p.controller("vm-1")
		c.cfg.Promoter = &panickingPromoter{fakePlatform: p}
		snapshot := p.snapshot()
		snapshot.Leaving = map[ident.UpstreamName]withdrawal.Withdrawal{"u1": {}}
		c.cfg.Snapshot = func() *storesync.Snapshot { return snapshot }
		p.hubs = []placement.VM{{Name: "vm-1"}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.Run(ctx)
		time.Sleep(attemptInterval)
		assert.Equal(t, len(p.promotedMembers()), 0)
		time.Sleep(claimTimeout + memberTimeout)
		assert.Assert(t, len(p.promotedMembers()) > 0)
		cancel()
		synctest.Wait()
	})
}
