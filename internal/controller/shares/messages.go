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
	kindBorrowRequest  peer.Kind = "share-ask"
	kindBorrowResponse peer.Kind = "share-grant"
	kindLeaseRequest   peer.Kind = "share-lease"
	kindLeaseGrant     peer.Kind = "share-confirm"
	kindTable          peer.Kind = "share-table"
	kindTableRequest   peer.Kind = "share-want"
	kindVersions       peer.Kind = "share-versions"
)

const (
	// versionsPerMessage bounds the size of the piggyback to about 100 bytes.
	versionsPerMessage = 4
	// tableRequestTimeout is the time after which a request for a table is repeated.
	tableRequestTimeout = time.Second
)

// tableMessage contains the table of a zone.
type tableMessage struct {
	Zone    ident.AvailabilityZone `cbor:"1,keyasint"`
	Version uint64                 `cbor:"2,keyasint"`
	Table   shares.Table           `cbor:"3,keyasint"`
}

func (c *Controller) registerHandlers() {
	m := c.cfg.Mesh
	registerHandler(m, kindBorrowRequest, c.handleBorrowRequest)
	registerHandler(m, kindBorrowResponse, c.handleBorrowResponse)
	registerHandler(m, kindLeaseRequest, c.handleLeaseRequest)
	registerHandler(m, kindLeaseGrant, func(from peer.Member, g shares.LeaseGrant) {
		c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) { l.HandleLeaseGrant(c.clock.Now(), from.Name, g) })
	})
	registerHandler(m, kindTable, func(_ peer.Member, t tableMessage) { c.adoptTable(-1, t.Zone, t.Table, t.Version) })
	registerHandler(m, kindTableRequest, c.handleTableRequest)
	m.Piggyback(kindVersions, func(ident.VMName) []byte { return c.versions() }, c.handleVersions)
}

// registerHandler registers a receiver of decoded bodies. A body that cannot be decoded
// is treated as a lost message.
func registerHandler[T any](m peer.Mesh, kind peer.Kind, receive func(peer.Member, T)) {
	m.Handle(kind, func(from peer.Member, body cbor.RawMessage) {
		var message T
		if peer.Decode(body, &message) == nil {
			receive(from, message)
		}
	})
}

// send passes a message to the mesh. A message that cannot be sent is treated as lost,
// which the protocol tolerates.
func (c *Controller) send(ctx context.Context, to ident.VMName, kind peer.Kind, body any) {
	if err := c.cfg.Mesh.Send(ctx, to, kind, body); err != nil {
		c.counters.unsent.Add(1)
	}
}

func (c *Controller) sendBorrowRequests(ctx context.Context, requests []shares.OutgoingRequest) {
	for _, r := range requests {
		c.counters.transfersRequested.Add(int64(len(r.Request.Transfers)))
		c.send(ctx, r.To, kindBorrowRequest, r.Request)
	}
}

func (c *Controller) handleBorrowRequest(from peer.Member, m shares.BorrowRequest) {
	response := c.node.HandleBorrowRequest(c.clock.Now(), from.Name, from.Incarnation, m)
	if len(response.Grants) == 0 {
		return
	}
	for _, g := range response.Grants {
		c.counters.lent.Add(g.Amount)
	}
	c.send(context.Background(), from.Name, kindBorrowResponse, response)
}

func (c *Controller) handleBorrowResponse(from peer.Member, m shares.BorrowResponse) {
	for _, g := range m.Grants {
		c.counters.borrowed.Add(g.Amount)
	}
	c.limiter.Wake(c.node.HandleBorrowResponse(c.clock.Now(), from.Name, m))
}

func (c *Controller) handleLeaseRequest(from peer.Member, request shares.LeaseRequest) {
	var grant shares.LeaseGrant
	var ok bool
	c.node.WithLedger(c.clock.Now(), func(l *shares.Ledger) {
		grant, ok = l.HandleLeaseRequest(c.clock.Now(), from.Name, from.Incarnation, request)
	})
	if ok {
		c.counters.leasesConfirmed.Add(1)
		c.send(context.Background(), from.Name, kindLeaseGrant, grant)
	}
}

// versions returns the piggyback: the versions of the own zone's table and of those
// that were sent least often. New tables therefore come first, and the others take
// turns.
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
		if x.timesSent != y.timesSent {
			return x.timesSent < y.timesSent
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
		t.timesSent++
		c.tables[zone] = t
	}
	bytes, err := cbor.Marshal(out)
	if err != nil {
		return nil
	}
	return bytes
}

// handleVersions requests the tables of which the sender has a newer version.
func (c *Controller) handleVersions(from peer.Member, payload []byte) {
	var received map[ident.AvailabilityZone]uint64
	if peer.Decode(payload, &received) != nil {
		return
	}
	now := c.clock.Now()
	var outdated []ident.AvailabilityZone
	c.mu.Lock()
	for zone, version := range received {
		requestedAt, requested := c.tableRequestedAt[zone]
		if version > c.tables[zone].version && (!requested || now-requestedAt > tableRequestTimeout) {
			c.tableRequestedAt[zone] = now
			outdated = append(outdated, zone)
		}
	}
	c.mu.Unlock()
	if len(outdated) > 0 {
		c.send(context.Background(), from.Name, kindTableRequest, outdated)
	}
}

func (c *Controller) handleTableRequest(from peer.Member, zones []ident.AvailabilityZone) {
	for _, zone := range zones {
		c.mu.Lock()
		t, ok := c.tables[zone]
		c.mu.Unlock()
		if ok && t.version > 0 {
			c.send(context.Background(), from.Name, kindTable, tableMessage{Zone: zone, Version: t.version, Table: t.table})
		}
	}
}
