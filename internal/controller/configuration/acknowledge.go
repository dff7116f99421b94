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
	// writerDelay gives the first watcher of a zone the time to write the zone's
	// acknowledgement before the second one does.
	writerDelay = 200 * time.Millisecond
	// takeoverDelay is the time after which a watcher completes a proposal whose
	// acceptor has not; each further watcher waits takeOverStep longer.
	takeoverDelay = 2 * time.Second
	takeoverStep  = time.Second
	// maxTakeoverSteps bounds the steps that are added for each earlier attempt. They give
	// a slow fleet time to acknowledge, because every attempt starts the count again.
	maxTakeoverSteps = 5
)

var errAcknowledged = errors.New("the zone has acknowledged already")

func (c *Controller) signalAcknowledger() { signal(c.ackDue) }

// runAcknowledger writes the acknowledgement of the zone and completes proposals of
// acceptors that died, while this VM is a watcher that reaches the platform.
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

// pendingAck returns the acknowledgement that the zone can give and has not written yet.
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

// takeOverProposal completes a pending proposal that has not been accepted for a while.
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

// takeoverRank orders the watchers of all zones that may accept, differently for
// each version. The caller holds the lock.
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

// isEligibleAcceptor reports whether a VM is in the share table of its zone, as an acceptor
// must be, or there is no share table yet. The caller holds the lock.
func (c *Controller) isEligibleAcceptor(vm peer.Member) bool {
	table := c.state.Table(vm.Zone)
	return table.Version == 0 || slices.Contains(table.VMs, vm.Name)
}
