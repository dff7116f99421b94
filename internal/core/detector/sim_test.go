package detector

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/core/eventqueue"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// simVM is a VM of the simulation.
type simVM struct {
	self       Member
	detector   *Detector
	generation int // changes at each start and stop
	running    bool
	left       bool
	paused     time.Duration // end of the pause
	nextTick   time.Duration // time of the scheduled tick
	bytes      int           // sent
}

// sim simulates detectors and their messages in virtual time.
type sim struct {
	eventqueue.Queue
	rng   *rand.Rand
	vms   map[ident.VMName]*simVM
	names []ident.VMName
	// Faults.
	loss, duplicate float64
	jitter          time.Duration
	blocked         map[[2]ident.VMName]bool
	// Measurements.
	payload         int // bytes of additional payload in each probe message
	encode          bool
	messages, bytes int
	onStep          func(*simVM)
	largest         int // maximum estimated bytes of records in a probe message
}

func newSim(seed uint64, zones, perZone int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), vms: map[ident.VMName]*simVM{}, blocked: map[[2]ident.VMName]bool{}, jitter: time.Millisecond}
	for z := range zones {
		for i := range perZone {
			name := ident.VMName(fmt.Sprintf("vm-%02d-%03d", z, i))
			self := Member{
				Name: name, Zone: ident.AvailabilityZone(fmt.Sprintf("zone-%02d", z)),
				Address: fmt.Sprintf("10.%d.%d.%d:7400", z, i/250, i%250), Incarnation: 1,
			}
			s.vms[name] = &simVM{self: self}
			s.names = append(s.names, name)
		}
	}
	return s
}

func (s *sim) run(until time.Duration) { s.Run(until, func() bool { return false }) }

// start boots a new incarnation of a VM, which joins through the first other running VM.
func (s *sim) start(vm *simVM) {
	s.boot(vm)
	for _, name := range s.names {
		if other := s.vms[name]; other.running && other != vm && !other.left {
			vm.detector.AddHints(s.Now, []Member{other.self}, false)
			s.deliver(vm, vm.detector.Join(name))
			return
		}
	}
}

// publishPlatformList sends the platform's list of VMs, which has no incarnations, to all
// running VMs once a minute.
func (s *sim) publishPlatformList() {
	var all []Member
	for _, name := range s.names {
		if vm := s.vms[name]; vm.running && !vm.left {
			m := vm.self
			m.Incarnation = 0
			all = append(all, m)
		}
	}
	for _, name := range s.names {
		if vm := s.vms[name]; vm.running && vm.paused <= s.Now {
			vm.detector.AddHints(s.Now, all, true)
		}
	}
	s.Schedule(s.Now+time.Minute, s.publishPlatformList)
}

func (s *sim) boot(vm *simVM) {
	vm.generation++
	vm.self.Incarnation++
	vm.running, vm.left, vm.paused = true, false, 0
	vm.detector = New(s.Now, DefaultConfig(vm.self), rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	vm.nextTick = 0
	s.schedule(vm)
}

// stop terminates a VM without a Leave message.
func (s *sim) stop(vm *simVM) { vm.running, vm.generation = false, vm.generation+1 }

func (s *sim) schedule(vm *simVM) {
	next := vm.detector.NextTick()
	if vm.nextTick > s.Now && vm.nextTick <= next {
		return
	}
	vm.nextTick = next
	generation := vm.generation
	s.Schedule(next, func() {
		if vm.generation != generation || vm.nextTick != next {
			return
		}
		if vm.paused > s.Now {
			s.Schedule(vm.paused, func() { s.step(vm, generation, nil) })
			return
		}
		s.step(vm, generation, nil)
	})
}

// step delivers a message to a VM, if receive is set, and runs its tick if one is due.
func (s *sim) step(vm *simVM, generation int, receive func() []Outgoing) {
	if vm.generation != generation {
		return
	}
	if vm.paused > s.Now {
		s.Schedule(vm.paused, func() { s.step(vm, generation, receive) })
		return
	}
	if receive != nil {
		s.deliver(vm, receive())
	}
	if vm.detector.NextTick() <= s.Now {
		s.deliver(vm, vm.detector.Tick(s.Now))
	}
	s.schedule(vm)
	if s.onStep != nil {
		s.onStep(vm)
	}
}

// deliver schedules the delivery of messages, subject to the current faults.
func (s *sim) deliver(from *simVM, messages []Outgoing) {
	for _, out := range messages {
		s.count(from, out.Message)
		to, ok := s.vms[out.To]
		if !ok || !to.running || s.blocked[[2]ident.VMName{from.self.Name, out.To}] || s.rng.Float64() < s.loss {
			continue
		}
		copies := 1
		if s.rng.Float64() < s.duplicate {
			copies = 2
		}
		for range copies {
			delay := time.Millisecond + time.Duration(s.rng.Int64N(int64(s.jitter)))
			if from.self.Zone != to.self.Zone {
				delay += 8 * time.Millisecond
			}
			generation, sender, message := to.generation, from.self, out.Message
			s.Schedule(s.Now+delay, func() {
				s.step(to, generation, func() []Outgoing { return to.detector.Receive(s.Now, sender, message) })
			})
		}
	}
}

// frame models the envelope of a detector message between VMs.
type frame struct {
	Version     int               `cbor:"1,keyasint"`
	Kind        string            `cbor:"2,keyasint"`
	From        ident.VMName      `cbor:"3,keyasint"`
	Incarnation ident.Incarnation `cbor:"4,keyasint"`
	Sequence    uint64            `cbor:"5,keyasint"`
	Body        struct {
		Message  Message  `cbor:"1,keyasint"`
		Payloads [][]byte `cbor:"2,keyasint,omitempty"`
	} `cbor:"6,keyasint"`
}

// nanosecondIncarnation has the size of the incarnations that processes use.
const nanosecondIncarnation = 1 << 60

func (s *sim) count(from *simVM, m Message) {
	size := 0
	for _, r := range m.Records {
		size += r.size()
	}
	if m.Type <= Ack {
		s.largest = max(s.largest, size)
	}
	s.messages++
	if !s.encode {
		return
	}
	f := frame{Version: 1, Kind: "detector", From: from.self.Name, Incarnation: nanosecondIncarnation, Sequence: 1 << 20}
	f.Body.Message = m
	if m.Type <= Ack && s.payload > 0 {
		f.Body.Payloads = [][]byte{make([]byte, s.payload)}
	}
	bytes, err := cbor.Marshal(f)
	if err != nil {
		panic(err)
	}
	size = len(bytes) + 8*len(m.Records) // real incarnations take 8 bytes more
	s.bytes += size
	from.bytes += size
}

// bootConverged boots all VMs with the complete view. The entries are shared to save
// memory, which is safe because without platform lists detectors replace entries instead
// of modifying them.
func (s *sim) bootConverged() {
	for _, name := range s.names {
		s.boot(s.vms[name])
	}
	shared := map[ident.VMName]*memberEntry{}
	for _, name := range s.names {
		r := Record{Member: s.vms[name].self}
		shared[name] = &memberEntry{Record: r, hash: r.hash(), inPlatformList: true}
	}
	for _, name := range s.names {
		d := s.vms[name].detector
		for other, e := range shared {
			if other == name {
				continue
			}
			d.members[other] = e
			d.zoneHash[e.Member.Zone] ^= e.hash
			d.zoneCount[e.Member.Zone]++
			d.hash ^= e.hash
		}
		for _, other := range s.names {
			if other != name && shared[other].Member.Zone == d.cfg.Self.Zone {
				d.insertProbeTarget(other)
			}
		}
		d.updates = nil
	}
}
