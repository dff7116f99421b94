package service

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/controller/usage"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	core "github.com/rosemarywall/rosemarywall/internal/core/usage"
	"github.com/rosemarywall/rosemarywall/internal/servicemetrics"
)

// Enabled reports whether usage is reported.
func (u UsageSettings) Enabled() bool { return u.Window > 0 && u.Late > 0 && u.Error > 0 }

// assembleUsage creates the controller of the usage reports where the settings ask for them.
func (v *VM) assembleUsage() {
	s := v.settings
	if !s.Usage.Enabled() || v.adapter.UsageReporter == nil {
		return
	}
	v.usage = usage.New(usage.Config{
		Self: v.self, Windows: core.Windows{Length: s.Usage.Window, Late: s.Usage.Late}, Lease: s.Bounds.MinHolderInterval,
		Store: v.adapter.Store, Reporter: v.adapter.UsageReporter, Fleet: v.peers, Snapshot: v.follower.Snapshot,
		OldestRunning: v.local.OldestRunning, WallClock: v.wallClock, UniqueID: v.newUniqueID, Now: v.clock.Now, Log: v.log,
	})
	v.local.OnBegun(v.usage.CountBegun)
}

// wallClock returns the wall-clock time since the start of 1970.
func (v *VM) wallClock() time.Duration { return time.Duration(v.adapter.WallClock().UnixNano()) }

// probeWallClock returns the wall-clock time for a probe response in Unix milliseconds; zero
// if usage is not reported.
func (v *VM) probeWallClock() int64 {
	if v.usage == nil {
		return 0
	}
	return v.wallClock().Milliseconds()
}

// observeUsageProbe passes the wall clock of a peer on.
func (v *VM) observeUsageProbe(sentAt time.Duration, from placement.VM, p peers.ProbeResponse) {
	if v.usage != nil {
		v.usage.ObserveProbe(sentAt, from.Name, time.Duration(p.WallClock)*time.Millisecond, p.Incarnation)
	}
}

// usageStats returns the source of the metrics of the usage reports, or nil.
func (v *VM) usageStats() func() servicemetrics.UsageStats {
	if v.usage == nil {
		return nil
	}
	return v.usage.Stats
}

const (
	// usageFlushTime limits how long a stopping VM passes its counts on after its work has
	// ended, and minUsageFlushTime is what remains of it at the end of the grace period. A
	// round trip between regions takes 12 ms.
	usageFlushTime    = time.Second
	minUsageFlushTime = 50 * time.Millisecond
)

// passUsageOn passes the counts of a stopping VM, which executes nothing any more, to another
// one.
func (v *VM) passUsageOn(order *stopOrder) {
	if v.usage == nil {
		return
	}
	left := max(minUsageFlushTime, order.at+order.schedule.Exit-v.clock.Now())
	ctx, cancel := context.WithTimeout(context.Background(), min(usageFlushTime, left))
	defer cancel()
	v.usage.Flush(ctx)
}
