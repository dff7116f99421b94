package detector

import (
	"sort"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Receive handles a message and returns the messages to send. The caller must have
// authenticated the sender.
func (d *Detector) Receive(now time.Duration, from Member, m Message) []Outgoing {
	d.observeSender(now, from)
	changed := false
	for _, r := range m.Records {
		changed = d.mergeRecord(now, r, m.Type != Sync) || changed
	}
	switch m.Type {
	case Ping:
		out := []Outgoing{d.newMessage(from.Name, Message{Type: Ack, Probe: m.Probe, Target: d.cfg.Self.Name})}
		return append(out, d.compareHash(now, from.Name, m.Hash)...)
	case PingRequest:
		if _, ok := d.members[m.Target]; !ok {
			return nil
		}
		send := d.startProbe(now, m.Target)
		p := d.probes[d.lastProbe]
		p.requester, p.requesterProbe, p.indirect = from.Name, m.Probe, true
		return []Outgoing{send}
	case Ack:
		return append(d.handleAck(now, from.Name, m), d.compareHash(now, from.Name, m.Hash)...)
	case Sync:
		if changed { // the sender may have more records than fit into one message
			return []Outgoing{{To: from.Name, Message: Message{Type: Digest, Zones: d.zoneDigest()}}}
		}
	case Digest:
		return d.handleDigest(from.Name, m.Zones)
	}
	return nil
}

// observeSender adds the sender of a message to the view if the view does not contain it
// or contains an earlier incarnation.
func (d *Detector) observeSender(now time.Duration, from Member) {
	old, known := d.members[from.Name]
	if from.Name != d.cfg.Self.Name && (!known || from.Incarnation > old.Member.Incarnation) {
		from.State = Alive
		d.setRecord(now, Record{Member: from})
		d.queueUpdate(from.Name, "")
	}
}

// handleAck ends a probe. If the probe was made on request of another member, it
// forwards the acknowledgement.
func (d *Detector) handleAck(now time.Duration, from ident.VMName, m Message) []Outgoing {
	p, ok := d.probes[m.Probe]
	if !ok || p.target != m.Target {
		return nil
	}
	delete(d.probes, m.Probe)
	if p.requester != "" {
		return []Outgoing{d.newMessage(p.requester, Message{Type: Ack, Probe: p.requesterProbe, Target: m.Target})}
	}
	return nil
}

// mergeRecord merges a record of another VM's view and reports whether it changed the
// view beyond an added suspicion. Changes from an exchange of whole zones are not
// announced, because the exchanges themselves reach every VM.
func (d *Detector) mergeRecord(now time.Duration, r Record, announce bool) bool {
	name, suspecter := r.Member.Name, r.SuspectedBy
	r.SuspectedBy = ""
	if name == d.cfg.Self.Name {
		d.refute(now, r)
		return false
	}
	old, known := d.members[name]
	switch {
	case r.Member.State > Leaving, !known && r.Member.State.inactive():
		return false
	case known && r.Member.State == Suspect && sameIncarnation(r, old.Record) && old.Member.State == Suspect:
		d.addSuspicion(now, r, suspecter)
		return false
	case known && !r.overrides(old.Record):
		return false
	}
	d.setRecord(now, r)
	if r.Member.State == Suspect {
		d.addSuspicion(now, r, suspecter)
	} else if announce {
		d.queueUpdate(name, "")
	}
	return true
}

func sameIncarnation(a, b Record) bool {
	return a.Member.Incarnation == b.Member.Incarnation && a.Refutation == b.Refutation
}

// refute overrides a record of this VM as suspect or dead by incrementing the refutation
// counter. Records of other incarnations are ignored.
func (d *Detector) refute(now time.Duration, r Record) {
	self := d.members[d.cfg.Self.Name]
	if r.Member.Incarnation != self.Member.Incarnation || !r.overrides(self.Record) {
		return
	}
	d.stats.Refutations++
	next := self.Record
	next.Refutation = r.Refutation + 1
	d.setRecord(now, next)
	d.queueUpdate(next.Member.Name, "")
}

// compareHash starts an exchange of records if the hash differs and neither the view has
// changed nor an exchange was started for SyncDelay.
func (d *Detector) compareHash(now time.Duration, with ident.VMName, hash uint64) []Outgoing {
	if hash == d.hash || now-d.changedAt < d.cfg.SyncDelay || now-d.lastSyncAt < d.cfg.SyncDelay {
		return nil
	}
	d.lastSyncAt = now
	return []Outgoing{{To: with, Message: Message{Type: Digest, Zones: d.zoneDigest()}}}
}

// Join requests the view of a member after this VM has started.
func (d *Detector) Join(with ident.VMName) []Outgoing {
	return []Outgoing{
		d.newMessage(with, Message{Type: Ping}),
		{To: with, Message: Message{Type: Digest, Zones: d.zoneDigest()}},
	}
}

// zoneDigest returns the hashes of all zones that have members.
func (d *Detector) zoneDigest() map[ident.AvailabilityZone]uint64 {
	zones := make(map[ident.AvailabilityZone]uint64, len(d.zoneHash))
	for zone, hash := range d.zoneHash {
		if d.zoneCount[zone] > 0 {
			zones[zone] = hash
		}
	}
	return zones
}

// handleDigest returns the records of the zones that differ, within the size limit. If
// any zone differs, the response contains at least one whole zone; the rest is requested
// by a later digest.
func (d *Detector) handleDigest(to ident.VMName, zones map[ident.AvailabilityZone]uint64) []Outgoing {
	differing := map[ident.AvailabilityZone]bool{}
	var names []ident.AvailabilityZone
	for zone, hash := range d.zoneHash {
		if hash != zones[zone] && d.zoneCount[zone] > 0 {
			names = append(names, zone)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	d.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	count := 0
	for _, zone := range names {
		if count > 0 && count+d.zoneCount[zone] > d.cfg.MaxSyncRecords {
			break
		}
		count += d.zoneCount[zone]
		differing[zone] = true
	}
	if count == 0 {
		return nil
	}
	records := make([]Record, 0, count)
	for _, e := range d.members {
		if differing[e.Member.Zone] {
			records = append(records, e.Record)
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Member.Name < records[j].Member.Name })
	return []Outgoing{{To: to, Message: Message{Type: Sync, Records: records}}}
}
