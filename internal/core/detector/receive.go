package detector

import (
	"sort"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Receive handles a message. The sender's identity is authenticated by the
// caller.
func (d *Detector) Receive(now time.Duration, from Member, m Message) []Outgoing {
	d.seen(now, from)
	learned := false
	for _, r := range m.Records {
		learned = d.merge(now, r, m.Type != Sync) || learned
	}
	switch m.Type {
	case Ping:
		out := []Outgoing{d.message(from.Name, Message{Type: Ack, Probe: m.Probe, Target: d.cfg.Self.Name})}
		return append(out, d.compare(now, from.Name, m.Hash)...)
	case PingRequest:
		if _, ok := d.members[m.Target]; !ok {
			return nil
		}
		send := d.start(now, m.Target)
		p := d.probes[d.lastProbe]
		p.origin, p.originProbe, p.indirect = from.Name, m.Probe, true
		return []Outgoing{send}
	case Ack:
		return append(d.acknowledged(now, from.Name, m), d.compare(now, from.Name, m.Hash)...)
	case Sync:
		if learned { // the sender may hold more than one message carries
			return []Outgoing{{To: from.Name, Message: Message{Type: Digest, Zones: d.zoneDigest()}}}
		}
	case Digest:
		return d.answerDigest(from.Name, m.Zones)
	}
	return nil
}

// seen learns of a sender that the view does not know, or knows as an earlier
// incarnation.
func (d *Detector) seen(now time.Duration, from Member) {
	old, known := d.members[from.Name]
	if from.Name != d.cfg.Self.Name && (!known || from.Incarnation > old.Member.Incarnation) {
		from.State = Alive
		d.store(now, Record{Member: from})
		d.announce(from.Name, "")
	}
}

// acknowledged ends a probe, and passes the answer on when the probe was made for
// another member.
func (d *Detector) acknowledged(now time.Duration, from ident.VMName, m Message) []Outgoing {
	p, ok := d.probes[m.Probe]
	if !ok || p.target != m.Target {
		return nil
	}
	delete(d.probes, m.Probe)
	if p.origin != "" {
		return []Outgoing{d.message(p.origin, Message{Type: Ack, Probe: p.originProbe, Target: m.Target})}
	}
	return nil
}

// merge takes a record of another VM's view and reports whether it was news. News
// that came in an exchange of whole zones is not announced, since the exchange
// itself reaches every VM.
func (d *Detector) merge(now time.Duration, r Record, announce bool) bool {
	name, by := r.Member.Name, r.SuspectedBy
	r.SuspectedBy = ""
	if name == d.cfg.Self.Name {
		d.refute(now, r)
		return false
	}
	old, known := d.members[name]
	switch {
	case r.Member.State > Leaving, !known && r.Member.State.gone():
		return false
	case known && r.Member.State == Suspect && sameLife(r, old.Record) && old.Member.State == Suspect:
		d.suspect(now, r, by)
		return false
	case known && !r.newer(old.Record):
		return false
	}
	d.store(now, r)
	if r.Member.State == Suspect {
		d.suspect(now, r, by)
	} else if announce {
		d.announce(name, "")
	}
	return true
}

func sameLife(a, b Record) bool {
	return a.Member.Incarnation == b.Member.Incarnation && a.Refutation == b.Refutation
}

// refute answers a suspicion or death of this VM with a higher refutation. Records
// of its other lives are left alone.
func (d *Detector) refute(now time.Duration, r Record) {
	self := d.members[d.cfg.Self.Name]
	if r.Member.Incarnation != self.Member.Incarnation || !r.newer(self.Record) {
		return
	}
	d.stats.Refutations++
	next := self.Record
	next.Refutation = r.Refutation + 1
	d.store(now, next)
	d.announce(next.Member.Name, "")
}

// compare starts an exchange of records when the views have differed for long.
func (d *Detector) compare(now time.Duration, with ident.VMName, hash uint64) []Outgoing {
	if hash == d.hash || now-d.changedAt < d.cfg.SyncDelay || now-d.syncAt < d.cfg.SyncDelay {
		return nil
	}
	d.syncAt = now
	return []Outgoing{{To: with, Message: Message{Type: Digest, Zones: d.zoneDigest()}}}
}

// Join asks a member for its view. It is used after start.
func (d *Detector) Join(with ident.VMName) []Outgoing {
	return []Outgoing{
		d.message(with, Message{Type: Ping}),
		{To: with, Message: Message{Type: Digest, Zones: d.zoneDigest()}},
	}
}

func (d *Detector) zoneDigest() map[ident.AvailabilityZone]uint64 {
	zones := make(map[ident.AvailabilityZone]uint64, len(d.zoneHash))
	for zone, hash := range d.zoneHash {
		if d.zoneCount[zone] > 0 {
			zones[zone] = hash
		}
	}
	return zones
}

// answerDigest sends the records of zones that differ, within the size limit.
// The answer to a digest always carries at least one zone, and a later digest
// asks for the rest.
func (d *Detector) answerDigest(to ident.VMName, zones map[ident.AvailabilityZone]uint64) []Outgoing {
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
