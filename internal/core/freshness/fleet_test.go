package freshness

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

type version = ident.ConfigurationVersion

// ballot identifies the acknowledgements that an acceptor may count.
type ballot struct {
	version version
	attempt int
}

func (b ballot) after(other ballot) bool {
	return b.version > other.version || b.version == other.version && b.attempt > other.attempt
}

// rules lists the protocol rules that a test can violate.
type rules struct {
	dateByReceipt    bool // a response is dated by its arrival instead of its request
	qualifyAtStart   bool // a restarted VM is qualified at once
	skipAcks         bool // the acknowledgement of one zone suffices
	attestDuringCall bool // a VM attests while the call for its own proposal is outstanding
	keepAttempt      bool // a new acceptor counts acknowledgements of an earlier attempt
	vmMajority       func(int) int
	unsafeToQualify  func(*fakeVM, map[ident.VMName]bool) bool
}

type fakeVM struct {
	*State
	name        ident.VMName
	zone        ident.AvailabilityZone
	incarnation ident.Incarnation
	started     time.Duration
	paused      bool
	ballot      ballot                  // highest known proposal, which this VM acknowledges
	proposals   int                     // number of calls to propose, including abandoned ones
	acks        map[ident.VMName]ballot // acknowledgements received from VMs of the zone
	accepting   ballot                  // proposal that this VM may accept
	zoneAcks    map[ident.AvailabilityZone]ballot
}

type message struct {
	from, to *fakeVM // nil means the platform
	deliver  func()
}

// fleet simulates three zones, a platform, and a network that loses, delays,
// duplicates and reorders messages.
type fleet struct {
	rules       rules
	now         time.Duration
	vms         []*fakeVM
	messages    []message
	outage      bool
	platformCut map[ident.AvailabilityZone]bool    // zones that cannot reach the platform
	partitioned map[[2]ident.AvailabilityZone]bool // pairs of zones that cannot reach each other
	accepted    version
	proposal    ballot
	zoneAcks    map[ident.AvailabilityZone]ballot
	acceptedAt  map[version]time.Duration
}

var zones = []ident.AvailabilityZone{"constanta-a", "plovdiv-a", "ruse-a"}

var zoneSizes = []int{2, 3, 2}

func tableOf(i int) Table {
	table := Table{Version: 1}
	for n := range zoneSizes[i] {
		table.VMs = append(table.VMs, ident.VMName(fmt.Sprintf("%s-%d", zones[i], n)))
	}
	return table
}

func newFleet(r rules) *fleet {
	f := &fleet{rules: r, platformCut: map[ident.AvailabilityZone]bool{}, partitioned: map[[2]ident.AvailabilityZone]bool{},
		accepted: 1, proposal: ballot{1, 1}, zoneAcks: map[ident.AvailabilityZone]ballot{}, acceptedAt: map[version]time.Duration{}}
	for i, zone := range zones {
		for _, name := range tableOf(i).VMs {
			vm := &fakeVM{name: name, zone: zone}
			f.vms = append(f.vms, vm)
			f.start(vm)
		}
	}
	f.now += time.Millisecond // a reading at the start time does not qualify a VM
	for _, vm := range f.vms {
		f.read(vm, true)
	}
	f.deliverAll()
	return f
}

func (f *fleet) start(vm *fakeVM) {
	vm.incarnation++
	vm.State = New(vm.name, vm.zone, vm.incarnation)
	vm.started, vm.paused, vm.ballot, vm.accepting = f.now, false, ballot{}, ballot{}
	vm.acks, vm.zoneAcks = map[ident.VMName]ballot{}, nil
	if f.rules.vmMajority != nil {
		vm.vmMajority = f.rules.vmMajority
	}
	if f.rules.unsafeToQualify != nil {
		vm.unsafeToQualify = func(unqualified map[ident.VMName]bool) bool { return f.rules.unsafeToQualify(vm, unqualified) }
	}
	vm.self.Qualified = f.rules.qualifyAtStart
	for i, zone := range zones {
		vm.SetTable(zone, tableOf(i))
	}
	vm.Adopt(0, zones)
}

func (f *fleet) localTime(vm *fakeVM) time.Duration { return f.now - vm.started }

func (f *fleet) connected(from, to *fakeVM) bool {
	switch {
	case from == nil:
		return !f.outage && !f.platformCut[to.zone]
	case to == nil:
		return !f.outage && !f.platformCut[from.zone]
	}
	return !f.partitioned[[2]ident.AvailabilityZone{min(from.zone, to.zone), max(from.zone, to.zone)}]
}

// send queues a message for an incarnation of the receiver. The message is dropped if
// the receiver has restarted, as with a closed connection.
func (f *fleet) send(from, to *fakeVM, incarnation ident.Incarnation, deliver func()) {
	f.messages = append(f.messages, message{from, to, func() {
		if to == nil || incarnation == to.incarnation {
			deliver()
		}
	}})
}

// deliver delivers message i, or leaves it queued if the receiver is paused or not
// reachable.
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

// request sends a request from v to w and handles the response.
func (f *fleet) request(v, w *fakeVM) {
	sentAt, incarnation := f.localTime(v), v.incarnation
	accepted, pending := v.Version(), v.Pending()
	f.send(v, w, w.incarnation, func() {
		now := f.localTime(w)
		a, reading, known := w.Attestation(), w.LastReading(), w.ballot
		summaries := w.ZoneSummaries(now, accepted)
		if pending != accepted {
			summaries = append(summaries, w.ZoneSummaries(now, pending)...)
		}
		remoteVersion, age := w.Version(), now-reading.At
		f.send(w, v, incarnation, func() {
			at := sentAt
			if f.rules.dateByReceipt {
				at = f.localTime(v)
			}
			f.learn(v, known, true)
			v.Adopt(remoteVersion, zones)
			v.RecordAttestation(a, at)
			v.Tick(f.localTime(v))
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

func (f *fleet) learn(vm *fakeVM, p ballot, content bool) {
	if p.version == 0 {
		return
	}
	if content {
		vm.SetPending(p.version, zones)
	}
	vm.Learn(p.version)
	if p.after(vm.ballot) {
		vm.ballot = p
	}
}

// callPlatform runs an operation on the platform. The request and the response may be
// delayed or lost.
func (f *fleet) callPlatform(vm *fakeVM, operation func() func()) {
	incarnation := vm.incarnation
	f.send(vm, nil, 0, func() {
		response := operation()
		f.send(nil, vm, incarnation, response)
	})
}

func (f *fleet) read(vm *fakeVM, adopt bool) {
	at := f.localTime(vm)
	f.callPlatform(vm, func() func() {
		accepted, proposal := f.accepted, f.proposal
		acks := map[ident.AvailabilityZone]ballot{}
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

// propose writes a proposal, or takes over a pending one with a higher attempt.
func (f *fleet) propose(vm *fakeVM) {
	vm.proposals++
	number := vm.proposals
	vm.SetUnsettled(!f.rules.attestDuringCall)
	f.callPlatform(vm, func() func() {
		switch {
		case f.proposal.version == f.accepted:
			f.proposal = ballot{f.accepted + 1, 1}
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

// abandonProposal stops waiting for the response to a proposal.
func (f *fleet) abandonProposal(vm *fakeVM) {
	vm.proposals++
	vm.SetUnsettled(false)
}

// acknowledge writes the acknowledgement of the VM's zone if a majority of its VMs
// has acknowledged.
func (f *fleet) acknowledge(vm *fakeVM) {
	p, count := vm.ballot, 1
	table := vm.Table(vm.zone)
	for _, name := range table.VMs {
		if name != vm.name && !p.after(vm.acks[name]) {
			count++
		}
	}
	if p.version == 0 || count < Majority(len(table.VMs)) {
		return
	}
	f.callPlatform(vm, func() func() {
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
	f.callPlatform(vm, func() func() {
		if f.accepted == p.version-1 {
			f.accepted = p.version
			f.acceptedAt[p.version] = f.now
		}
		return func() { vm.Adopt(p.version, zones) }
	})
}

// violation describes a VM that is fresh for a version although its successor was
// accepted more than MaxStaleness ago. It returns "" if there is none.
func (f *fleet) violation() string {
	for _, vm := range f.vms {
		if vm.paused {
			continue
		}
		accepted, pending := vm.FreshUntil()
		for _, proof := range []struct {
			version version
			until   time.Duration
		}{{vm.Version(), accepted}, {vm.Pending(), pending}} {
			at, superseded := f.acceptedAt[proof.version+1]
			if superseded && f.localTime(vm) < proof.until && f.now-at > MaxStaleness {
				return fmt.Sprintf("%s is fresh for version %d at %s; version %d was accepted at %s",
					vm.name, proof.version, f.now, proof.version+1, at)
			}
		}
	}
	return ""
}
