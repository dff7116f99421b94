package freshness

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

type version = ident.ConfigurationVersion

// pair identifies the acknowledgements that an acceptor may count.
type pair struct {
	version version
	attempt int
}

func (p pair) after(q pair) bool {
	return p.version > q.version || p.version == q.version && p.attempt > q.attempt
}

// rules are the parts of the protocol outside the core that a test can break.
type rules struct {
	dateByArrival bool // an answer is dated by its arrival instead of its question
	trustRestart  bool // a restarted VM attests at once
	skipAcks      bool // one zone's acknowledgement accepts a proposal
	answerEarly   bool // a VM attests while its own proposal is unanswered
	keepAttempt   bool // a new acceptor counts acknowledgements of an earlier one
	majority      func(int) int
	blocked       func(*fakeVM, map[ident.VMName]bool) bool
}

type fakeVM struct {
	*State
	name        ident.VMName
	zone        ident.AvailabilityZone
	incarnation ident.Incarnation
	started     time.Duration
	paused      bool
	pair        pair                  // highest proposal known, which this VM acknowledges
	proposals   int                   // number of calls to propose that have ended or are open
	acks        map[ident.VMName]pair // acknowledgements heard from VMs of the zone
	accepting   pair                  // proposal that this VM may accept
	zoneAcks    map[ident.AvailabilityZone]pair
}

type message struct {
	from, to *fakeVM // nil for the platform
	deliver  func()
}

// fleet is three zones with a platform and a network that loses, delays,
// duplicates and reorders messages.
type fleet struct {
	rules      rules
	now        time.Duration
	vms        []*fakeVM
	messages   []message
	outage     bool
	cut        map[ident.AvailabilityZone]bool    // zones without the platform
	apart      map[[2]ident.AvailabilityZone]bool // pairs of zones without a network
	accepted   version
	proposal   pair
	zoneAcks   map[ident.AvailabilityZone]pair
	acceptedAt map[version]time.Duration
}

var zones = []ident.AvailabilityZone{"constanta-a", "plovdiv-a", "ruse-a"}

var sizes = []int{2, 3, 2}

func tableOf(i int) Table {
	table := Table{Version: 1}
	for n := range sizes[i] {
		table.VMs = append(table.VMs, ident.VMName(fmt.Sprintf("%s-%d", zones[i], n)))
	}
	return table
}

func newFleet(r rules) *fleet {
	f := &fleet{rules: r, cut: map[ident.AvailabilityZone]bool{}, apart: map[[2]ident.AvailabilityZone]bool{},
		accepted: 1, proposal: pair{1, 1}, zoneAcks: map[ident.AvailabilityZone]pair{}, acceptedAt: map[version]time.Duration{}}
	for i, zone := range zones {
		for _, name := range tableOf(i).VMs {
			vm := &fakeVM{name: name, zone: zone}
			f.vms = append(f.vms, vm)
			f.start(vm)
		}
	}
	f.now += time.Millisecond // a reading at the time of the start does not qualify
	for _, vm := range f.vms {
		f.read(vm, true)
	}
	f.deliverAll()
	return f
}

func (f *fleet) start(vm *fakeVM) {
	vm.incarnation++
	vm.State = New(vm.name, vm.zone, vm.incarnation)
	vm.started, vm.paused, vm.pair, vm.accepting = f.now, false, pair{}, pair{}
	vm.acks, vm.zoneAcks = map[ident.VMName]pair{}, nil
	if f.rules.majority != nil {
		vm.majority = f.rules.majority
	}
	if f.rules.blocked != nil {
		vm.blocked = func(unqualified map[ident.VMName]bool) bool { return f.rules.blocked(vm, unqualified) }
	}
	vm.self.Qualified = f.rules.trustRestart
	for i, zone := range zones {
		vm.SetTable(zone, tableOf(i))
	}
	vm.Adopt(0, zones)
}

func (f *fleet) local(vm *fakeVM) time.Duration { return f.now - vm.started }

func (f *fleet) connected(from, to *fakeVM) bool {
	switch {
	case from == nil:
		return !f.outage && !f.cut[to.zone]
	case to == nil:
		return !f.outage && !f.cut[from.zone]
	}
	return !f.apart[[2]ident.AvailabilityZone{min(from.zone, to.zone), max(from.zone, to.zone)}]
}

// send queues a message; life drops it when the addressee has restarted since,
// as a closed connection does.
func (f *fleet) send(from, to *fakeVM, life ident.Incarnation, deliver func()) {
	f.messages = append(f.messages, message{from, to, func() {
		if to == nil || life == to.incarnation {
			deliver()
		}
	}})
}

// deliver hands over message i, or leaves it waiting while its way is cut.
func (f *fleet) deliver(i int) bool {
	m := f.messages[i]
	if !f.connected(m.from, m.to) || m.to != nil && m.to.paused {
		return false
	}
	f.messages = slices.Delete(f.messages, i, i+1)
	m.deliver()
	return true
}

// deliverAll delivers in order until only blocked messages remain.
func (f *fleet) deliverAll() {
	for i := 0; i < len(f.messages); {
		if !f.deliver(i) {
			i++
		}
	}
}

// ask sends a question and handles its answer.
func (f *fleet) ask(v, w *fakeVM) {
	asked, life := f.local(v), v.incarnation
	accepted, held := v.Version(), v.Pending()
	f.send(v, w, w.incarnation, func() {
		now := f.local(w)
		a, reading, known := w.Attestation(), w.LastReading(), w.pair
		summaries := w.ZoneSummaries(now, accepted)
		if held != accepted {
			summaries = append(summaries, w.ZoneSummaries(now, held)...)
		}
		theirs, age := w.Version(), now-reading.At
		f.send(w, v, life, func() {
			at := asked
			if f.rules.dateByArrival {
				at = f.local(v)
			}
			f.learn(v, known, true)
			v.Adopt(theirs, zones)
			v.RecordAttestation(a, at)
			v.Tick(f.local(v))
			for _, s := range summaries {
				v.RecordZoneSummary(s, at)
			}
			if reading.At != never {
				v.RecordReading(Reading{Accepted: reading.Accepted, Proposal: reading.Proposal, At: at - age})
			}
			if w.zone == v.zone && known.after(v.acks[w.name]) {
				v.acks[w.name] = known
			}
		})
	})
}

func (f *fleet) learn(vm *fakeVM, p pair, content bool) {
	if p.version == 0 {
		return
	}
	if content {
		vm.SetPending(p.version, zones)
	}
	vm.Learn(p.version)
	if p.after(vm.pair) {
		vm.pair = p
	}
}

// call runs an operation on the platform; both ways may be delayed or lost.
func (f *fleet) call(vm *fakeVM, operation func() func()) {
	life := vm.incarnation
	f.send(vm, nil, 0, func() {
		answer := operation()
		f.send(nil, vm, life, answer)
	})
}

func (f *fleet) read(vm *fakeVM, adopt bool) {
	at := f.local(vm)
	f.call(vm, func() func() {
		accepted, proposal := f.accepted, f.proposal
		acks := map[ident.AvailabilityZone]pair{}
		for zone, p := range f.zoneAcks {
			acks[zone] = p
		}
		return func() {
			f.learn(vm, proposal, adopt)
			vm.RecordReading(Reading{Accepted: accepted, Proposal: proposal.version, At: at})
			vm.zoneAcks = acks
			if adopt {
				vm.Adopt(accepted, zones)
			}
		}
	})
}

// propose writes a proposal, or takes over an open one with a higher attempt.
func (f *fleet) propose(vm *fakeVM) {
	vm.proposals++
	number := vm.proposals
	vm.SetUnsettled(!f.rules.answerEarly)
	f.call(vm, func() func() {
		switch {
		case f.proposal.version == f.accepted:
			f.proposal = pair{f.accepted + 1, 1}
		case !f.rules.keepAttempt:
			f.proposal.attempt++
		}
		p := f.proposal
		return func() {
			f.learn(vm, p, true)
			if number == vm.proposals {
				vm.accepting = p
				vm.SetUnsettled(false)
			}
		}
	})
}

// giveUp ends the wait for the answer to a proposal.
func (f *fleet) giveUp(vm *fakeVM) {
	vm.proposals++
	vm.SetUnsettled(false)
}

// acknowledge writes the acknowledgement of the VM's zone when a majority gave it.
func (f *fleet) acknowledge(vm *fakeVM) {
	p, count := vm.pair, 1
	table := vm.Table(vm.zone)
	for _, name := range table.VMs {
		if name != vm.name && !p.after(vm.acks[name]) {
			count++
		}
	}
	if p.version == 0 || count < Majority(len(table.VMs)) {
		return
	}
	f.call(vm, func() func() {
		if p.after(f.zoneAcks[vm.zone]) {
			f.zoneAcks[vm.zone] = p
		}
		return func() {}
	})
}

func (f *fleet) accept(vm *fakeVM) {
	p, count := vm.accepting, 0
	for _, zone := range zones {
		if p.version != 0 && vm.zoneAcks[zone] == p {
			count++
		}
	}
	if count < Majority(len(zones)) && (!f.rules.skipAcks || count == 0) {
		return
	}
	f.call(vm, func() func() {
		if f.accepted == p.version-1 {
			f.accepted = p.version
			f.acceptedAt[p.version] = f.now
		}
		return func() { vm.Adopt(p.version, zones) }
	})
}

// violation describes a VM that is fresh for a version whose successor was
// accepted more than F ago.
func (f *fleet) violation() string {
	for _, vm := range f.vms {
		if vm.paused {
			continue
		}
		accepted, held := vm.FreshUntil()
		for _, proof := range []struct {
			version version
			until   time.Duration
		}{{vm.Version(), accepted}, {vm.Pending(), held}} {
			at, superseded := f.acceptedAt[proof.version+1]
			if superseded && f.local(vm) < proof.until && f.now-at > MaxStaleness {
				return fmt.Sprintf("%s is fresh for version %d at %s; version %d was accepted at %s",
					vm.name, proof.version, f.now, proof.version+1, at)
			}
		}
	}
	return ""
}
