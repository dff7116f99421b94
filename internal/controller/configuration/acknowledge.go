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
	// takeOverAfter is the time after which a watcher completes a proposal whose
	// acceptor has not; each further watcher waits takeOverStep longer.
	takeOverAfter = 2 * time.Second
	takeOverStep  = time.Second
	// maxPatience bounds the steps that are added for each earlier attempt. They give
	// a slow fleet time to acknowledge, because every attempt starts the count again.
	maxPatience = 5
)

var errAcknowledged = errors.New("the zone has acknowledged already")

func (c *Controller) wakeAcknowledger() { wake(c.ackDue) }

// acknowledger writes the acknowledgement of the zone and completes proposals of
// acceptors that died, while this VM is a watcher that reaches the platform.
func (c *Controller) acknowledger(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ackDue:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if rank, watcher := c.rank(); watcher && c.isWatching() {
			c.acknowledge(ctx, rank)
			c.takeOver(ctx)
		}
	}
}

func (c *Controller) isWatching() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watching
}

// due returns the acknowledgement that the zone can give and has not written yet.
func (c *Controller) due() (ack zoneAck, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, table, majority := c.acknowledged()
	written := c.zoneAcks[c.mesh.Self().Zone]
	return zoneAck{ballot: b, Table: table}, majority && b.after(written.ballot)
}

func (c *Controller) acknowledge(ctx context.Context, rank int) {
	ack, due := c.due()
	if due && rank > 0 {
		pause(ctx, time.Duration(rank)*writerDelay)
		ack, due = c.due()
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

// takeOver completes a pending proposal that has not been accepted for a while.
func (c *Controller) takeOver(ctx context.Context) {
	c.mu.Lock()
	pending := c.known.Version > c.core.Version() && c.mayAccept(c.mesh.Self())
	waited := c.clock.Now() - c.since
	version := c.known.Version
	patience := time.Duration(c.takeOverRank(version)) * takeOverStep
	if attempt := c.known.Attempt; attempt > 0 {
		patience += takeOverAfter + time.Duration(min(attempt, maxPatience))*takeOverStep
	}
	c.mu.Unlock()
	if !pending || waited < patience {
		return
	}
	select {
	case c.applying <- struct{}{}:
	default:
		return
	}
	c.completing.Go(func() {
		defer func() { <-c.applying }()
		ctx, cancel := context.WithTimeout(ctx, takeOverAfter)
		defer cancel()
		c.vars.Add("proposals_taken_over", 1)
		if _, err := c.complete(ctx); err != nil {
			c.log.Info().Err(err).Uint64("version", uint64(version)).Msg("pending proposal not completed")
		}
	})
}

// takeOverRank orders the watchers of all zones that may accept, differently for
// each version. The caller holds the lock.
func (c *Controller) takeOverRank(version ident.ConfigurationVersion) int {
	self := c.mesh.Self()
	watchers := append(c.otherWatchers(), watchersOf(c.mesh.Members(), self.Zone)...)
	order := func(m peer.Member) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte{byte(version), byte(version >> 8)})
		_, _ = h.Write([]byte(m.Name))
		return h.Sum64()
	}
	own, rank := order(self), 0
	for _, watcher := range watchers {
		if c.mayAccept(watcher) && order(watcher) < own {
			rank++
		}
	}
	return rank
}

// mayAccept reports whether a VM is in the share table of its zone, as an acceptor
// must be, or there is no share table yet. The caller holds the lock.
func (c *Controller) mayAccept(vm peer.Member) bool {
	table := c.core.Table(vm.Zone)
	return table.Version == 0 || slices.Contains(table.VMs, vm.Name)
}
