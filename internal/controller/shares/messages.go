package sharecontroller

import (
	"context"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// Kinds of messages.
const (
	kindAsk      peer.Kind = "share-ask"
	kindGrant    peer.Kind = "share-grant"
	kindLease    peer.Kind = "share-lease"
	kindConfirm  peer.Kind = "share-confirm"
	kindTable    peer.Kind = "share-table"
	kindWant     peer.Kind = "share-want"
	kindVersions peer.Kind = "share-versions"
)

const (
	// versionsPerMessage bounds the piggyback to about 100 bytes.
	versionsPerMessage = 4
	// wantPatience is the time after which a request for a table is repeated.
	wantPatience = time.Second
)

// tableMessage carries the table of a zone.
type tableMessage struct {
	Zone    ident.AvailabilityZone `cbor:"1,keyasint"`
	Version uint64                 `cbor:"2,keyasint"`
	Table   shares.Table           `cbor:"3,keyasint"`
}

func (c *Controller) register() {
	m := c.cfg.Mesh
	handle(m, kindAsk, c.receiveAsk)
	handle(m, kindGrant, c.receiveGrant)
	handle(m, kindLease, c.receiveLease)
	handle(m, kindConfirm, func(from peer.Member, g shares.LeaseGrant) {
		c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) { l.HandleLeaseGrant(c.clock.Now(), from.Name, g) })
	})
	handle(m, kindTable, func(_ peer.Member, t tableMessage) { c.learn(-1, t.Zone, t.Table, t.Version) })
	handle(m, kindWant, c.receiveWant)
	m.Piggyback(kindVersions, func(ident.VMName) []byte { return c.versions() }, c.receiveVersions)
}

// handle registers a receiver of decoded bodies. A body that cannot be decoded is
// a lost message.
func handle[T any](m peer.Mesh, kind peer.Kind, receive func(peer.Member, T)) {
	m.Handle(kind, func(from peer.Member, body cbor.RawMessage) {
		var message T
		if peer.Decode(body, &message) == nil {
			receive(from, message)
		}
	})
}

// send passes a message to the mesh. A message that cannot be sent is a lost
// message, which the protocol tolerates.
func (c *Controller) send(ctx context.Context, to ident.VMName, kind peer.Kind, body any) {
	if err := c.cfg.Mesh.Send(ctx, to, kind, body); err != nil {
		c.counters.unsent.Add(1)
	}
}

func (c *Controller) sendAsks(ctx context.Context, asks []shares.OutgoingRequest) {
	for _, a := range asks {
		c.counters.asks.Add(int64(len(a.Request.Transfers)))
		c.send(ctx, a.To, kindAsk, a.Request)
	}
}

func (c *Controller) receiveAsk(from peer.Member, m shares.BorrowRequest) {
	answer := c.node.HandleBorrowRequest(c.clock.Now(), from.Name, from.Incarnation, m)
	if len(answer.Grants) == 0 {
		return
	}
	for _, g := range answer.Grants {
		c.counters.lent.Add(g.Amount)
	}
	c.send(context.Background(), from.Name, kindGrant, answer)
}

func (c *Controller) receiveGrant(from peer.Member, m shares.BorrowResponse) {
	for _, g := range m.Grants {
		c.counters.borrowed.Add(g.Amount)
	}
	c.taker.Wake(c.node.HandleBorrowResponse(c.clock.Now(), from.Name, m))
}

func (c *Controller) receiveLease(from peer.Member, q shares.LeaseRequest) {
	var grant shares.LeaseGrant
	var ok bool
	c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) {
		grant, ok = l.HandleLeaseRequest(c.clock.Now(), from.Name, from.Incarnation, q)
	})
	if ok {
		c.counters.confirmed.Add(1)
		c.send(context.Background(), from.Name, kindConfirm, grant)
	}
}

// versions returns the piggyback: the version of the own zone's table, of those
// learned last, and of one other in turn.
func (c *Controller) versions() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	zones := make([]ident.AvailabilityZone, 0, len(c.tables))
	for zone := range c.tables {
		zones = append(zones, zone)
	}
	if len(zones) == 0 {
		return nil
	}
	sort.Slice(zones, func(i, j int) bool {
		x, y := c.tables[zones[i]], c.tables[zones[j]]
		if x.told != y.told {
			return x.told < y.told // told least often: new tables first, then in turn
		}
		return zones[i] < zones[j]
	})
	out := map[ident.AvailabilityZone]uint64{}
	if own, ok := c.tables[c.self.Zone]; ok {
		out[c.self.Zone] = own.version
	}
	for _, zone := range zones[:min(versionsPerMessage-len(out), len(zones))] {
		t := c.tables[zone]
		out[zone] = t.version
		t.told++
		c.tables[zone] = t
	}
	bytes, err := cbor.Marshal(out)
	if err != nil {
		return nil
	}
	return bytes
}

// receiveVersions asks the sender for tables that it has in a newer version.
func (c *Controller) receiveVersions(from peer.Member, payload []byte) {
	var theirs map[ident.AvailabilityZone]uint64
	if peer.Decode(payload, &theirs) != nil {
		return
	}
	now := c.clock.Now()
	var want []ident.AvailabilityZone
	c.mu.Lock()
	for zone, version := range theirs {
		at, asked := c.asked[zone]
		if version > c.tables[zone].version && (!asked || now-at > wantPatience) {
			c.asked[zone] = now
			want = append(want, zone)
		}
	}
	c.mu.Unlock()
	if len(want) > 0 {
		c.send(context.Background(), from.Name, kindWant, want)
	}
}

func (c *Controller) receiveWant(from peer.Member, zones []ident.AvailabilityZone) {
	for _, zone := range zones {
		c.mu.Lock()
		t, ok := c.tables[zone]
		c.mu.Unlock()
		if ok && t.version > 0 {
			c.send(context.Background(), from.Name, kindTable, tableMessage{Zone: zone, Version: t.version, Table: t.table})
		}
	}
}
