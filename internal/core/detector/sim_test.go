package detector

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/core/eventqueue"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// simVM is one member of the simulation.
type simVM struct {
	self    Member
	core    *Detector
	life    int
	running bool
	left    bool
	paused  time.Duration // until
	wake    time.Duration // of the scheduled tick
	bytes   int           // sent
}

// sim runs detectors and their messages on virtual time.
type sim struct {
	eventqueue.Queue
	rng   *rand.Rand
	vms   map[ident.VMName]*simVM
	names []ident.VMName
	// Faults.
	loss, duplicate float64
	jitter          time.Duration
	cut             map[[2]ident.VMName]bool
	// Measurements.
	payload         int // bytes of piggybacked payload in each probe message
	encode          bool
	messages, bytes int
	onStep          func(*simVM)
	largest         int // records in a probe message, estimated bytes
}

func newSim(seed uint64, zones, perZone int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), vms: map[ident.VMName]*simVM{}, cut: map[[2]ident.VMName]bool{}, jitter: time.Millisecond}
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

// start gives a VM a new life that joins through the first other running VM.
func (s *sim) start(vm *simVM) {
	s.boot(vm)
	for _, name := range s.names {
		if other := s.vms[name]; other.running && other != vm && !other.left {
			vm.core.AddHints(s.Now, []Member{other.self}, false)
			s.carry(vm, vm.core.Join(name))
			return
		}
	}
}

// list passes the platform's list of VMs on, without incarnations, once a minute.
func (s *sim) list() {
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
			vm.core.AddHints(s.Now, all, true)
		}
	}
	s.Schedule(s.Now+time.Minute, s.list)
}

func (s *sim) boot(vm *simVM) {
	vm.life++
	vm.self.Incarnation++
	vm.running, vm.left, vm.paused = true, false, 0
	vm.core = New(s.Now, DefaultConfig(vm.self), rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	vm.wake = 0
	s.schedule(vm)
}

// stop ends a VM without notice.
func (s *sim) stop(vm *simVM) { vm.running, vm.life = false, vm.life+1 }

func (s *sim) schedule(vm *simVM) {
	next := vm.core.NextTick()
	if vm.wake > s.Now && vm.wake <= next {
		return
	}
	vm.wake = next
	life := vm.life
	s.Schedule(next, func() {
		if vm.life != life || vm.wake != next {
			return
		}
		if vm.paused > s.Now {
			s.Schedule(vm.paused, func() { s.step(vm, life, nil) })
			return
		}
		s.step(vm, life, nil)
	})
}

// step runs the due tick, or a message, of a VM.
func (s *sim) step(vm *simVM, life int, receive func() []Outgoing) {
	if vm.life != life {
		return
	}
	if vm.paused > s.Now {
		s.Schedule(vm.paused, func() { s.step(vm, life, receive) })
		return
	}
	if receive != nil {
		s.carry(vm, receive())
	}
	if vm.core.NextTick() <= s.Now {
		s.carry(vm, vm.core.Tick(s.Now))
	}
	s.schedule(vm)
	if s.onStep != nil {
		s.onStep(vm)
	}
}

// carry delivers messages with the faults in force.
func (s *sim) carry(from *simVM, sends []Outgoing) {
	for _, send := range sends {
		s.count(from, send.Message)
		to, ok := s.vms[send.To]
		if !ok || !to.running || s.cut[[2]ident.VMName{from.self.Name, send.To}] || s.rng.Float64() < s.loss {
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
			life, sender, message := to.life, from.self, send.Message
			s.Schedule(s.Now+delay, func() {
				s.step(to, life, func() []Outgoing { return to.core.Receive(s.Now, sender, message) })
			})
		}
	}
}

// frame has the form of the mesh's envelope around a detector message.
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
	size = len(bytes) + 8*len(m.Records) // incarnations in records are short here
	s.bytes += size
	from.bytes += size
}

// settle gives every VM the complete view, as after a long quiet time. The records
// are shared to save memory; a detector replaces a record, it never changes one.
func (s *sim) settle() {
	for _, name := range s.names {
		s.boot(s.vms[name])
	}
	shared := map[ident.VMName]*entry{}
	for _, name := range s.names {
		r := Record{Member: s.vms[name].self}
		shared[name] = &entry{Record: r, hash: r.hash(), listed: true}
	}
	for _, name := range s.names {
		d := s.vms[name].core
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
				d.insertTarget(other)
			}
		}
		d.updates = nil
	}
}
