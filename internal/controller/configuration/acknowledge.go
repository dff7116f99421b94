package configcontroller

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

const (
	// writerDelay is the head start of the first watcher of a zone before the second
	// one also tries to write the zone's acknowledgement.
	writerDelay = 200 * time.Millisecond
	// takeoverDelay is the base delay before a watcher takes over a proposal that its
	// acceptor has not completed. It is also the timeout of the takeover.
	takeoverDelay = 2 * time.Second
	// takeoverStep is added once for each watcher that precedes this VM in the order of
	// takeoverRank, and once for each attempt.
	takeoverStep = time.Second
	// maxTakeoverSteps limits the steps for attempts. The steps give a slow fleet time
	// to acknowledge, because every attempt restarts the count of acknowledgements.
	maxTakeoverSteps = 5
)

var errAcknowledged = errors.New("the zone acknowledgement is already written")

func (c *Controller) signalAcknowledger() { signal(c.ackDue) }

// runAcknowledger writes the zone's acknowledgements and completes the proposals of
// failed acceptors, while this VM is a watcher and can reach the platform.
func (c *Controller) runAcknowledger(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ackDue:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if rank, watcher := c.watcherRank(); watcher && c.isWatching() {
			c.acknowledge(ctx, rank)
			c.takeOverProposal(ctx)
		}
	}
}

func (c *Controller) isWatching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watching
}

// pendingAck returns the acknowledgement of this VM's zone and reports whether it is
// due: a majority of the zone has acknowledged and it has not been written yet.
func (c *Controller) pendingAck() (ack zoneAck, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, table, majority := c.zoneAcknowledged()
	written := c.zoneAcks[c.mesh.Self().Zone]
	return zoneAck{ballot: b, Table: table}, majority && b.after(written.ballot)
}

func (c *Controller) acknowledge(ctx context.Context, rank int) {
	ack, due := c.pendingAck()
	if due && rank > 0 {
		sleep(ctx, time.Duration(rank)*writerDelay)
		ack, due = c.pendingAck()
	}
	if !due {
		return
	}
	zone := c.mesh.Self().Zone
	_, err := objectapi.Update(ctx, c.platform, c.writer, objectapi.KindZoneAck, string(zone), func(v *zoneAck, exists bool) error {
		if exists && !ack.after(v.ballot) {
			return errAcknowledged
		}
		v.ballot, v.Table = ack.ballot, ack.Table
		return nil
	})
	if err != nil && !errors.Is(err, errAcknowledged) {
		c.log.Warn().Err(err).Uint64("version", uint64(ack.Version)).Msg("zone acknowledgement not written")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ack.after(c.zoneAcks[zone].ballot) {
		c.zoneAcks[zone] = ack
	}
}

// takeOverProposal completes a proposal that has been pending for the takeover delay of
// this VM.
func (c *Controller) takeOverProposal(ctx context.Context) {
	c.mu.Lock()
	pending := c.proposal.Version > c.state.Version() && c.isEligibleAcceptor(c.mesh.Self())
	waited := c.clock.Now() - c.ballotSince
	version := c.proposal.Version
	delay := time.Duration(c.takeoverRank(version)) * takeoverStep
	if attempt := c.proposal.Attempt; attempt > 0 {
		delay += takeoverDelay + time.Duration(min(attempt, maxTakeoverSteps))*takeoverStep
	}
	c.mu.Unlock()
	if !pending || waited < delay {
		return
	}
	select {
	case c.applySemaphore <- struct{}{}:
	default:
		return
	}
	c.completions.Go(func() {
		defer func() { <-c.applySemaphore }()
		ctx, cancel := context.WithTimeout(ctx, takeoverDelay)
		defer cancel()
		c.vars.Add("proposals_taken_over", 1)
		if _, err := c.completeProposal(ctx); err != nil {
			c.log.Info().Err(err).Uint64("version", uint64(version)).Msg("pending proposal not completed")
		}
	})
}

// takeoverRank returns the position of this VM in an order of all watchers that are
// eligible acceptors. The order differs between versions. The caller holds c.mu.
func (c *Controller) takeoverRank(version ident.ConfigurationVersion) int {
	self := c.mesh.Self()
	watchers := append(c.watchersOfOtherZones(), watchersOf(c.mesh.Members(), self.Zone)...)
	order := func(m peer.Member) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte{byte(version), byte(version >> 8)})
		_, _ = h.Write([]byte(m.Name))
		return h.Sum64()
	}
	own, rank := order(self), 0
	for _, watcher := range watchers {
		if c.isEligibleAcceptor(watcher) && order(watcher) < own {
			rank++
		}
	}
	return rank
}

// isEligibleAcceptor reports whether a VM is in the share table of its zone, as an
// acceptor must be, or the zone has no share table yet. The caller holds c.mu.
func (c *Controller) isEligibleAcceptor(vm peer.Member) bool {
	table := c.state.Table(vm.Zone)
	return table.Version == 0 || slices.Contains(table.VMs, vm.Name)
}
