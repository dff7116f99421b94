package usage

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Source is one run of a VM that executes statements.
type Source struct {
	VM          ident.VMName      `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
}

// Receiver is what the receiving VM knows when a message arrives.
type Receiver struct {
	// KnowsSource is set if the VM knows the source as a VM of the fleet.
	KnowsSource bool
	// KnowsOrganisation reports whether an organisation is part of its configuration.
	KnowsOrganisation func(ident.OrganisationName) bool
	// Newest is the newest window that has begun.
	Newest int64
}

// Collector merges the totals of the sources.
type Collector struct {
	epoch   uint64
	windows map[int64]map[Source]Totals
	final   map[ident.VMName]finalMark
	settled int64
	// combine merges two totals of one source.
	combine  func(old, received uint64) uint64
	received uint64
}

// finalMark is the newest window to which a source adds nothing any more.
type finalMark struct {
	incarnation ident.Incarnation
	through     int64
}

// NewCollector returns a Collector that holds nothing. The epoch must differ from that of
// every other collector and must not be zero.
func NewCollector(epoch uint64) *Collector {
	return &Collector{
		epoch: epoch, windows: map[int64]map[Source]Totals{}, final: map[ident.VMName]finalMark{},
		combine: func(old, received uint64) uint64 { return max(old, received) },
	}
}

// Receive merges a message.
func (c *Collector) Receive(from Source, m Message, receiver Receiver) Response {
	r := Response{Epoch: c.epoch, Settled: c.settled}
	if !receiver.KnowsSource {
		r.Code = resultcode.UsageSourceUnknown
		return r
	}
	if m.Base != 0 && m.Base != c.epoch {
		r.Code = resultcode.UsageBaseUnknown // what the message holds is merged, but does not complete a window
	}
	for _, s := range m.Snapshots {
		r.Refused = append(r.Refused, c.receive(from, s, receiver)...)
	}
	for _, relayed := range m.Relayed {
		r.Refused = append(r.Refused, c.receive(relayed.Source, relayed.Snapshot, receiver)...)
	}
	if mark := c.final[from.VM]; r.Code == 0 && len(r.Refused) == 0 && (mark.incarnation != from.Incarnation || m.FinalThrough > mark.through) {
		c.final[from.VM] = finalMark{from.Incarnation, m.FinalThrough}
	}
	c.prune(receiver.Newest - retainedWindows)
	return r
}

// receive merges a snapshot and returns what is refused.
func (c *Collector) receive(from Source, s Snapshot, receiver Receiver) []Refusal {
	if s.Window > receiver.Newest {
		return []Refusal{{Window: s.Window, Code: resultcode.UsageWindowInFuture}}
	}
	var refused []Refusal
	for _, organisation := range c.merge(from, s, receiver.KnowsOrganisation) {
		refused = append(refused, Refusal{Window: s.Window, Organisation: organisation, Code: resultcode.UsageOrganisationUnknown})
	}
	return refused
}

// Relay returns the totals of the sources that are gone, for the VM that reports after this
// one, in a fixed order.
func (c *Collector) Relay(gone func(Source) bool) []RelayedSnapshot {
	var relayed []RelayedSnapshot
	for window, sources := range c.windows {
		for source, totals := range sources {
			if len(totals) > 0 && gone(source) {
				relayed = append(relayed, RelayedSnapshot{Source: source, Snapshot: Snapshot{Window: window, Totals: maps.Clone(totals)}})
			}
		}
	}
	slices.SortFunc(relayed, func(a, b RelayedSnapshot) int {
		return cmp.Or(cmp.Compare(a.Snapshot.Window, b.Snapshot.Window), cmp.Compare(a.Source.VM, b.Source.VM),
			cmp.Compare(a.Source.Incarnation, b.Source.Incarnation))
	})
	return relayed
}

// merge merges a snapshot and returns the organisations that are refused.
func (c *Collector) merge(from Source, s Snapshot, knows func(ident.OrganisationName) bool) []ident.OrganisationName {
	if s.Window <= c.settled {
		return nil
	}
	if c.windows[s.Window] == nil {
		c.windows[s.Window] = map[Source]Totals{}
	}
	totals := c.windows[s.Window][from]
	if totals == nil {
		totals = Totals{}
		c.windows[s.Window][from] = totals
	}
	var refused []ident.OrganisationName
	for organisation, n := range s.Totals {
		if !knows(organisation) {
			refused = append(refused, organisation)
			continue
		}
		old := totals[organisation]
		totals[organisation] = c.combine(old, n)
		c.received += totals[organisation] - old
	}
	slices.Sort(refused)
	return refused
}

// prune drops the windows up to and including one.
func (c *Collector) prune(through int64) {
	for window := range c.windows {
		if window <= through {
			delete(c.windows, window)
		}
	}
}

// Settle drops the windows up to and including one, which are recorded or can no longer be.
func (c *Collector) Settle(through int64) {
	c.prune(through)
	c.settled = max(c.settled, through)
}

// Totals returns the totals of a window over all sources.
func (c *Collector) Totals(window int64) Totals {
	sum := Totals{}
	for _, totals := range c.windows[window] {
		for organisation, n := range totals {
			sum[organisation] += n
		}
	}
	return sum
}

// HasTotals reports whether there are totals of any window.
func (c *Collector) HasTotals() bool { return len(c.windows) > 0 }

// Oldest returns the oldest window with totals from a window on.
func (c *Collector) Oldest(from int64) (oldest int64, ok bool) {
	for window := range c.windows {
		if window >= from && (!ok || window < oldest) {
			oldest, ok = window, true
		}
	}
	return oldest, ok
}

// Missing returns the VMs whose final snapshot of a window is missing, in order: the hubs,
// and the live VMs that have sent totals of the window.
func (c *Collector) Missing(window int64, hubs []ident.VMName, alive func(ident.VMName) bool) []ident.VMName {
	var missing []ident.VMName
	check := func(vm ident.VMName) {
		if mark, ok := c.final[vm]; !ok || mark.through < window {
			missing = append(missing, vm)
		}
	}
	for _, vm := range hubs {
		check(vm)
	}
	for source := range c.windows[window] {
		if !slices.Contains(hubs, source.VM) && alive(source.VM) {
			check(source.VM)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}

// NewestFinal returns the newest window that a source has completed.
func (c *Collector) NewestFinal() int64 {
	newest := int64(0)
	for _, mark := range c.final {
		newest = max(newest, mark.through)
	}
	return newest
}

// Received returns the number of requests that were received before their window was settled.
func (c *Collector) Received() uint64 { return c.received }
