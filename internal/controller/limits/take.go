package limits

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/ratelimit"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// takeTransit is added to the time that a holder waits for tokens, for the way there
	// and back between regions.
	takeTransit = 50 * time.Millisecond
	// silentTime is the time for which a holder that did not answer is passed over. A
	// probe tells within a second whether it lives.
	silentTime = time.Second
	// maxAsked is the number of holders that are asked for one operation. Only those that
	// do not answer are followed by another one.
	maxAsked = 2
	// wholeBurst is the part of a burst, in operations, that a holder must have for
	// demand to be met wherever it comes up. With less, transfers between holders leave
	// pieces that expire.
	wholeBurst = 6
)

// TakeRequest asks a holder to spend one operation.
type TakeRequest struct {
	Organisation ident.OrganisationName `cbor:"1,keyasint"`
}

// TakeResponse says whether it was spent.
type TakeResponse struct {
	Spent bool `cbor:"1,keyasint"`
}

// Take implements proxy.Limiter. A VM that holds no rates asks a holder, the one of
// its zone first. The whole demand of an organisation with a small burst meets at one
// holder, because each holder has less of it than a few operations.
func (c *Controller) Take(ctx context.Context, organisation ident.OrganisationName) error {
	asked := 0
	for _, vm := range c.order(organisation) {
		if vm.Name == c.cfg.Self.VM {
			return c.taker.Take(ctx, organisation, 1)
		}
		if asked == maxAsked {
			break
		}
		asked++
		spent, err := c.takeAt(ctx, vm.Name, organisation)
		if err != nil {
			continue
		}
		if !spent {
			return resultcode.New(resultcode.RateExceeded, "organisation %q has used its rate and burst, says VM %q", organisation, vm.Name)
		}
		return nil
	}
	if c.holds() {
		return c.taker.Take(ctx, organisation, 1)
	}
	return resultcode.New(resultcode.RateExceeded, "no VM that holds rates answers for organisation %q", organisation)
}

// holds reports whether this VM may use parts of the rates now.
func (c *Controller) holds() bool {
	own, until := c.ShareUnits()
	return own > 0 && c.cfg.Now() < until
}

// order returns the holders in the order in which they are asked, those that did not
// answer last. For an organisation with a small burst the order is the same on all
// VMs; for the others this VM comes first, and then its zone.
func (c *Controller) order(organisation ident.OrganisationName) []placement.VM {
	self := c.cfg.Self
	holders := placement.Rank(c.cfg.Holders(), "take/"+string(organisation))
	burst := c.cfg.State().Catalog.Organisations[organisation].Burst
	if burst >= wholeBurst*float64(len(holders)) {
		if c.holds() {
			return []placement.VM{{Name: self.VM}}
		}
		near := func(vm placement.VM) int {
			switch {
			case vm.Name == self.VM:
				return 0
			case vm.Zone == self.Zone:
				return 1
			}
			return 2
		}
		slices.SortStableFunc(holders, func(a, b placement.VM) int { return cmp.Compare(near(a), near(b)) })
	}
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := func(vm placement.VM) int {
		if now < c.silent[vm.Name] {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(holders, func(a, b placement.VM) int { return cmp.Compare(silent(a), silent(b)) })
	return holders
}

func (c *Controller) takeAt(ctx context.Context, vm ident.VMName, organisation ident.OrganisationName) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, ratelimit.MaxWait+takeTransit)
	defer cancel()
	var answer TakeResponse
	err := c.cfg.Peers.Call(ctx, vm, peers.KindTake, TakeRequest{organisation}, &answer)
	if err != nil {
		c.mu.Lock()
		c.silent[vm] = c.cfg.Now() + silentTime
		c.mu.Unlock()
		c.cfg.Log.Debug().Err(err).Str("peer", string(vm)).Msg("rate not asked")
	}
	return answer.Spent, err
}

// HandleTake spends one operation for another VM.
func (c *Controller) HandleTake(ctx context.Context, r TakeRequest) TakeResponse {
	return TakeResponse{Spent: c.taker.Take(ctx, r.Organisation, 1) == nil}
}
