package detector

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// NextTick returns the time of the next Tick that has work.
func (d *Detector) NextTick() time.Duration {
	next := min(d.nextProbe, d.nextRemote)
	for _, p := range d.probes {
		due := p.end
		if !p.indirect {
			due = min(due, p.deadline)
		}
		next = min(next, due)
	}
	return next
}

// Tick does the work that is due at now.
func (d *Detector) Tick(now time.Duration) []Outgoing {
	if now > d.nextProbe+d.cfg.Period {
		// This VM was paused: missing answers say nothing about the others.
		clear(d.probes)
		for name := range d.suspects {
			d.members[name].suspected = now
		}
		d.nextProbe, d.nextRemote = now, now+d.cfg.Period/2
	}
	out := d.tickProbes(now)
	d.judge(now)
	if now >= d.nextProbe {
		d.nextProbe += d.cfg.Period
		if name, ok := d.nextTarget(); ok {
			out = append(out, d.start(now, name))
		}
	}
	if now >= d.nextRemote {
		d.nextRemote += d.cfg.RemotePeriod
		if name, ok := d.nextRemoteTarget(); ok {
			out = append(out, d.start(now, name))
		}
		d.forget(now)
	}
	return out
}

func (d *Detector) tickProbes(now time.Duration) []Outgoing {
	var out []Outgoing
	for _, id := range slices.Sorted(maps.Keys(d.probes)) {
		p := d.probes[id]
		if now >= p.end {
			delete(d.probes, id)
			if p.origin == "" {
				d.suspectTarget(now, p.target)
			}
			continue
		}
		if !p.indirect && now >= p.deadline {
			p.indirect = true
			// Also repeated directly, since a small zone has no other members to ask.
			out = append(out, d.message(p.target, Message{Type: Ping, Probe: id}))
			for _, helper := range d.helpers(p.target, d.cfg.IndirectProbes) {
				out = append(out, d.message(helper, Message{Type: PingRequest, Probe: id, Target: p.target}))
			}
		}
	}
	return out
}

// start probes a member.
func (d *Detector) start(now time.Duration, name ident.VMName) Outgoing {
	d.lastProbe++
	d.probes[d.lastProbe] = &probe{target: name, deadline: now + d.cfg.DirectTimeout, end: now + d.cfg.Period}
	return d.message(name, Message{Type: Ping, Probe: d.lastProbe})
}

func (d *Detector) message(to ident.VMName, m Message) Outgoing {
	m.Hash = d.hash
	m.Records = d.pickUpdates()
	if e := d.members[to]; e != nil && (e.Member.State == Suspect || e.Member.State == Dead) {
		m.Records = append(m.Records, e.Record) // lets the receiver refute it
	}
	return Outgoing{To: to, Message: m}
}

// deadEvery is the number of probes after which one goes to a dead member, so that
// the two sides of a healed partition find each other.
const deadEvery = 8

// nextTarget takes a suspect to confirm, else the next member of the round.
func (d *Detector) nextTarget() (ident.VMName, bool) {
	for len(d.urgent) > 0 {
		name := d.urgent[0]
		d.urgent = d.urgent[1:]
		if e, ok := d.members[name]; ok && e.Member.State == Suspect {
			return name, true
		}
	}
	d.rounds++
	dead := d.rounds%deadEvery == 0
	if name, ok := d.rotate(func(s State) bool { return dead == (s == Dead) && s != Leaving }); ok {
		return name, true
	}
	return d.rotate(func(s State) bool { return !s.gone() })
}

// rotate takes the first member of the probing order in a wanted state and moves
// it to the end.
func (d *Detector) rotate(wanted func(State) bool) (ident.VMName, bool) {
	for i, name := range d.order {
		if wanted(d.members[name].Member.State) {
			copy(d.order[i:], d.order[i+1:])
			d.order[len(d.order)-1] = name
			return name, true
		}
	}
	return "", false
}

// nextRemoteTarget returns the next watcher of another zone when this VM is a
// watcher itself.
func (d *Detector) nextRemoteTarget() (ident.VMName, bool) {
	if len(d.zoneCount) < 2 {
		return "", false
	}
	if len(d.remote) == 0 && !d.fillRemote() {
		return "", false
	}
	name := d.remote[0]
	d.remote = d.remote[1:]
	e, ok := d.members[name]
	return name, ok && e.Member.State != Leaving
}

// fillRemote builds a round over the watchers of the other zones. It is computed
// once a round because the ranking passes over the whole view.
func (d *Detector) fillRemote() bool {
	zone := []Member{d.Self()}
	for _, name := range d.order {
		zone = append(zone, d.members[name].Member)
	}
	d.watcher = slices.ContainsFunc(Watchers(zone, d.cfg.Self.Zone, watchersPerZone), func(m Member) bool {
		return m.Name == d.cfg.Self.Name
	})
	if !d.watcher {
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
			d.remote = append(d.remote, m.Name)
		}
	}
	slices.Sort(d.remote)
	d.rng.Shuffle(len(d.remote), func(i, j int) { d.remote[i], d.remote[j] = d.remote[j], d.remote[i] })
	return len(d.remote) > 0
}

// helpers returns up to k random live members of this zone other than the target.
func (d *Detector) helpers(target ident.VMName, k int) []ident.VMName {
	var out []ident.VMName
	if len(d.order) == 0 {
		return nil
	}
	offset := d.rng.IntN(len(d.order))
	for i := 0; i < len(d.order) && len(out) < k; i++ {
		name := d.order[(offset+i)%len(d.order)]
		if name != target && d.members[name].Member.State == Alive {
			out = append(out, name)
		}
	}
	return out
}

// suspectTarget records that this VM's own probe of the member failed.
func (d *Detector) suspectTarget(now time.Duration, name ident.VMName) {
	e, ok := d.members[name]
	if !ok || e.Member.State.gone() {
		return
	}
	if e.Member.State == Alive {
		d.stats.Suspicions++
	} else if e.by[d.cfg.Self.Name] {
		// The suspicion may have been told only to VMs that were unreachable.
		d.announceAgain(name)
		return
	}
	d.suspect(now, e.Record, d.cfg.Self.Name)
}

// announceAgain repeats this VM's own suspicion once its transmissions are spent.
func (d *Detector) announceAgain(name ident.VMName) {
	for _, u := range d.updates {
		if u.name == name {
			return
		}
	}
	d.announce(name, d.cfg.Self.Name)
}

// suspect merges a suspicion by a VM against the incarnation in r.
func (d *Detector) suspect(now time.Duration, r Record, by ident.VMName) {
	name := r.Member.Name
	e := d.members[name]
	if e.Member.State == Alive {
		r.Member.State, r.SuspectedBy = Suspect, ""
		e = d.store(now, r)
	}
	if by == "" || len(e.by) >= d.cfg.Confirmations {
		return
	}
	if by != d.cfg.Self.Name && !e.by[d.cfg.Self.Name] && d.mayProbe(e.Member) && !d.probing(name) {
		d.urgent = append(d.urgent, name)
	}
	if !e.by[by] {
		e.by[by] = true
		d.announce(name, by)
	}
}

// probing reports whether a probe of the member is in flight or due next.
func (d *Detector) probing(name ident.VMName) bool {
	for _, p := range d.probes {
		if p.target == name && p.origin == "" {
			return true
		}
	}
	return slices.Contains(d.urgent, name)
}

// mayProbe reports whether this VM holds links to the member.
func (d *Detector) mayProbe(m Member) bool {
	return m.Zone == d.cfg.Self.Zone || d.watcher
}

// judge declares suspects dead whose suspicion is confirmed and old enough.
func (d *Detector) judge(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(d.suspects)) {
		e := d.members[name]
		if now-e.suspected < d.cfg.SuspicionTimeout {
			continue
		}
		need := min(d.cfg.Confirmations, d.possibleSuspecters(name))
		if len(e.by) >= need || d.platformAgrees(now, e) {
			r := e.Record
			r.Member.State, r.SuspectedBy = Dead, ""
			d.store(now, r)
			d.stats.Deaths++
			d.announce(name, "")
		}
	}
}

// platformAgrees reports whether a long suspicion of this VM's own is supported
// by a platform list without the member.
func (d *Detector) platformAgrees(now time.Duration, e *entry) bool {
	return d.listKnown && !e.listed && e.by[d.cfg.Self.Name] && now-e.suspected > 20*d.cfg.SuspicionTimeout
}

// possibleSuspecters counts the VMs that could suspect the member, suspected ones
// included, so that a VM that is cut off declares nobody dead.
func (d *Detector) possibleSuspecters(name ident.VMName) int {
	n := 0
	for other, e := range d.members {
		if other != name && !e.Member.State.gone() {
			n++
		}
		if n >= d.cfg.Confirmations {
			break
		}
	}
	return n
}

// forget removes members that have been dead for long.
func (d *Detector) forget(now time.Duration) {
	for name, e := range d.members {
		if e.Member.State.gone() && now-e.died >= d.cfg.DeadRetention && name != d.cfg.Self.Name {
			d.remove(name, e)
		}
	}
}

func (d *Detector) remove(name ident.VMName, e *entry) {
	d.zoneHash[e.Member.Zone] ^= e.hash
	d.zoneCount[e.Member.Zone]--
	d.hash ^= e.hash
	delete(d.members, name)
	d.listing = nil
	delete(d.suspects, name)
	for i, other := range d.order {
		if other == name {
			d.order = append(d.order[:i:i], d.order[i+1:]...)
			break
		}
	}
	d.changed = true
}
