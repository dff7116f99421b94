package limits

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/ratelimit"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// takeTransitTime is added to the time for which a holder waits for tokens. It covers
	// a round trip between regions.
	takeTransitTime = 50 * time.Millisecond
	// unresponsiveTime is the time for which a VM that did not respond or declined is tried
	// last.
	// A probe determines within a second whether it is alive.
	unresponsiveTime = time.Second
	// maxTakeRequests is the number of holders that may fail to respond for one operation
	// before it is refused, and maxDeclined the number of VMs that may respond that they
	// hold no share units.
	maxTakeRequests = 2
	maxDeclined     = 2
	// minBurstPerHolder is the share of a burst, in operations, that each holder must have
	// for demand to be served at any of them. With less, transfers between holders leave
	// fractions of tokens that expire, so one holder serves all and gets the shares of the
	// others as delegations.
	minBurstPerHolder = 6
)

// TakeRequest requests that a holder spend one operation.
type TakeRequest struct {
	Organisation ident.OrganisationName `cbor:"1,keyasint"`
	// Priority is that of the route; 0 is the highest.
	Priority int `cbor:"2,keyasint,omitempty"`
}

// TakeResponse is the response to a TakeRequest.
type TakeResponse struct {
	Spent bool `cbor:"1,keyasint"`
	// Declined is set if the VM holds no share units, although others do. A VM that takes
	// the place of a failed holder gets share units only after seconds.
	Declined bool `cbor:"2,keyasint,omitempty"`
	// RetryAfter is a time, counted from the response, for which the holder has no token for
	// a request of this priority.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Take implements proxy.Limiter. A VM without share units sends a request to a holder,
// that of its own zone first. The whole demand of an organisation with a small burst
// is served by one holder, because each holder's share is less than a few operations.
func (c *Controller) Take(ctx context.Context, organisation ident.OrganisationName, priority int) error {
	failed, declined := 0, 0
	for _, vm := range c.holderOrder(organisation) {
		if vm.Name == c.cfg.Self.VM {
			if c.excluded() {
				continue
			}
			return c.spend(ctx, organisation, priority)
		}
		if failed == maxTakeRequests || declined == maxDeclined {
			break
		}
		if c.refusedBy(vm.Name, organisation, priority) {
			return exceeded(organisation, vm.Name)
		}
		response, err := c.requestTake(ctx, vm.Name, TakeRequest{organisation, priority})
		switch {
		case err != nil:
			failed++
			continue
		case response.Declined:
			declined++
			continue
		case !response.Spent:
			return exceeded(organisation, vm.Name)
		}
		return nil
	}
	if c.holdsShareUnits() {
		return c.spend(ctx, organisation, priority)
	}
	return resultcode.New(resultcode.RateExceeded, "no VM that holds share units responded for organisation %q", organisation)
}

func exceeded(organisation ident.OrganisationName, holder ident.VMName) error {
	return resultcode.New(resultcode.RateExceeded, "organisation %q has used its rate and burst, according to VM %q", organisation, holder)
}

// spend spends one operation of the share of this VM. An organisation of a configuration that
// arrived since the last refresh gets its bucket first.
func (c *Controller) spend(ctx context.Context, organisation ident.OrganisationName, priority int) error {
	_, configured := c.cfg.Snapshot().Catalog.Organisations[organisation]
	if _, known := c.escrow.Bucket(organisation); configured && !known {
		c.refreshEscrow()
	}
	return c.limiter.Take(ctx, organisation, priority, 1)
}

// holdsShareUnits reports whether this VM may use share units now.
func (c *Controller) holdsShareUnits() bool {
	own, until := c.ShareUnits()
	return own > 0 && c.cfg.Now() < until
}

// takeKey is the key by which holders are ranked for an organisation.
func takeKey(organisation ident.OrganisationName) string { return "take/" + string(organisation) }

// servedByOneHolder reports whether all VMs send the requests of an organisation to the
// same holder, to which the others delegate their shares.
func servedByOneHolder(burst float64, holders int) bool {
	return burst < minBurstPerHolder*float64(holders)
}

// holderOrder returns the holders in the order in which they are tried. Those that did
// not respond come last. For an organisation with a small burst the order is the same
// on all VMs; for the others this VM comes first, and then its zone.
func (c *Controller) holderOrder(organisation ident.OrganisationName) []placement.VM {
	self := c.cfg.Self
	holders := placement.Rank(c.cfg.Holders(), takeKey(organisation))
	burst := c.cfg.Snapshot().Catalog.Organisations[organisation].Burst
	if !servedByOneHolder(burst, len(holders)) {
		if c.holdsShareUnits() {
			return []placement.VM{{Name: self.VM}}
		}
		distance := func(vm placement.VM) int {
			switch {
			case vm.Name == self.VM:
				return 0
			case vm.Zone == self.Zone:
				return 1
			}
			return 2
		}
		slices.SortStableFunc(holders, func(a, b placement.VM) int { return cmp.Compare(distance(a), distance(b)) })
	}
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	unresponsive := func(vm placement.VM) int {
		if now < c.unresponsiveUntil[vm.Name] {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(holders, func(a, b placement.VM) int { return cmp.Compare(unresponsive(a), unresponsive(b)) })
	return holders
}

// excluded reports whether this VM holds no share units, although others do. A VM that
// takes the place of a holder may be asked before it knows of that itself, and has not read
// the table then.
func (c *Controller) excluded() bool {
	holders := c.cfg.Holders()
	c.mu.Lock()
	defer c.mu.Unlock()
	replaced := len(holders) > 0 && placement.Index(holders, c.cfg.Self.VM) < 0 && !c.holder.NeedsTable()
	return replaced || c.holder.Excluded()
}

func (c *Controller) requestTake(ctx context.Context, vm ident.VMName, request TakeRequest) (TakeResponse, error) {
	sentAt := c.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, ratelimit.MaxWait+takeTransitTime)
	defer cancel()
	var response TakeResponse
	err := c.cfg.Peers.Call(ctx, vm, peers.KindTake, request, &response)
	if err != nil || response.Declined {
		c.mu.Lock()
		c.unresponsiveUntil[vm] = c.cfg.Now() + unresponsiveTime
		c.mu.Unlock()
		c.cfg.Log.Debug().Err(err).Str("peer", string(vm)).Bool("declined", response.Declined).Msg("take request failed")
	}
	if err == nil && response.RetryAfter > 0 {
		c.recordRefusal(sentAt, vm, request, response.RetryAfter)
	}
	return response, err
}

// HandleTake spends one operation for another VM.
func (c *Controller) HandleTake(ctx context.Context, r TakeRequest) TakeResponse {
	if c.excluded() {
		return TakeResponse{Declined: true}
	}
	err := c.spend(ctx, r.Organisation, r.Priority)
	response := TakeResponse{Spent: err == nil}
	if refusal := (*ratelimit.Refusal)(nil); errors.As(err, &refusal) {
		response.RetryAfter = refusal.RetryAfter
	}
	return response
}
