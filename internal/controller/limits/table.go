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

// KindShareUnits and nameParts identify the table of parts in the store.
const (
	KindShareUnits objectapi.Kind = "rosemarywall-parts"
	nameParts      string         = "fleet"
)

const (
	// tableTick is the time between looks at the table.
	tableTick = 200 * time.Millisecond
	// tableTimeout bounds a call of the store.
	tableTimeout = 800 * time.Millisecond
	// tableRetry is the pause after a call that failed.
	tableRetry = 500 * time.Millisecond
)

// Store holds the table.
type Store interface {
	Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error)
	Put(ctx context.Context, kind objectapi.Kind, name string, value any, ifVersion objectapi.Version) (objectapi.Object, error)
}

// ObservePeerVersion takes what another VM has answered to a question sent at askedAt: the version
// of the table that it has read, and the age of its reading.
func (c *Controller) ObservePeerVersion(askedAt time.Duration, version uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.ObserveRelayed(askedAt, version, age)
	if !c.holder.NeedsTable() {
		return
	}
	if _, known := c.holder.Table(); version > known && c.cfg.Now() >= c.hinted+hintPause {
		c.hinted = c.cfg.Now()
		c.holder.MarkUncertain()
	}
}

// hintPause is the time between readings for newer versions that others have read;
// the table changes several times when VMs start together.
const hintPause = time.Second

// TableVersion returns the version of the table that was read last and the age of its
// proof.
func (c *Controller) TableVersion() (version uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	readAt, version := c.holder.LastRead()
	return version, c.cfg.Now() - readAt
}

// keepTable reads and writes the table of parts until ctx ends.
func (c *Controller) keepTable(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.stepTable(ctx); err != nil {
			c.cfg.Log.Debug().Err(err).Msg("table of parts not reached")
			clock.Sleep(ctx, tableRetry)
		}
		clock.Sleep(ctx, c.pause(tableTick))
	}
}

func (c *Controller) stepTable(ctx context.Context) error {
	serving := c.serving()
	if len(serving) == 0 {
		return nil // the hubs are not known yet
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
	next, base, ok := c.holder.NextWrite(c.cfg.Now(), shareunits.View{Alive: c.alive, Serving: serving, Coordinator: rank == 0})
	var table shareunits.Table
	if c.holder.NeedsTable() {
		table, _ = c.holder.Table()
	}
	c.mu.Unlock()
	c.watchRows(table)
	if !ok {
		return nil
	}
	return c.writeTable(ctx, next, objectapi.Version(base))
}

func (c *Controller) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	sentAt := c.cfg.Now()
	o, err := c.cfg.Store.Get(ctx, KindShareUnits, nameParts)
	if resultcode.Is(err, resultcode.PlatformNotFound) {
		c.take(sentAt, shareunits.Table{}, 0)
		return nil
	}
	if err != nil {
		return err
	}
	return c.takeObject(sentAt, o)
}

func (c *Controller) takeObject(sentAt time.Duration, o objectapi.Object) error {
	var t shareunits.Table
	if err := o.Decode(&t); err != nil {
		c.cfg.Log.Error().Err(err).Uint64("revision", uint64(o.Version)).Msg("table of parts ignored")
		return err
	}
	c.take(sentAt, t, uint64(o.Version))
	return nil
}

func (c *Controller) take(sentAt time.Duration, t shareunits.Table, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, _ := c.holder.ShareUnits()
	if !c.holder.ObserveTable(c.cfg.Now(), sentAt, t, version) {
		c.cfg.Log.Warn().Uint64("revision", version).Msg("table of parts ignored")
		return
	}
	if after, _ := c.holder.ShareUnits(); after != before {
		select {
		case c.changed <- struct{}{}:
		default:
		}
		c.cfg.Log.Info().Uint32("parts", after).Uint32("before", before).Int("rows", len(t.Rows)).Uint64("revision", version).Msg("rate parts changed")
	}
}

// writeTable stores a table by conditional update. After a conflict the present
// table is taken; after a lost answer it is read again before the next write.
func (c *Controller) writeTable(ctx context.Context, t shareunits.Table, base objectapi.Version) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	t.Writer = c.cfg.NewWriterID()
	sentAt := c.cfg.Now()
	o, err := c.cfg.Store.Put(ctx, KindShareUnits, nameParts, t, base)
	switch {
	case err == nil:
		c.take(sentAt, t, uint64(o.Version))
		return nil
	case resultcode.Is(err, resultcode.PlatformConflict) && o.Version > 0:
		return c.takeObject(sentAt, o)
	}
	c.mu.Lock()
	c.holder.MarkUncertain()
	c.mu.Unlock()
	return err
}

// alive reports whether a VM answers at the address of its row; c.mu is held.
func (c *Controller) alive(k shareunits.Key) bool {
	address, ok := c.cfg.Address(k.VM)
	return ok && address == k.Address
}

// rank returns this VM's place among those that hold rates.
func (c *Controller) rank() int {
	return placement.RankOf(c.cfg.Holders(), "rates", c.cfg.Self.VM)
}

// serving returns the keys of the VMs that are to hold rates.
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

// watchRows has the VMs that hold parts probed, so that those of a dead one return.
func (c *Controller) watchRows(t shareunits.Table) {
	var names []ident.VMName
	for _, r := range t.Rows {
		if r.VM != c.cfg.Self.VM {
			names = append(names, r.VM)
		}
	}
	c.cfg.ProbeVMs(names)
}
