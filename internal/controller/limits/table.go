package limits

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/core/shareunits"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// KindShareUnits and shareUnitsName identify the table of share units in the store.
const (
	KindShareUnits objectapi.Kind = "rosemarywall-parts"
	shareUnitsName string         = "fleet"
)

const (
	// tableInterval is the time between steps of syncTable.
	tableInterval = 200 * time.Millisecond
	// tableTimeout bounds a store call.
	tableTimeout = 800 * time.Millisecond
	// tableRetryInterval is the additional delay after a failed store call.
	tableRetryInterval = 500 * time.Millisecond
)

// Store stores the table of share units.
type Store interface {
	Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error)
	Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error)
}

// ObservePeerVersion records the response of another VM to a request sent at sentAt: the
// version of the table that the VM has read, and the age of that read.
func (c *Controller) ObservePeerVersion(sentAt time.Duration, version uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.ObserveRelayed(sentAt, version, age)
	if !c.holder.NeedsTable() {
		return
	}
	if _, known := c.holder.Table(); version > known && c.cfg.Now() >= c.hintedReadAt+hintedReadInterval {
		c.hintedReadAt = c.cfg.Now()
		c.holder.MarkUncertain()
	}
}

// hintedReadInterval is the shortest time between reads for newer versions that other
// VMs have read. The table changes several times when VMs start together.
const hintedReadInterval = time.Second

// TableVersion returns the version of the table that was read last and the time since
// it was known to be current.
func (c *Controller) TableVersion() (version uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	readAt, version := c.holder.LastRead()
	return version, c.cfg.Now() - readAt
}

// runTable reads and writes the table of share units until ctx ends.
func (c *Controller) runTable(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.syncTable(ctx); err != nil {
			c.cfg.Log.Debug().Err(err).Msg("share unit table not reached")
			clock.Sleep(ctx, tableRetryInterval)
		}
		clock.Sleep(ctx, c.interval(tableInterval))
	}
}

// syncTable reads the table if a read is due, and makes at most one write.
func (c *Controller) syncTable(ctx context.Context) error {
	serving := c.serving()
	if len(serving) == 0 {
		return nil // the holders are not known yet
	}
	own := slices.ContainsFunc(serving, func(k shareunits.Key) bool { return k.VM == c.cfg.Self.VM })
	rank := c.rank()
	c.mu.Lock()
	c.holder.SetServing(c.cfg.Now(), own)
	due := c.holder.ReadDue(c.cfg.Now(), rank)
	c.mu.Unlock()
	if due {
		if err := c.readTable(ctx); err != nil {
			return err
		}
	}
	c.mu.Lock()
	next, base, ok := c.holder.NextWrite(c.cfg.Now(), shareunits.View{Alive: c.isAlive, Serving: serving, Coordinator: rank == 0})
	var table shareunits.Table
	if c.holder.NeedsTable() {
		table, _ = c.holder.Table()
	}
	c.mu.Unlock()
	c.probeRows(table)
	if !ok {
		return nil
	}
	return c.writeTable(ctx, next, objectapi.Version(base))
}

func (c *Controller) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	sentAt := c.cfg.Now()
	o, err := c.cfg.Store.Get(ctx, KindShareUnits, shareUnitsName)
	if resultcode.Is(err, resultcode.PlatformNotFound) {
		c.adoptTable(sentAt, shareunits.Table{}, uint64(o.Version)) // of the era of the store
		return nil
	}
	if err != nil {
		return err
	}
	return c.adoptObject(sentAt, o)
}

func (c *Controller) adoptObject(sentAt time.Duration, o objectapi.Object) error {
	var t shareunits.Table
	if err := o.Decode(&t); err != nil {
		c.cfg.Log.Error().Err(err).Uint64("revision", uint64(o.Version)).Msg("share unit table ignored")
		return err
	}
	c.adoptTable(sentAt, t, uint64(o.Version))
	return nil
}

func (c *Controller) adoptTable(sentAt time.Duration, t shareunits.Table, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, _ := c.holder.ShareUnits()
	if !c.holder.ObserveTable(c.cfg.Now(), sentAt, t, version) {
		c.cfg.Log.Warn().Uint64("revision", version).Msg("share unit table ignored")
		return
	}
	after, _ := c.holder.ShareUnits()
	if !c.tableRead {
		c.tableRead, c.rowAtStart = true, after > 0
	}
	if after != before {
		select {
		case c.changed <- struct{}{}:
		default:
		}
		c.cfg.Log.Info().Uint32("parts", after).Uint32("before", before).Int("rows", len(t.Rows)).Uint64("revision", version).Msg("share units changed")
	}
}

// writeTable stores a table by a conditional update. After a conflict the current table
// is adopted. After a lost response the table is read again before the next write.
func (c *Controller) writeTable(ctx context.Context, t shareunits.Table, base objectapi.Version) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	t.Writer = c.cfg.NewWriterID()
	sentAt := c.cfg.Now()
	o, err := c.cfg.Store.Put(ctx, KindShareUnits, shareUnitsName, t, base)
	switch {
	case err == nil:
		c.adoptTable(sentAt, t, uint64(o.Version))
		return nil
	case resultcode.Is(err, resultcode.PlatformConflict) && o.Version > 0:
		return c.adoptObject(sentAt, o)
	}
	c.mu.Lock()
	c.holder.MarkUncertain()
	c.mu.Unlock()
	return err
}

// isAlive reports whether a VM responds at the address of its row. c.mu must be held.
func (c *Controller) isAlive(k shareunits.Key) bool {
	address, ok := c.cfg.Address(k.VM)
	return ok && address == k.Address
}

// rank returns the position of this VM among the holders.
func (c *Controller) rank() int {
	return placement.RankOf(c.cfg.Holders(), "rates", c.cfg.Self.VM)
}

// serving returns the keys of the VMs that are to hold share units.
func (c *Controller) serving() []shareunits.Key {
	var keys []shareunits.Key
	for _, vm := range c.cfg.Holders() {
		if vm.Name == c.cfg.Self.VM {
			keys = append(keys, shareunits.Key{VM: vm.Name, Address: c.cfg.Self.Address})
		} else if address, ok := c.cfg.Address(vm.Name); ok {
			keys = append(keys, shareunits.Key{VM: vm.Name, Address: address})
		}
	}
	return keys
}

// probeRows requests probes of the VMs in the table, so that the share units of a dead
// one are reclaimed.
func (c *Controller) probeRows(t shareunits.Table) {
	var names []ident.VMName
	for _, r := range t.Rows {
		if r.VM != c.cfg.Self.VM {
			names = append(names, r.VM)
		}
	}
	c.cfg.ProbeVMs(names)
}
