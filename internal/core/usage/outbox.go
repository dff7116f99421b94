package usage

import (
	"maps"
	"slices"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Snapshot holds totals of one window of the source that sends it.
type Snapshot struct {
	Window int64  `cbor:"1,keyasint"`
	Totals Totals `cbor:"2,keyasint"`
}

// Message passes totals of a source on. The connection identifies the source.
type Message struct {
	// Base is the epoch of the collector that has acknowledged all other totals of the
	// source; zero if the message holds all of them.
	Base uint64 `cbor:"1,keyasint,omitempty"`
	// FinalThrough is the newest window to which the source adds nothing any more: with this
	// message all totals up to it are passed on.
	FinalThrough int64      `cbor:"2,keyasint"`
	Snapshots    []Snapshot `cbor:"3,keyasint,omitempty"`
	// Relayed holds totals of sources that are gone, which the sender has collected. Totals of
	// a source that runs are not relayed, since it sends them itself.
	Relayed []RelayedSnapshot `cbor:"4,keyasint,omitempty"`
}

// RelayedSnapshot holds totals of a source that another VM passes on.
type RelayedSnapshot struct {
	Source   Source   `cbor:"1,keyasint"`
	Snapshot Snapshot `cbor:"2,keyasint"`
}

// Refusal says why totals stay with their source, which sends them again.
type Refusal struct {
	Window int64 `cbor:"1,keyasint"`
	// Organisation is empty if the whole snapshot is refused.
	Organisation ident.OrganisationName `cbor:"2,keyasint,omitempty"`
	Code         resultcode.Code        `cbor:"3,keyasint"`
}

// Response is the response of a collector.
type Response struct {
	// Code is set if the whole message is refused.
	Code resultcode.Code `cbor:"1,keyasint,omitempty"`
	// Epoch identifies the collector, which holds nothing when it starts.
	Epoch uint64 `cbor:"2,keyasint"`
	// Settled is the newest window that is recorded or can no longer be.
	Settled int64     `cbor:"3,keyasint,omitempty"`
	Refused []Refusal `cbor:"4,keyasint,omitempty"`
}

// Outbox decides what one VM sends to the collector of another one, or to its own.
type Outbox struct {
	base         uint64
	acknowledged map[int64]Totals
	// relayed holds the sums of the acknowledged snapshots of other sources.
	relayed      map[relayedKey]uint64
	finalThrough int64
}

type relayedKey struct {
	source Source
	window int64
}

// Next returns the message to send: the totals, own and relayed ones, that the collector has
// not acknowledged. It is false if there is nothing to send.
func (o *Outbox) Next(c *Counter, finalThrough int64, relayed []RelayedSnapshot) (Message, bool) {
	m := Message{Base: o.base, FinalThrough: finalThrough}
	for _, window := range slices.Sorted(maps.Keys(c.windows)) {
		changed := Totals{}
		for organisation, n := range c.windows[window] {
			if n > o.acknowledged[window][organisation] {
				changed[organisation] = n
			}
		}
		if len(changed) > 0 {
			m.Snapshots = append(m.Snapshots, Snapshot{Window: window, Totals: changed})
		}
	}
	for _, s := range relayed {
		if s.Snapshot.Totals.Sum() > o.relayed[relayedKey{s.Source, s.Snapshot.Window}] {
			m.Relayed = append(m.Relayed, s)
		}
	}
	return m, len(m.Snapshots) > 0 || len(m.Relayed) > 0 || finalThrough > o.finalThrough
}

// Acknowledge applies the response to a message.
func (o *Outbox) Acknowledge(c *Counter, m Message, r Response) {
	if r.Code != 0 {
		if r.Code == resultcode.UsageBaseUnknown {
			*o = Outbox{}
		}
		return
	}
	o.base = r.Epoch
	refused := map[int64]map[ident.OrganisationName]bool{}
	for _, f := range r.Refused {
		if refused[f.Window] == nil {
			refused[f.Window] = map[ident.OrganisationName]bool{}
		}
		refused[f.Window][f.Organisation] = true
	}
	for _, s := range m.Snapshots {
		if s.Window > r.Settled && !refused[s.Window][""] { // totals of a settled window are late
			o.add(s, refused[s.Window])
		}
	}
	for _, s := range m.Relayed {
		if len(refused[s.Snapshot.Window]) > 0 {
			continue
		}
		if o.relayed == nil {
			o.relayed = map[relayedKey]uint64{}
		}
		o.relayed[relayedKey{s.Source, s.Snapshot.Window}] = s.Snapshot.Totals.Sum()
	}
	maps.DeleteFunc(o.relayed, func(k relayedKey, _ uint64) bool { return k.window <= r.Settled })
	if len(r.Refused) == 0 {
		o.finalThrough = max(o.finalThrough, m.FinalThrough)
	}
	c.settle(r.Settled, o.acknowledged)
	for window := range o.acknowledged {
		if _, kept := c.windows[window]; !kept {
			delete(o.acknowledged, window)
		}
	}
}

func (o *Outbox) add(s Snapshot, refused map[ident.OrganisationName]bool) {
	if o.acknowledged == nil {
		o.acknowledged = map[int64]Totals{}
	}
	if o.acknowledged[s.Window] == nil {
		o.acknowledged[s.Window] = Totals{}
	}
	for organisation, n := range s.Totals {
		if !refused[organisation] {
			o.acknowledged[s.Window][organisation] = n
		}
	}
}
