package limits

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/ratewait"
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
)

// TakeRequest asks a holder to spend one operation.
type TakeRequest struct {
	Organisation ident.OrganisationName `cbor:"1,keyasint"`
}

// TakeAnswer says whether it was spent.
type TakeAnswer struct {
	Spent bool `cbor:"1,keyasint"`
}

// Take implements proxy.Limiter. A VM that holds no rates asks a holder, the one of
// its zone first, so that the organisation's demand of the zone meets in one place.
func (c *Controller) Take(ctx context.Context, organisation ident.OrganisationName) error {
	if own, until := c.Parts(); own > 0 && c.cfg.Now() < until {
		return c.taker.Take(ctx, organisation, 1)
	}
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
			return resultcode.New(resultcode.RateExceeded, "organisation %q has used its rate and burst", organisation)
		}
		return nil
	}
	return resultcode.New(resultcode.RateExceeded, "no VM that holds rates answers for organisation %q", organisation)
}

// order returns the holders in the order in which they are asked: those of this zone,
// then the others, and those that did not answer last.
func (c *Controller) order(organisation ident.OrganisationName) []placement.VM {
	var near, far, silent []placement.VM
	now := c.cfg.Now()
	holders := placement.Rank(c.cfg.Holders(), "take/"+string(organisation))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range holders {
		switch {
		case now < c.silent[vm.Name]:
			silent = append(silent, vm)
		case vm.Zone == c.cfg.Self.Zone:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	return append(append(near, far...), silent...)
}

func (c *Controller) takeAt(ctx context.Context, vm ident.VMName, organisation ident.OrganisationName) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, ratewait.MaxWait+takeTransit)
	defer cancel()
	var answer TakeAnswer
	err := c.cfg.Peers.Ask(ctx, vm, peers.KindTake, TakeRequest{organisation}, &answer)
	if err != nil {
		c.mu.Lock()
		c.silent[vm] = c.cfg.Now() + silentTime
		c.mu.Unlock()
		c.cfg.Log.Debug().Err(err).Str("peer", string(vm)).Msg("rate not asked")
	}
	return answer.Spent, err
}

// TakeFor spends one operation for another VM.
func (c *Controller) TakeFor(ctx context.Context, r TakeRequest) TakeAnswer {
	return TakeAnswer{Spent: c.taker.Take(ctx, r.Organisation, 1) == nil}
}
