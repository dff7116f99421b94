// Package limits enforces the rates of organisations over all VMs.
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
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/relay"
)

// initialTokensDivisor divides the allowed excess into the initial tokens of the buckets
// of a VM, so that three starts within one window stay within the excess.
const initialTokensDivisor = 3

const (
	// tickInterval is the time between refreshes of the buckets.
	tickInterval = 50 * time.Millisecond
	// idleTickInterval replaces tickInterval on a VM that holds no share units and is not
	// to hold any. It gets share units only after seconds.
	idleTickInterval = 500 * time.Millisecond
	// startupTickInterval replaces both and tableInterval until the holders are known, for
	// at most startupDuration: after a loss of all VMs all clients reconnect at once.
	startupTickInterval = 10 * time.Millisecond
	startupDuration     = 2 * time.Second
)

// PeerClient sends requests to other VMs.
type PeerClient interface {
	Call(ctx context.Context, to ident.VMName, kind relay.Kind, request, response any) error
}

// Config holds the dependencies of a Controller.
type Config struct {
	Self     relay.Identity
	Peers    PeerClient
	Store    Store
	Snapshot func() *storesync.Snapshot
	// Holders returns the VMs that are to hold share units. The others send a request to
	// one of them for each operation.
	Holders func() []placement.VM
	// Address returns the address of a VM that responds.
	Address func(ident.VMName) (string, bool)
	// ProbeVMs requests probes of VMs in addition to the hubs.
	ProbeVMs func([]ident.VMName)
	// NewWriterID returns a string that is unique to each write of all VMs.
	NewWriterID func() string
	Now         func() time.Duration
	Log         zerolog.Logger
	// AllowedExcess returns the number of operations above rate and burst that an
	// organisation may briefly be admitted over all VMs.
	AllowedExcess func(rate, burst float64) float64
	// DelegateSmallBursts makes holders delegate their shares of organisations with a small
	// burst to the holder that all VMs ask. Without it that holder borrows tokens. It admits
	// more of small rates, and costs service after a kill of holders: their shares are held
	// for a second; see docs/design/rates.md.
	DelegateSmallBursts bool
	// FirstTransferID is the first number for transfers of this incarnation of the VM.
	FirstTransferID uint64
}

// Controller implements proxy.Limiter.
type Controller struct {
	cfg     Config
	escrow  *shares.Escrow
	limiter *ratelimit.Limiter

	startedAt time.Duration
	changed   chan struct{} // signals that the share units of this VM have changed

	mu           sync.Mutex
	holder       *shareunits.Holder
	tableRead    bool
	rowAtStart   bool          // the first table that was read has share units of this VM
	hintedReadAt time.Duration // time of the last read for a newer version that another VM has read
	// unresponsiveUntil holds the VMs that did not respond in time, and until when they
	// are tried last.
	unresponsiveUntil map[ident.VMName]time.Duration
	refusals          map[refusalKey]refusal // by holders, of requests of this VM
	leads             leads
}

// New returns a Controller. Run must be called to start it.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg: cfg, startedAt: cfg.Now(), changed: make(chan struct{}, 1), escrow: shares.NewEscrow(cfg.FirstTransferID), unresponsiveUntil: map[ident.VMName]time.Duration{},
		refusals: map[refusalKey]refusal{},
		holder:   shareunits.NewHolder(shareunits.Key{VM: cfg.Self.VM, Address: cfg.Self.Address}),
	}
	c.limiter = ratelimit.New(c.escrow, cfg.Now, c.sendBorrowRequests)
	return c
}

// Run refreshes the buckets and the table until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var table sync.WaitGroup
	table.Go(func() { recovery.Loop(ctx, c.cfg.Log, "share unit table", c.runTable) })
	defer table.Wait()
	for {
		c.refreshEscrow()
		c.sendBorrowRequests(ctx, c.escrow.BorrowRequests(c.cfg.Now()))
		wait := tickInterval
		if !c.holdsShareUnits() && placement.Index(c.cfg.Holders(), c.cfg.Self.VM) < 0 {
			wait = idleTickInterval
		}
		timer := time.NewTimer(c.interval(wait))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-c.changed: // requests may be waiting for the share units
			timer.Stop()
		case <-timer.C:
		}
	}
}

// interval returns usual, or startupTickInterval shortly after the start.
func (c *Controller) interval(usual time.Duration) time.Duration {
	if len(c.cfg.Holders()) == 0 && c.cfg.Now() < c.startedAt+startupDuration {
		return startupTickInterval
	}
	return usual
}

// refreshEscrow passes the configuration, the holders and the share units to the escrow.
func (c *Controller) refreshEscrow() {
	snapshot := c.cfg.Snapshot()
	names := make([]ident.OrganisationName, 0, len(snapshot.Catalog.Organisations))
	for name := range snapshot.Catalog.Organisations {
		names = append(names, name)
	}
	var sameZone, otherZones []ident.VMName
	for _, vm := range c.cfg.Holders() {
		switch {
		case vm.Name == c.cfg.Self.VM:
		case vm.Zone == c.cfg.Self.Zone:
			sameZone = append(sameZone, vm.Name)
		default:
			otherZones = append(otherZones, vm.Name)
		}
	}
	c.escrow.SetPeers(sameZone, otherZones)
	c.escrow.SetOrganisations(0, names)
	own, until := c.ShareUnits()
	fraction := float64(own) / shareunits.Total
	now := c.cfg.Now()
	holders := c.cfg.Holders()
	accrueFrom := c.accrueFrom(now, own > 0 && len(names) > 0)
	c.escrow.SetEntitlements(now, func(name ident.OrganisationName) shares.Entitlement {
		o := snapshot.Catalog.Organisations[name]
		small := c.cfg.DelegateSmallBursts && servedByOneHolder(o.Burst, len(holders))
		accrueFrom := accrueFrom
		if small { // delegations to a former incarnation have ended then
			accrueFrom = max(accrueFrom, c.startedAt+shares.LoanValidity)
		}
		return shares.Entitlement{
			Rate: o.Rate * fraction, Burst: o.Burst * fraction, DemandHorizon: shares.DemandHorizon(o.Rate, o.Burst), UsableUntil: until,
			InitialTokens: c.cfg.AllowedExcess(o.Rate, o.Burst) * fraction / initialTokensDivisor,
			AccrueFrom:    accrueFrom, Delegable: small, Lead: small && own > 0 && c.leads.contains(holders, c.cfg.Self.VM, name),
		}
	})
}

// accrueFrom returns the time from which buckets that are entitled for the first time
// accrue. If this VM had a row when it first read the table, no VM has used its share units
// since the start: a former incarnation at this address had ended.
func (c *Controller) accrueFrom(now time.Duration, entitled bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if entitled && c.rowAtStart {
		c.rowAtStart = false // an organisation that is added later has not accrued
		return c.startedAt
	}
	return now
}

// borrowTimeout bounds a borrow request; later responses are not credited.
const borrowTimeout = shares.LoanValidity

// sendBorrowRequests sends requests in the background.
func (c *Controller) sendBorrowRequests(ctx context.Context, requests []shares.OutgoingRequest) {
	for _, request := range requests {
		recovery.Go(c.cfg.Log, "borrow tokens", func() {
			ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
			defer cancel()
			var response shares.BorrowResponse
			if err := c.cfg.Peers.Call(ctx, request.To, peers.KindBorrow, request.Request, &response); err != nil {
				return // a lost transfer only lowers the number of tokens
			}
			c.limiter.Wake(c.escrow.HandleBorrowResponse(c.cfg.Now(), request.To, response))
		})
	}
}

// HandleBorrow lends tokens to another VM.
func (c *Controller) HandleBorrow(from relay.Identity, request shares.BorrowRequest) shares.BorrowResponse {
	request.Address = from.Address
	return c.escrow.HandleBorrowRequest(c.cfg.Now(), from.VM, from.Incarnation, request)
}

// ShareUnits returns the share units that this VM may use, and until when.
func (c *Controller) ShareUnits() (uint32, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder.ShareUnits()
}

// Table returns the table of share units that was read last.
func (c *Controller) Table() shareunits.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, _ := c.holder.Table()
	return t
}

// BucketStates returns snapshots of the buckets.
func (c *Controller) BucketStates() map[ident.OrganisationName]shares.BucketState {
	return c.escrow.BucketStates(c.cfg.Now())
}
