package sharecontroller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// platformTimeout bounds one platform call, which normally takes milliseconds.
	platformTimeout = 2 * time.Second
	// watchTimeout is the time for which the platform holds a watch without changes.
	watchTimeout = 25 * time.Second
	// retryInterval is the time between attempts while the platform does not respond,
	// and between checks whether this VM is a watcher.
	retryInterval = time.Second
	// watchersPerZone is the number of VMs of a zone that watch the platform.
	watchersPerZone = 2
)

// knownTable is the newest known table of a zone.
type knownTable struct {
	table     shares.Table
	version   uint64
	timesSent int // number of times that its version was sent as a piggyback
}

// ZoneTable lists the VM incarnations that share a zone's rates. It does not contain
// VMs that have left or whose share units were reclaimed.
type ZoneTable struct {
	Version objectapi.Version
	Rows    []shares.Row
}

// Tables returns the newest known share tables by zone. The rows are shared and
// must not be changed.
func (c *Controller) Tables() map[ident.AvailabilityZone]ZoneTable {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[ident.AvailabilityZone]ZoneTable, len(c.tables))
	for zone, t := range c.tables {
		out[zone] = ZoneTable{Version: objectapi.Version(t.version), Rows: t.table.Rows}
	}
	return out
}

// OnTableChange registers a function that is called after a table has changed.
func (c *Controller) OnTableChange(changed func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observers = append(c.observers, changed)
}

// adoptTable passes a table of the own zone to the ledger and stores a newer one of any
// zone. readStart is the start of the platform read that returned it, or negative.
func (c *Controller) adoptTable(readStart time.Duration, zone ident.AvailabilityZone, table shares.Table, version uint64) {
	if version > 0 && !table.Valid() {
		c.counters.invalidTables.Add(1)
		return
	}
	if zone == c.self.Zone {
		c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) { l.ObserveTable(c.clock.Now(), readStart, table, version) })
	}
	c.mu.Lock()
	newer := version > c.tables[zone].version
	var observers []func()
	if newer {
		c.tables[zone] = knownTable{table: table, version: version}
		delete(c.tableRequestedAt, zone)
		observers = append(observers, c.observers...)
	}
	c.mu.Unlock()
	for _, changed := range observers {
		changed()
	}
}

func (c *Controller) adoptObject(readStart time.Duration, o objectapi.Object) {
	var table shares.Table
	if err := json.Unmarshal(o.Value, &table); err != nil {
		c.counters.invalidTables.Add(1)
		return
	}
	c.adoptTable(readStart, ident.AvailabilityZone(o.Name), table, uint64(o.Version))
}

func (c *Controller) serveReads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.reads:
			c.readTable(ctx)
		}
	}
}

// readTable reads the own zone's table from the platform.
func (c *Controller) readTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	start := c.clock.Now()
	c.counters.tableReads.Add(1)
	o, err := c.cfg.Platform.Get(ctx, objectapi.KindShareTable, string(c.self.Zone))
	switch {
	case err == nil:
		c.adoptObject(start, o)
	case resultcode.Is(err, resultcode.PlatformNotFound):
		c.adoptTable(start, c.self.Zone, shares.Table{}, 0)
	}
}

func (c *Controller) serveWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-c.writes:
			c.writeTable(ctx, w)
		}
	}
}

// writeTable stores a table by a conditional update.
func (c *Controller) writeTable(ctx context.Context, w shares.Write) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	start := c.clock.Now()
	c.counters.tableWrites.Add(1)
	o, err := c.cfg.Platform.Put(call, objectapi.KindShareTable, string(c.self.Zone), w.Table, objectapi.Version(w.BaseVersion))
	switch code := resultcode.Of(err); {
	case err == nil:
		c.handleStored(ctx, w, start, o)
	case code == resultcode.PlatformConflict:
		c.counters.tableConflicts.Add(1)
		c.resolveWrite(ctx, w, start, o)
	case code == resultcode.PlatformQuota, code == resultcode.PlatformBadRequest, code == resultcode.PlatformTooLarge:
		c.cfg.Log.Warn().Err(err).Str("zone", string(c.self.Zone)).Msg("platform rejected the share table")
		c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) { l.WriteFailed(c.clock.Now()) })
	default:
		c.counters.tableUnknown.Add(1)
		c.readBack(ctx, w)
	}
}

// readBack determines whether a write with an unknown result was stored. While the
// object still has the base version the ledger repeats the write, because the first one
// may still be delayed.
func (c *Controller) readBack(ctx context.Context, w shares.Write) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	start := c.clock.Now()
	o, err := c.cfg.Platform.Get(call, objectapi.KindShareTable, string(c.self.Zone))
	if err == nil {
		c.resolveWrite(ctx, w, start, o)
	}
}

// resolveWrite handles the current object after a conflict or a lost response. The
// writer shows whether this write was stored.
func (c *Controller) resolveWrite(ctx context.Context, w shares.Write, start time.Duration, o objectapi.Object) {
	var current shares.Table
	if json.Unmarshal(o.Value, &current) == nil && current.Writer == w.Table.Writer {
		c.handleStored(ctx, w, start, o)
		return
	}
	c.adoptObject(start, o)
}

// handleStored adopts the stored table and sends it to the VMs whose rows have changed
// and to their lessors.
func (c *Controller) handleStored(ctx context.Context, w shares.Write, start time.Duration, o objectapi.Object) {
	c.mu.Lock()
	before := c.tables[c.self.Zone].table
	c.mu.Unlock()
	c.adoptTable(start, c.self.Zone, w.Table, uint64(o.Version))
	c.cfg.Log.Info().Str("zone", string(c.self.Zone)).Uint64("version", uint64(o.Version)).
		Str("decision", c.lastDecision()).Msg("share table changed")
	affected := map[ident.VMName]bool{}
	for _, r := range w.Table.Rows {
		if old, ok := before.Row(r.VM, r.Incarnation); !ok || old != r {
			affected[r.VM], affected[r.Lessor] = true, true
		}
	}
	message := tableMessage{Zone: c.self.Zone, Version: uint64(o.Version), Table: w.Table}
	for vm := range affected {
		if vm != "" && vm != c.self.Name {
			c.send(ctx, vm, kindTable, message)
		}
	}
}

func (c *Controller) lastDecision() (last string) {
	c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) { last = l.LastDecision() })
	return last
}

// watchTables loads the tables of all zones and, while this VM is a watcher, watches
// their changes.
func (c *Controller) watchTables(ctx context.Context) {
	loaded := false
	after := objectapi.Version(0)
	for ctx.Err() == nil {
		var changes objectapi.Changes
		var err error
		switch {
		case !loaded:
			changes, err = c.cfg.Platform.List(ctx, objectapi.KindShareTable)
			loaded = err == nil
		case c.isWatcher():
			changes, err = c.cfg.Platform.Watch(ctx, []objectapi.Kind{objectapi.KindShareTable}, after, watchTimeout)
		}
		for _, o := range changes.Objects {
			c.adoptObject(-1, o)
		}
		after = max(after, changes.Version)
		if err != nil || !c.isWatcher() {
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
		}
	}
}

func (c *Controller) isWatcher() bool {
	for _, m := range detector.Watchers(c.cfg.Mesh.Members(), c.self.Zone, watchersPerZone) {
		if m.Name == c.self.Name {
			return true
		}
	}
	return false
}
