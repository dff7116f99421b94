package groupcontroller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/core/promotion"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Kinds of messages between VMs. Their values are part of the protocol.
const (
	kindConfirmationRequest  peer.Kind = "group-question"
	kindConfirmationResponse peer.Kind = "group-answer"
	kindRecord               peer.Kind = "group-record"
)

// listRetryDelay is the delay between attempts to list or load group objects.
const listRetryDelay = 500 * time.Millisecond

// relaysPerZone is the number of VMs in a zone, its watchers, that relay records.
const relaysPerZone = 2

// recordMessage sends the object of a group to another VM.
type recordMessage struct {
	Group   ident.GroupName   `cbor:"1,keyasint"`
	Version objectapi.Version `cbor:"2,keyasint"`
	Record  promotion.Record  `cbor:"3,keyasint"`
}

func (p *promoter) getObject(ctx context.Context) {
	object, err := p.group.controller.options.Platform.Get(ctx, objectapi.KindGroup, string(p.group.name))
	ok := err == nil
	if resultcode.Is(err, resultcode.PlatformNotFound) {
		object, ok = objectapi.Object{}, true
	}
	record, decoded := decodeRecord(object)
	p.handleEvent(func(m *promotion.Machine, now time.Duration) {
		m.GetDone(now, ok && (decoded || object.Version == 0), object.Version, record)
	})
}

func (p *promoter) putObject(ctx context.Context, a promotion.Put) {
	object, err := p.group.controller.options.Platform.Put(ctx, objectapi.KindGroup, string(p.group.name), a.Record, a.IfVersion)
	outcome, record := promotion.PutUnknown, promotion.Record{}
	switch {
	case err == nil:
		outcome, record = promotion.PutAccepted, a.Record
	case resultcode.Is(err, resultcode.PlatformConflict):
		if r, ok := decodeRecord(object); ok {
			outcome, record = promotion.PutConflict, r
		}
	}
	p.handleEvent(func(m *promotion.Machine, now time.Duration) {
		m.PutDone(now, a.Record.Writer, outcome, object.Version, record)
	})
}

func decodeRecord(object objectapi.Object) (promotion.Record, bool) {
	var record promotion.Record
	err := json.Unmarshal(object.Value, &record)
	return record, err == nil && record.Term > 0
}

// HandleObject applies a group object from the platform's watch and relays it to the VMs
// in this zone. Only the zone's watchers call it.
func (c *Controller) HandleObject(object objectapi.Object) {
	record, ok := decodeRecord(object)
	if object.Kind != objectapi.KindGroup || !ok {
		return
	}
	message := recordMessage{Group: ident.GroupName(object.Name), Version: object.Version, Record: record}
	c.applyRecord(message)
	c.sendToZone(c.options.Mesh.Members(), message)
}

func (c *Controller) applyRecord(message recordMessage) {
	if g := c.group(message.Group); g != nil {
		g.promoter.handleEvent(func(m *promotion.Machine, now time.Duration) {
			m.Object(now, message.Version, message.Record)
		})
	}
}

// listObjects reads all group objects once, because a watch reports only later changes.
func (c *Controller) listObjects(ctx context.Context) {
	for ctx.Err() == nil {
		changes, err := c.options.Platform.List(ctx, objectapi.KindGroup)
		if err == nil {
			for _, object := range changes.Objects {
				if record, ok := decodeRecord(object); ok {
					c.applyRecord(recordMessage{Group: ident.GroupName(object.Name), Version: object.Version, Record: record})
				}
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(listRetryDelay):
		}
	}
}

// sendToVMs sends the message of an action to other VMs.
func (p *promoter) sendToVMs(action any) {
	c := p.group.controller
	for _, vm := range c.options.Mesh.Members() {
		switch a := action.(type) {
		case promotion.RequestConfirmation:
			if vm.Name == a.To {
				c.send(vm, kindConfirmationRequest, a.Request)
			}
		case promotion.Respond:
			if vm.Name == a.To {
				c.send(vm, kindConfirmationResponse, a.Response)
			}
		}
	}
	if a, ok := action.(promotion.Announce); ok {
		c.announceRecord(recordMessage{Group: p.group.name, Version: a.Version, Record: a.Record})
	}
}

// announceRecord sends a record to all VMs if every VM follows every group. Otherwise it
// sends it to the VMs in this zone and to the watchers in the other zones, which relay
// it, so that a proposer does not open a connection to every VM in the fleet.
func (c *Controller) announceRecord(message recordMessage) {
	members := c.options.Mesh.Members()
	all := !c.onDemand(c.options.Configuration.Current())
	watchers := map[ident.AvailabilityZone][]peer.Member{}
	for _, vm := range members {
		if all || vm.Zone == c.self.Zone {
			c.send(vm, kindRecord, message)
		} else if _, known := watchers[vm.Zone]; !known {
			watchers[vm.Zone] = detector.Watchers(members, vm.Zone, relaysPerZone)
		}
	}
	for _, zone := range watchers {
		for _, vm := range zone {
			c.send(vm, kindRecord, message)
		}
	}
}

// receiveRecord applies a record from another VM. If this VM is a watcher and the record
// comes from another zone, it relays the record in its own zone.
func (c *Controller) receiveRecord(from peer.Member, message recordMessage) {
	c.applyRecord(message)
	if from.Zone == c.self.Zone || !c.onDemand(c.options.Configuration.Current()) {
		return
	}
	members := c.options.Mesh.Members()
	isSelf := func(m peer.Member) bool { return m.Name == c.self.Name }
	if slices.ContainsFunc(detector.Watchers(members, c.self.Zone, relaysPerZone), isSelf) {
		c.spawn(func() { c.sendToZone(members, message) })
	}
}

// sendToZone sends a record to the VMs in this zone.
func (c *Controller) sendToZone(members []peer.Member, message recordMessage) {
	for _, vm := range members {
		if vm.Zone == c.self.Zone {
			c.send(vm, kindRecord, message)
		}
	}
}

// send queues a message for another live VM. A failure to send counts as a lost message.
func (c *Controller) send(to peer.Member, kind peer.Kind, body any) {
	if to.Name != c.self.Name && to.State != peer.Dead {
		_ = c.options.Mesh.Send(c.ctx, to.Name, kind, body)
	}
}

// handleMessages registers the message handlers with the mesh.
func (c *Controller) handleMessages() {
	c.options.Mesh.Handle(kindRecord, func(from peer.Member, body cbor.RawMessage) {
		var message recordMessage
		if peer.Decode(body, &message) == nil {
			c.receiveRecord(from, message)
		}
	})
	c.options.Mesh.Handle(kindConfirmationRequest, func(from peer.Member, body cbor.RawMessage) {
		var request promotion.ConfirmationRequest
		if peer.Decode(body, &request) == nil {
			c.deliverToMachine(request.Group, func(m *promotion.Machine, now time.Duration) { m.ConfirmationRequest(now, from.Name, request) })
		}
	})
	c.options.Mesh.Handle(kindConfirmationResponse, func(from peer.Member, body cbor.RawMessage) {
		var response promotion.ConfirmationResponse
		if peer.Decode(body, &response) == nil {
			c.deliverToMachine(response.Request.Group, func(m *promotion.Machine, now time.Duration) { m.ConfirmationResponse(now, from.Name, response) })
		}
	})
}

func (c *Controller) deliverToMachine(name ident.GroupName, event func(*promotion.Machine, time.Duration)) {
	// The sender assumes that this VM follows the group, which it may not do yet. It
	// starts to, and has observations of its own when the request is repeated.
	if g := c.groupForRequest(name); g != nil {
		g.promoter.handleEvent(event)
	}
}
