package detector

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// watchersPerZone is the number of members of a zone that probe other zones.
const watchersPerZone = 2

// memberEntry is the state kept for one member of the view.
type memberEntry struct {
	Record
	hash           uint64
	suspectedAt    time.Duration // when this VM first recorded the suspicion
	suspecters     map[ident.VMName]bool
	inactiveSince  time.Duration // when this VM recorded the member as dead or leaving
	inPlatformList bool          // in the latest list from the platform
}

// probe is a probe in flight.
type probe struct {
	target     ident.VMName
	indirectAt time.Duration // when indirect probes start
	deadline   time.Duration
	indirect   bool
	// requester is set for a probe made on request of another member.
	requester      ident.VMName
	requesterProbe uint64
}

// update is a change that is still piggybacked on messages.
type update struct {
	name          ident.VMName
	suspectedBy   ident.VMName
	transmitsLeft int
}

// Detector is the failure detector of one VM. It is not safe for concurrent use.
type Detector struct {
	cfg             Config
	rng             *rand.Rand
	members         map[ident.VMName]*memberEntry
	sortedMembers   []Member // cached view ordered by name; nil after a change
	zoneHash        map[ident.AvailabilityZone]uint64
	zoneCount       map[ident.AvailabilityZone]int
	hash            uint64
	probeOrder      []ident.VMName // members of this zone in probing order
	remoteOrder     []ident.VMName // watchers of other zones in probing order
	isWatcher       bool           // as of the last call of buildRemoteOrder
	confirmQueue    []ident.VMName // suspects to probe next, to confirm the suspicion
	suspects        map[ident.VMName]bool
	probes          map[uint64]*probe
	lastProbe       uint64
	nextProbeAt     time.Duration
	nextRemoteAt    time.Duration
	updates         []update
	hasPlatformList bool
	changedAt       time.Duration
	lastSyncAt      time.Duration
	viewChanged     bool
	probeCount      int
	stats           Stats
}

// Stats counts the detector's decisions.
type Stats struct {
	Suspicions  uint64 // suspicions raised by this VM's own probes
	Refutations uint64 // suspicions against this VM that it refuted
	Deaths      uint64 // members declared dead in this view
}

// New returns a detector whose view contains only this VM. The first probe is due after
// a random fraction of a period.
func New(now time.Duration, cfg Config, rng *rand.Rand) *Detector {
	d := &Detector{
		cfg: cfg, rng: rng,
		members:     map[ident.VMName]*memberEntry{},
		zoneHash:    map[ident.AvailabilityZone]uint64{},
		zoneCount:   map[ident.AvailabilityZone]int{},
		suspects:    map[ident.VMName]bool{},
		probes:      map[uint64]*probe{},
		nextProbeAt: now + time.Duration(rng.Int64N(int64(cfg.Period))),
		lastProbe:   rng.Uint64() >> 16,
	}
	d.nextRemoteAt = d.nextProbeAt + cfg.Period/2
	cfg.Self.State = Alive
	d.setRecord(now, Record{Member: cfg.Self})
	d.queueUpdate(cfg.Self.Name, "")
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

// Members returns the view ordered by name. The caller may modify the result. The view
// is sorted once per change, because the controllers call Members several times per
// second and sorting thousands of members takes a millisecond.
func (d *Detector) Members() []Member {
	if d.sortedMembers == nil {
		d.sortedMembers = make([]Member, 0, len(d.members))
		for _, e := range d.members {
			d.sortedMembers = append(d.sortedMembers, e.Member)
		}
		sort.Slice(d.sortedMembers, func(i, j int) bool { return d.sortedMembers[i].Name < d.sortedMembers[j].Name })
	}
	return slices.Clone(d.sortedMembers)
}

// TakeChanged reports whether the view has changed since the previous call.
func (d *Detector) TakeChanged() bool {
	changed := d.viewChanged
	d.viewChanged = false
	return changed
}

// setRecord adds or replaces a record in the view and updates the hashes.
func (d *Detector) setRecord(now time.Duration, r Record) *memberEntry {
	name, zone := r.Member.Name, r.Member.Zone
	old, known := d.members[name]
	e := &memberEntry{Record: r, hash: r.hash()}
	if known {
		e.inPlatformList = old.inPlatformList
		d.zoneHash[old.Member.Zone] ^= old.hash
		d.zoneCount[old.Member.Zone]--
		d.hash ^= old.hash
	} else {
		e.inPlatformList = true // until a list without it arrives
		if zone == d.cfg.Self.Zone && name != d.cfg.Self.Name {
			d.insertProbeTarget(name)
		}
	}
	d.zoneHash[zone] ^= e.hash
	d.zoneCount[zone]++
	d.hash ^= e.hash
	d.members[name] = e
	d.sortedMembers = nil
	d.changedAt, d.viewChanged = now, true
	delete(d.suspects, name)
	if r.Member.State == Suspect {
		e.suspectedAt, e.suspecters = now, map[ident.VMName]bool{}
		d.suspects[name] = true
	}
	if r.Member.State.inactive() {
		e.inactiveSince = now
	}
	return e
}

// insertProbeTarget inserts a member at a random position of the probing order.
func (d *Detector) insertProbeTarget(name ident.VMName) {
	i := d.rng.IntN(len(d.probeOrder) + 1)
	d.probeOrder = append(d.probeOrder, "")
	copy(d.probeOrder[i+1:], d.probeOrder[i:])
	d.probeOrder[i] = name
}

// queueUpdate queues a change for dissemination. It replaces earlier changes of the same
// member, except that suspicions by different VMs are kept side by side.
func (d *Detector) queueUpdate(name, suspectedBy ident.VMName) {
	kept := d.updates[:0]
	for _, u := range d.updates {
		if u.name != name || (suspectedBy != "" && u.suspectedBy != "" && u.suspectedBy != suspectedBy) {
			kept = append(kept, u)
		}
	}
	n := d.zoneCount[d.cfg.Self.Zone]
	d.updates = append(kept, update{name: name, suspectedBy: suspectedBy, transmitsLeft: transmitLimit(n)})
}

// takeUpdates returns the queued records for one message, those with the most
// transmissions left first, and counts the transmission.
func (d *Detector) takeUpdates() []Record {
	if len(d.updates) == 0 {
		return nil
	}
	sort.SliceStable(d.updates, func(i, j int) bool { return d.updates[i].transmitsLeft > d.updates[j].transmitsLeft })
	var out []Record
	size := 0
	kept := d.updates[:0]
	for _, u := range d.updates {
		e, ok := d.members[u.name]
		if !ok {
			continue
		}
		r := e.Record
		r.SuspectedBy = u.suspectedBy
		if size+r.size() <= d.cfg.MaxUpdateBytes {
			size += r.size()
			out = append(out, r)
			u.transmitsLeft--
		}
		if u.transmitsLeft > 0 {
			kept = append(kept, u)
		}
	}
	d.updates = kept
	return out
}

// Leave announces that this VM is shutting down. The returned messages notify some
// members immediately, and the change spreads from them.
func (d *Detector) Leave(now time.Duration) []Outgoing {
	r := d.members[d.cfg.Self.Name].Record
	r.Member.State = Leaving
	r.Refutation++
	d.setRecord(now, r)
	d.queueUpdate(r.Member.Name, "")
	var out []Outgoing
	for _, name := range d.randomHelpers("", 2*d.cfg.IndirectProbes) {
		out = append(out, d.newMessage(name, Message{Type: Ping}))
	}
	return out
}

// AddHints adds members named by the platform's list, a seed or a handshake. Unknown
// members are added as alive. A complete list also supports a suspicion of a member that
// it does not contain.
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
			d.setRecord(now, Record{Member: m})
			d.queueUpdate(m.Name, "")
		}
	}
	if !completeList {
		return
	}
	d.hasPlatformList = true
	for name, e := range d.members {
		e.inPlatformList = listed[name]
	}
}
