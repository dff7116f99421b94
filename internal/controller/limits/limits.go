// Package limits holds organisations to their rates over all VMs.
package limits

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/controller/storesync"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/core/shareunits"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/ratelimit"
	"github.com/rosemarywall/rosemarywall/internal/relay"
)

// startShare is the part of the tolerated excess with which the buckets of a VM
// start, so that three starts within one window stay within it.
const startShare = 3

const (
	// tickEvery is the time between looks at the buckets.
	tickEvery = 50 * time.Millisecond
	// idleEvery is the same for a VM that holds no parts and is not to hold any. The
	// table of parts makes it a holder only after seconds.
	idleEvery = 500 * time.Millisecond
	// startEvery is the same for both and for the table of parts until the holders are
	// known, for startFor: after a loss of all VMs all callers return at once.
	startEvery = 10 * time.Millisecond
	startFor   = 2 * time.Second
)

// PeerClient sends questions to other VMs.
type PeerClient interface {
	Call(ctx context.Context, to ident.VMName, kind relay.Kind, question, answer any) error
}

// Config connects a Controller.
type Config struct {
	Self  relay.Identity
	Peers PeerClient
	Store Store
	State func() *storesync.Snapshot
	// Holders are the VMs that hold the rates; the others ask one of them for each
	// operation.
	Holders func() []placement.VM
	// Address returns the address of a VM that answers.
	Address func(ident.VMName) (string, bool)
	// ProbeVMs asks for probes of VMs beside the hubs.
	ProbeVMs func([]ident.VMName)
	// NewWriterID returns a text that no other write of any VM has.
	NewWriterID func() string
	Now         func() time.Duration
	Log         zerolog.Logger
	// AllowedExcess returns the number of operations above its rate and burst that an
	// organisation may get over all VMs for a short time.
	AllowedExcess func(rate, burst float64) float64
	// FirstTransferID numbers the transfers of this life of the VM.
	FirstTransferID uint64
}

// Controller implements proxy.Limiter.
type Controller struct {
	cfg    Config
	escrow *shares.Escrow
	taker  *ratelimit.Limiter

	started time.Duration
	changed chan struct{} // the parts of this VM have changed

	mu     sync.Mutex
	holder *shareunits.Holder
	hinted time.Duration // last reading because of a hint
	// silent holds the VMs that did not answer in time, and until when they are passed
	// over.
	silent map[ident.VMName]time.Duration
}

// New returns a controller.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg: cfg, started: cfg.Now(), changed: make(chan struct{}, 1), escrow: shares.NewEscrow(cfg.FirstTransferID), silent: map[ident.VMName]time.Duration{},
		holder: shareunits.NewHolder(shareunits.Key{VM: cfg.Self.VM, Address: cfg.Self.Address}),
	}
	c.taker = ratelimit.New(c.escrow, cfg.Now, c.send)
	return c
}

// Run keeps the buckets until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var table sync.WaitGroup
	table.Go(func() { c.keepTable(ctx) })
	defer table.Wait()
	for {
		c.refresh()
		c.send(ctx, c.escrow.BorrowRequests(c.cfg.Now()))
		wait := tickEvery
		if !c.holds() && placement.Index(c.cfg.Holders(), c.cfg.Self.VM) < 0 {
			wait = idleEvery
		}
		timer := time.NewTimer(c.pause(wait))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-c.changed: // callers may wait for the parts
			timer.Stop()
		case <-timer.C:
		}
	}
}

// pause returns the time to wait between two looks; it is short after a start.
func (c *Controller) pause(usual time.Duration) time.Duration {
	if len(c.cfg.Holders()) == 0 && c.cfg.Now() < c.started+startFor {
		return startEvery
	}
	return usual
}

// refresh passes the configuration and the VMs that hold rates to the escrow.
func (c *Controller) refresh() {
	state := c.cfg.State()
	names := make([]ident.OrganisationName, 0, len(state.Catalog.Organisations))
	for name := range state.Catalog.Organisations {
		names = append(names, name)
	}
	var near, far []ident.VMName
	for _, vm := range c.cfg.Holders() {
		switch {
		case vm.Name == c.cfg.Self.VM:
		case vm.Zone == c.cfg.Self.Zone:
			near = append(near, vm.Name)
		default:
			far = append(far, vm.Name)
		}
	}
	c.escrow.SetPeers(near, far)
	c.escrow.SetOrganisations(0, names)
	own, until := c.ShareUnits()
	part := float64(own) / shareunits.Total
	now := c.cfg.Now()
	c.escrow.SetEntitlements(now, func(name ident.OrganisationName) shares.Entitlement {
		o := state.Catalog.Organisations[name]
		return shares.Entitlement{
			Rate: o.Rate * part, Burst: o.Burst * part, DemandHorizon: shares.DemandHorizon(o.Rate, o.Burst), UsableUntil: until,
			InitialTokens: c.cfg.AllowedExcess(o.Rate, o.Burst) * part / startShare,
		}
	})
}

// borrowTimeout bounds a transfer; later answers are not credited.
const borrowTimeout = shares.LoanValidity

// send carries questions to their VMs in the background.
func (c *Controller) send(ctx context.Context, asks []shares.OutgoingRequest) {
	for _, ask := range asks {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
			defer cancel()
			var grant shares.BorrowResponse
			if err := c.cfg.Peers.Call(ctx, ask.To, peers.KindBorrow, ask.Request, &grant); err != nil {
				return // a lost transfer only lowers what may be spent
			}
			c.taker.Wake(c.escrow.HandleBorrowResponse(c.cfg.Now(), ask.To, grant))
		}()
	}
}

// HandleBorrow answers the question of another VM.
func (c *Controller) HandleBorrow(from relay.Identity, ask shares.BorrowRequest) shares.BorrowResponse {
	return c.escrow.HandleBorrowRequest(c.cfg.Now(), from.VM, from.Incarnation, ask)
}

// ShareUnits returns the parts of every rate that this VM may use, and until when.
func (c *Controller) ShareUnits() (uint32, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.ShareUnits()
}

// Table returns the table of parts as it was read last.
func (c *Controller) Table() shareunits.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, _ := c.holder.Table()
	return t
}

// BucketStates returns the state of the buckets.
func (c *Controller) BucketStates() map[ident.OrganisationName]shares.BucketState {
	return c.escrow.BucketStates(c.cfg.Now())
}
