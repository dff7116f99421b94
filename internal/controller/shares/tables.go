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
	// platformTimeout bounds one call, which normally takes milliseconds.
	platformTimeout = 2 * time.Second
	// watchTimeout is the time that a watch waits at the platform.
	watchTimeout = 25 * time.Second
	// retryEvery is the time between attempts while the platform does not answer,
	// and between checks whether this VM is a watcher.
	retryEvery = time.Second
	// watchersPerZone is the number of VMs of a zone that watch the platform.
	watchersPerZone = 2
)

// knownTable is the newest known table of a zone.
type knownTable struct {
	table   shares.Table
	version uint64
	told    int // times that its version was sent as a piggyback
}

// ZoneTable lists the VM incarnations that share a zone's rates. A VM that has
// left or whose parts were reclaimed is not in it.
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

// learn takes a table. readStart is the start of the platform read that returned
// it, or negative.
func (c *Controller) learn(readStart time.Duration, zone ident.AvailabilityZone, table shares.Table, version uint64) {
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
		delete(c.asked, zone)
		observers = append(observers, c.observers...)
	}
	c.mu.Unlock()
	for _, changed := range observers {
		changed()
	}
}

func (c *Controller) learnObject(readStart time.Duration, o objectapi.Object) {
	var table shares.Table
	if err := json.Unmarshal(o.Value, &table); err != nil {
		c.counters.invalidTables.Add(1)
		return
	}
	c.learn(readStart, ident.AvailabilityZone(o.Name), table, uint64(o.Version))
}

func (c *Controller) serveReads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.reads:
			c.read(ctx)
		}
	}
}

// read gets the own zone's table from the platform.
func (c *Controller) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	start := c.clock.Now()
	c.counters.tableReads.Add(1)
	o, err := c.cfg.Platform.Get(ctx, objectapi.KindShareTable, string(c.self.Zone))
	switch {
	case err == nil:
		c.learnObject(start, o)
	case resultcode.Is(err, resultcode.PlatformNotFound):
		c.learn(start, c.self.Zone, shares.Table{}, 0)
	}
}

func (c *Controller) serveWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-c.writes:
			c.write(ctx, w)
		}
	}
}

// write stores a table if it is still based on the current one.
func (c *Controller) write(ctx context.Context, w shares.Write) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	start := c.clock.Now()
	c.counters.tableWrites.Add(1)
	o, err := c.cfg.Platform.Put(call, objectapi.KindShareTable, string(c.self.Zone), w.Table, objectapi.Version(w.BaseVersion))
	switch code := resultcode.Of(err); {
	case err == nil:
		c.stored(ctx, w, start, o)
	case code == resultcode.PlatformConflict:
		c.counters.tableConflicts.Add(1)
		c.afterUnclear(ctx, w, start, o)
	case code == resultcode.PlatformQuota, code == resultcode.PlatformBadRequest, code == resultcode.PlatformTooLarge:
		c.cfg.Log.Warn().Err(err).Str("zone", string(c.self.Zone)).Msg("platform refused a share table")
		c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) { l.WriteFailed(c.clock.Now()) })
	default:
		c.counters.tableUnknown.Add(1)
		c.readBack(ctx, w)
	}
}

// readBack finds out whether a write whose answer was lost was stored. When the
// object still has the base version the core repeats the write, because the first
// one may still be on its way.
func (c *Controller) readBack(ctx context.Context, w shares.Write) {
	call, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	start := c.clock.Now()
	o, err := c.cfg.Platform.Get(call, objectapi.KindShareTable, string(c.self.Zone))
	if err == nil {
		c.afterUnclear(ctx, w, start, o)
	}
}

// afterUnclear takes the current object after a conflict or a lost answer.
func (c *Controller) afterUnclear(ctx context.Context, w shares.Write, start time.Duration, o objectapi.Object) {
	var current shares.Table
	if json.Unmarshal(o.Value, &current) == nil && current.Writer == w.Table.Writer {
		c.stored(ctx, w, start, o)
		return
	}
	c.learnObject(start, o)
}

// stored tells the VMs whose rows have changed, and their lessors.
func (c *Controller) stored(ctx context.Context, w shares.Write, start time.Duration, o objectapi.Object) {
	c.mu.Lock()
	before := c.tables[c.self.Zone].table
	c.mu.Unlock()
	c.learn(start, c.self.Zone, w.Table, uint64(o.Version))
	c.cfg.Log.Info().Str("zone", string(c.self.Zone)).Uint64("version", uint64(o.Version)).
		Str("decision", c.decision()).Msg("share table changed")
	concerned := map[ident.VMName]bool{}
	for _, r := range w.Table.Rows {
		if old, ok := before.Row(r.VM, r.Incarnation); !ok || old != r {
			concerned[r.VM], concerned[r.Lessor] = true, true
		}
	}
	message := tableMessage{Zone: c.self.Zone, Version: uint64(o.Version), Table: w.Table}
	for vm := range concerned {
		if vm != "" && vm != c.self.Name {
			c.send(ctx, vm, kindTable, message)
		}
	}
}

func (c *Controller) decision() (last string) {
	c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) { last = l.LastDecision() })
	return last
}

// watch loads the tables of all zones and, while this VM is a watcher, follows
// their changes.
func (c *Controller) watch(ctx context.Context) {
	loaded := false
	after := objectapi.Version(0)
	for ctx.Err() == nil {
		var changes objectapi.Changes
		var err error
		switch {
		case !loaded:
			changes, err = c.cfg.Platform.List(ctx, objectapi.KindShareTable)
			loaded = err == nil
		case c.watcher():
			changes, err = c.cfg.Platform.Watch(ctx, []objectapi.Kind{objectapi.KindShareTable}, after, watchTimeout)
		}
		for _, o := range changes.Objects {
			c.learnObject(-1, o)
		}
		after = max(after, changes.Version)
		if err != nil || !c.watcher() {
			select {
			case <-ctx.Done():
			case <-time.After(retryEvery):
			}
		}
	}
}

func (c *Controller) watcher() bool {
	for _, m := range detector.Watchers(c.cfg.Mesh.Members(), c.self.Zone, watchersPerZone) {
		if m.Name == c.self.Name {
			return true
		}
	}
	return false
}
