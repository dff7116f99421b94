package detector

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// watchersPerZone is the number of members that hold links to other zones.
const watchersPerZone = 2

// entry is the view's knowledge about one member.
type entry struct {
	Record
	hash      uint64
	suspected time.Duration // when the suspicion began here
	by        map[ident.VMName]bool
	died      time.Duration // when the member was first seen dead or leaving
	listed    bool          // in the platform's last list
}

// probe is a question in flight.
type probe struct {
	target   ident.VMName
	deadline time.Duration // indirect probes start here
	end      time.Duration
	indirect bool
	// origin is set on a probe made for another member.
	origin      ident.VMName
	originProbe uint64
}

// update is a change that still rides on messages.
type update struct {
	name ident.VMName
	by   ident.VMName
	left int
}

// Detector is the failure detector of one VM. It is not safe for concurrent use.
type Detector struct {
	cfg        Config
	rng        *rand.Rand
	members    map[ident.VMName]*entry
	listing    []Member // the view ordered by name; nil after a change
	zoneHash   map[ident.AvailabilityZone]uint64
	zoneCount  map[ident.AvailabilityZone]int
	hash       uint64
	order      []ident.VMName // own zone, probing order
	remote     []ident.VMName // watchers of other zones, probing order
	watcher    bool           // when the last round was built
	urgent     []ident.VMName // suspects that this VM probes next
	suspects   map[ident.VMName]bool
	probes     map[uint64]*probe
	lastProbe  uint64
	nextProbe  time.Duration
	nextRemote time.Duration
	updates    []update
	listKnown  bool
	changedAt  time.Duration
	syncAt     time.Duration
	changed    bool
	rounds     int
	stats      Stats
}

// Stats counts the detector's decisions.
type Stats struct {
	Suspicions  uint64 // suspicions raised by this VM's own probes
	Refutations uint64 // suspicions against this VM that it refuted
	Deaths      uint64 // members declared dead in this view
}

// New returns a detector that knows only itself. The first probe is due at now
// plus a random part of a period.
func New(now time.Duration, cfg Config, rng *rand.Rand) *Detector {
	d := &Detector{
		cfg: cfg, rng: rng,
		members:   map[ident.VMName]*entry{},
		zoneHash:  map[ident.AvailabilityZone]uint64{},
		zoneCount: map[ident.AvailabilityZone]int{},
		suspects:  map[ident.VMName]bool{},
		probes:    map[uint64]*probe{},
		nextProbe: now + time.Duration(rng.Int64N(int64(cfg.Period))),
		lastProbe: rng.Uint64() >> 16,
	}
	d.nextRemote = d.nextProbe + cfg.Period/2
	cfg.Self.State = Alive
	d.store(now, Record{Member: cfg.Self})
	d.announce(cfg.Self.Name, "")
	return d
}

// Stats returns the counters.
func (d *Detector) Stats() Stats { return d.stats }

// Self returns this VM's own record.
func (d *Detector) Self() Member { return d.members[d.cfg.Self.Name].Member }

// Member returns the record of one member.
func (d *Detector) Member(name ident.VMName) (Member, bool) {
	e, ok := d.members[name]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns the view ordered by name. The caller may change the result. The
// order is computed once for each change of the view, because the controllers ask
// several times a second and sorting thousands of members takes a millisecond.
func (d *Detector) Members() []Member {
	if d.listing == nil {
		d.listing = make([]Member, 0, len(d.members))
		for _, e := range d.members {
			d.listing = append(d.listing, e.Member)
		}
		sort.Slice(d.listing, func(i, j int) bool { return d.listing[i].Name < d.listing[j].Name })
	}
	return slices.Clone(d.listing)
}

// TakeChanged reports whether the view changed since the last call.
func (d *Detector) TakeChanged() bool {
	changed := d.changed
	d.changed = false
	return changed
}

// store puts a record into the view and keeps the hashes.
func (d *Detector) store(now time.Duration, r Record) *entry {
	name, zone := r.Member.Name, r.Member.Zone
	old, known := d.members[name]
	e := &entry{Record: r, hash: r.hash()}
	if known {
		e.listed = old.listed
		d.zoneHash[old.Member.Zone] ^= old.hash
		d.zoneCount[old.Member.Zone]--
		d.hash ^= old.hash
	} else {
		e.listed = true // until a later list without it
		if zone == d.cfg.Self.Zone && name != d.cfg.Self.Name {
			d.insertTarget(name)
		}
	}
	d.zoneHash[zone] ^= e.hash
	d.zoneCount[zone]++
	d.hash ^= e.hash
	d.members[name] = e
	d.listing = nil
	d.changedAt, d.changed = now, true
	delete(d.suspects, name)
	if r.Member.State == Suspect {
		e.suspected, e.by = now, map[ident.VMName]bool{}
		d.suspects[name] = true
	}
	if r.Member.State.gone() {
		e.died = now
	}
	return e
}

// insertTarget adds a member at a random place of the probing order.
func (d *Detector) insertTarget(name ident.VMName) {
	i := d.rng.IntN(len(d.order) + 1)
	d.order = append(d.order, "")
	copy(d.order[i+1:], d.order[i:])
	d.order[i] = name
}

// announce queues a change for dissemination. A newer change of the same member
// replaces an older one; suspicions by different VMs travel side by side.
func (d *Detector) announce(name, by ident.VMName) {
	kept := d.updates[:0]
	for _, u := range d.updates {
		if u.name != name || (by != "" && u.by != "" && u.by != by) {
			kept = append(kept, u)
		}
	}
	n := d.zoneCount[d.cfg.Self.Zone]
	d.updates = append(kept, update{name: name, by: by, left: transmissions(n)})
}

// pickUpdates returns the records for one message, those with the most
// transmissions left first.
func (d *Detector) pickUpdates() []Record {
	if len(d.updates) == 0 {
		return nil
	}
	sort.SliceStable(d.updates, func(i, j int) bool { return d.updates[i].left > d.updates[j].left })
	var out []Record
	size := 0
	kept := d.updates[:0]
	for _, u := range d.updates {
		e, ok := d.members[u.name]
		if !ok {
			continue
		}
		r := e.Record
		r.SuspectedBy = u.by
		if size+r.size() <= d.cfg.MaxUpdateBytes {
			size += r.size()
			out = append(out, r)
			u.left--
		}
		if u.left > 0 {
			kept = append(kept, u)
		}
	}
	d.updates = kept
	return out
}

// Leave announces that this VM stops. The returned messages tell some members at
// once; the rest learn it from them.
func (d *Detector) Leave(now time.Duration) []Outgoing {
	r := d.members[d.cfg.Self.Name].Record
	r.Member.State = Leaving
	r.Refutation++
	d.store(now, r)
	d.announce(r.Member.Name, "")
	var out []Outgoing
	for _, name := range d.helpers("", 2*d.cfg.IndirectProbes) {
		out = append(out, d.message(name, Message{Type: Ping}))
	}
	return out
}

// AddHints takes members that the platform's list, a seed or a handshake names.
// Unknown members are added as alive; the list also supports a suspicion of a
// member that it no longer contains.
func (d *Detector) AddHints(now time.Duration, members []Member, completeList bool) {
	listed := map[ident.VMName]bool{}
	for _, m := range members {
		listed[m.Name] = true
		old, known := d.members[m.Name]
		if m.Name == d.cfg.Self.Name || m.State == Dead || m.State == Suspect {
			continue
		}
		if !known && m.State == Leaving {
			continue
		}
		if !known || m.Incarnation > old.Member.Incarnation {
			m.State = Alive
			d.store(now, Record{Member: m})
			d.announce(m.Name, "")
		}
	}
	if !completeList {
		return
	}
	d.listKnown = true
	for name, e := range d.members {
		e.listed = listed[name]
	}
}
