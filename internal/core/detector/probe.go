package detector

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// NextTick returns the time at which Tick must be called next.
func (d *Detector) NextTick() time.Duration {
	next := min(d.nextProbeAt, d.nextRemoteAt)
	for _, p := range d.probes {
		due := p.deadline
		if !p.indirect {
			due = min(due, p.indirectAt)
		}
		next = min(next, due)
	}
	return next
}

// Tick performs the work that is due at now and returns the messages to send.
func (d *Detector) Tick(now time.Duration) []Outgoing {
	if now > d.nextProbeAt+d.cfg.Period {
		// This VM was paused, so missing acknowledgements are no evidence against other
		// members.
		clear(d.probes)
		for name := range d.suspects {
			d.members[name].suspectedAt = now
		}
		d.nextProbeAt, d.nextRemoteAt = now, now+d.cfg.Period/2
	}
	out := d.advanceProbes(now)
	d.declareDead(now)
	if now >= d.nextProbeAt {
		d.nextProbeAt += d.cfg.Period
		if name, ok := d.nextProbeTarget(); ok {
			out = append(out, d.startProbe(now, name))
		}
	}
	if now >= d.nextRemoteAt {
		d.nextRemoteAt += d.cfg.RemotePeriod
		if name, ok := d.nextRemoteTarget(); ok {
			out = append(out, d.startProbe(now, name))
		}
		d.removeExpired(now)
	}
	return out
}

// advanceProbes starts indirect probes for targets that have not acknowledged in time,
// and ends probes whose deadline has passed.
func (d *Detector) advanceProbes(now time.Duration) []Outgoing {
	var out []Outgoing
	for _, id := range slices.Sorted(maps.Keys(d.probes)) {
		p := d.probes[id]
		if now >= p.deadline {
			delete(d.probes, id)
			if p.requester == "" {
				d.handleProbeFailure(now, p.target)
			}
			continue
		}
		if !p.indirect && now >= p.indirectAt {
			p.indirect = true
			// The direct probe is repeated as well, since a small zone may have no other
			// members that could probe the target.
			out = append(out, d.newMessage(p.target, Message{Type: Ping, Probe: id}))
			for _, helper := range d.randomHelpers(p.target, d.cfg.IndirectProbes) {
				out = append(out, d.newMessage(helper, Message{Type: PingRequest, Probe: id, Target: p.target}))
			}
		}
	}
	return out
}

// startProbe starts a direct probe of a member.
func (d *Detector) startProbe(now time.Duration, name ident.VMName) Outgoing {
	d.lastProbe++
	d.probes[d.lastProbe] = &probe{target: name, indirectAt: now + d.cfg.DirectTimeout, deadline: now + d.cfg.Period}
	return d.newMessage(name, Message{Type: Ping, Probe: d.lastProbe})
}

func (d *Detector) newMessage(to ident.VMName, m Message) Outgoing {
	m.Hash = d.hash
	m.Records = d.takeUpdates()
	if e := d.members[to]; e != nil && (e.Member.State == Suspect || e.Member.State == Dead) {
		m.Records = append(m.Records, e.Record) // allows the receiver to refute it
	}
	return Outgoing{To: to, Message: m}
}

// deadProbeInterval is the number of probes of which one targets a dead member, so that
// the two sides of a healed partition discover each other.
const deadProbeInterval = 8

// nextProbeTarget returns a suspect to confirm, or else the next member of the probing
// order.
func (d *Detector) nextProbeTarget() (ident.VMName, bool) {
	for len(d.confirmQueue) > 0 {
		name := d.confirmQueue[0]
		d.confirmQueue = d.confirmQueue[1:]
		if e, ok := d.members[name]; ok && e.Member.State == Suspect {
			return name, true
		}
	}
	d.probeCount++
	dead := d.probeCount%deadProbeInterval == 0
	if name, ok := d.nextInOrder(func(s State) bool { return dead == (s == Dead) && s != Leaving }); ok {
		return name, true
	}
	return d.nextInOrder(func(s State) bool { return !s.inactive() })
}

// nextInOrder returns the first member of the probing order whose state is wanted, and
// moves it to the end.
func (d *Detector) nextInOrder(wanted func(State) bool) (ident.VMName, bool) {
	for i, name := range d.probeOrder {
		if wanted(d.members[name].Member.State) {
			copy(d.probeOrder[i:], d.probeOrder[i+1:])
			d.probeOrder[len(d.probeOrder)-1] = name
			return name, true
		}
	}
	return "", false
}

// nextRemoteTarget returns the next watcher of another zone if this VM is a watcher
// itself.
func (d *Detector) nextRemoteTarget() (ident.VMName, bool) {
	if len(d.zoneCount) < 2 {
		return "", false
	}
	if len(d.remoteOrder) == 0 && !d.buildRemoteOrder() {
		return "", false
	}
	name := d.remoteOrder[0]
	d.remoteOrder = d.remoteOrder[1:]
	e, ok := d.members[name]
	return name, ok && e.Member.State != Leaving
}

// buildRemoteOrder builds a random probing order of the watchers of the other zones, and
// reports whether there are any. It runs once per round because ranking the watchers
// iterates over the whole view.
func (d *Detector) buildRemoteOrder() bool {
	zone := []Member{d.Self()}
	for _, name := range d.probeOrder {
		zone = append(zone, d.members[name].Member)
	}
	d.isWatcher = slices.ContainsFunc(Watchers(zone, d.cfg.Self.Zone, watchersPerZone), func(m Member) bool {
		return m.Name == d.cfg.Self.Name
	})
	if !d.isWatcher {
		return false
	}
	byZone := map[ident.AvailabilityZone][]Member{}
	for _, name := range slices.Sorted(maps.Keys(d.members)) {
		if m := d.members[name].Member; m.Zone != d.cfg.Self.Zone {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		members := byZone[zone]
		watchers := Watchers(members, zone, watchersPerZone)
		if len(watchers) == 0 {
			i := d.rng.IntN(len(members))
			watchers = members[i : i+1]
		}
		for _, m := range watchers {
			d.remoteOrder = append(d.remoteOrder, m.Name)
		}
	}
	slices.Sort(d.remoteOrder)
	d.rng.Shuffle(len(d.remoteOrder), func(i, j int) { d.remoteOrder[i], d.remoteOrder[j] = d.remoteOrder[j], d.remoteOrder[i] })
	return len(d.remoteOrder) > 0
}

// randomHelpers returns up to k random live members of this zone other than the target.
func (d *Detector) randomHelpers(target ident.VMName, k int) []ident.VMName {
	var out []ident.VMName
	if len(d.probeOrder) == 0 {
		return nil
	}
	offset := d.rng.IntN(len(d.probeOrder))
	for i := 0; i < len(d.probeOrder) && len(out) < k; i++ {
		name := d.probeOrder[(offset+i)%len(d.probeOrder)]
		if name != target && d.members[name].Member.State == Alive {
			out = append(out, name)
		}
	}
	return out
}

// handleProbeFailure records that this VM's own probe of a member failed.
func (d *Detector) handleProbeFailure(now time.Duration, name ident.VMName) {
	e, ok := d.members[name]
	if !ok || e.Member.State.inactive() {
		return
	}
	if e.Member.State == Alive {
		d.stats.Suspicions++
	} else if e.suspecters[d.cfg.Self.Name] {
		// The suspicion may have been sent only to VMs that were unreachable.
		d.requeueSuspicion(name)
		return
	}
	d.addSuspicion(now, e.Record, d.cfg.Self.Name)
}

// requeueSuspicion queues this VM's own suspicion again once no update about the member
// is left in the queue.
func (d *Detector) requeueSuspicion(name ident.VMName) {
	for _, u := range d.updates {
		if u.name == name {
			return
		}
	}
	d.queueUpdate(name, d.cfg.Self.Name)
}

// addSuspicion records that a VM suspects the incarnation in r. An empty suspecter marks
// the member as suspect without counting towards the confirmations.
func (d *Detector) addSuspicion(now time.Duration, r Record, suspecter ident.VMName) {
	name := r.Member.Name
	e := d.members[name]
	if e.Member.State == Alive {
		r.Member.State, r.SuspectedBy = Suspect, ""
		e = d.setRecord(now, r)
	}
	if suspecter == "" || len(e.suspecters) >= d.cfg.Confirmations {
		return
	}
	if suspecter != d.cfg.Self.Name && !e.suspecters[d.cfg.Self.Name] && d.canProbe(e.Member) && !d.probePending(name) {
		d.confirmQueue = append(d.confirmQueue, name)
	}
	if !e.suspecters[suspecter] {
		e.suspecters[suspecter] = true
		d.queueUpdate(name, suspecter)
	}
}

// probePending reports whether this VM's own probe of the member is in flight or queued.
func (d *Detector) probePending(name ident.VMName) bool {
	for _, p := range d.probes {
		if p.target == name && p.requester == "" {
			return true
		}
	}
	return slices.Contains(d.confirmQueue, name)
}

// canProbe reports whether this VM probes members of the member's zone.
func (d *Detector) canProbe(m Member) bool {
	return m.Zone == d.cfg.Self.Zone || d.isWatcher
}

// declareDead declares suspects dead whose suspicion is confirmed and has lasted for
// SuspicionTimeout.
func (d *Detector) declareDead(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(d.suspects)) {
		e := d.members[name]
		if now-e.suspectedAt < d.cfg.SuspicionTimeout {
			continue
		}
		need := min(d.cfg.Confirmations, d.countPotentialSuspecters(name))
		if len(e.suspecters) >= need || d.platformConfirms(now, e) {
			r := e.Record
			r.Member.State, r.SuspectedBy = Dead, ""
			d.setRecord(now, r)
			d.stats.Deaths++
			d.queueUpdate(name, "")
		}
	}
}

// platformConfirms reports whether a long suspicion raised by this VM is supported by a
// platform list that does not contain the member.
func (d *Detector) platformConfirms(now time.Duration, e *memberEntry) bool {
	return d.hasPlatformList && !e.inPlatformList && e.suspecters[d.cfg.Self.Name] && now-e.suspectedAt > 20*d.cfg.SuspicionTimeout
}

// countPotentialSuspecters returns the number of VMs that could suspect the member, up
// to the required confirmations. It includes suspects, so that an isolated VM, which
// suspects all others, declares none of them dead.
func (d *Detector) countPotentialSuspecters(name ident.VMName) int {
	n := 0
	for other, e := range d.members {
		if other != name && !e.Member.State.inactive() {
			n++
		}
		if n >= d.cfg.Confirmations {
			break
		}
	}
	return n
}

// removeExpired removes members that have been dead or leaving for DeadRetention.
func (d *Detector) removeExpired(now time.Duration) {
	for name, e := range d.members {
		if e.Member.State.inactive() && now-e.inactiveSince >= d.cfg.DeadRetention && name != d.cfg.Self.Name {
			d.removeMember(name, e)
		}
	}
}

func (d *Detector) removeMember(name ident.VMName, e *memberEntry) {
	d.zoneHash[e.Member.Zone] ^= e.hash
	d.zoneCount[e.Member.Zone]--
	d.hash ^= e.hash
	delete(d.members, name)
	d.sortedMembers = nil
	delete(d.suspects, name)
	for i, other := range d.probeOrder {
		if other == name {
			d.probeOrder = append(d.probeOrder[:i:i], d.probeOrder[i+1:]...)
			break
		}
	}
	d.viewChanged = true
}
