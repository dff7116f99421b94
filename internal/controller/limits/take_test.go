package limits

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/relay"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// holders answers for the VMs that hold rates.
type holders struct {
	asked  []ident.VMName
	silent map[ident.VMName]bool
	dry    bool
}

func (h *holders) Call(_ context.Context, to ident.VMName, _ relay.Kind, _, answer any) error {
	h.asked = append(h.asked, to)
	if h.silent[to] {
		return relay.ErrNoResponse
	}
	answer.(*TakeResponse).Spent = !h.dry
	return nil
}

// newVM returns a VM of zone a that holds no rates.
func newVM(h *holders, now *time.Duration) *Controller {
	state := &storesync.Snapshot{Catalog: &catalog.Catalog{Organisations: map[ident.OrganisationName]catalog.Organisation{
		"acme": {Name: "acme", Rate: 100, Burst: 100}, "small": {Name: "small", Rate: 4, Burst: 4},
	}}}
	return New(Config{
		State: func() *storesync.Snapshot { return state },
		Self:  relay.Identity{VM: "vm", Zone: "a"}, Peers: h, Log: zerolog.Nop(), Now: func() time.Duration { return *now },
		Holders: func() []placement.VM {
			return []placement.VM{{Name: "a1", Zone: "a"}, {Name: "b1", Zone: "b"}, {Name: "c1", Zone: "c"}}
		},
	})
}

// Guards against rates that are asked for in another region although the zone has a
// holder, and against a refusal that is tried again elsewhere.
func TestHolderOfTheZoneIsAsked(t *testing.T) {
	now := time.Second
	h := &holders{}
	vm := newVM(h, &now)
	assert.NilError(t, vm.Take(context.Background(), "acme"))
	h.dry = true
	err := vm.Take(context.Background(), "acme")
	assert.Assert(t, resultcode.Is(err, resultcode.RateExceeded), "%v", err)
	assert.DeepEqual(t, h.asked, []ident.VMName{"a1", "a1"})
}

// Guards against operations that are refused because one holder is silent, against
// waiting for it each time, and against asking all holders in turn.
func TestSilentHolderIsPassedOver(t *testing.T) {
	now := time.Second
	h := &holders{silent: map[ident.VMName]bool{"a1": true}}
	vm := newVM(h, &now)
	assert.NilError(t, vm.Take(context.Background(), "acme"))
	assert.Equal(t, len(h.asked), 2)
	other := h.asked[1]
	assert.NilError(t, vm.Take(context.Background(), "acme"))
	assert.DeepEqual(t, h.asked, []ident.VMName{"a1", other, other})
	now += silentTime
	h.silent = map[ident.VMName]bool{"a1": true, "b1": true, "c1": true}
	h.asked = nil
	err := vm.Take(context.Background(), "acme")
	assert.Assert(t, resultcode.Is(err, resultcode.RateExceeded), "%v", err)
	assert.Equal(t, len(h.asked), maxAsked)
}

// Guards against a small burst whose demand is met by several holders, each of which
// has less than a few operations of it.
func TestSmallBurstHasOneHolder(t *testing.T) {
	now := time.Second
	var first []ident.VMName
	for _, zone := range []ident.AvailabilityZone{"a", "b", "c"} {
		h := &holders{}
		vm := newVM(h, &now)
		vm.cfg.Self.Zone = zone
		assert.NilError(t, vm.Take(context.Background(), "small"))
		first = append(first, h.asked...)
	}
	assert.Equal(t, len(first), 3)
	assert.Assert(t, first[0] == first[1] && first[1] == first[2], "%v", first)
}
