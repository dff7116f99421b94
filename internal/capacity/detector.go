package capacity

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// member is a VM of a simulated fleet.
func member(zone, number int) detector.Member {
	return detector.Member{
		Name: ident.VMName(fmt.Sprintf("zone-%02d-vm-%03d", zone, number)), Zone: zoneName(zone),
		Address: fmt.Sprintf("10.%d.%d.%d:7301", zone, number/250, number%250), Incarnation: 1_700_000_000,
	}
}

func zoneName(zone int) ident.AvailabilityZone {
	return ident.AvailabilityZone(fmt.Sprintf("zone-%02d", zone))
}

func fleetOf(zones, perZone int) []detector.Member {
	var all []detector.Member
	for z := range zones {
		for i := range perZone {
			all = append(all, member(z, i))
		}
	}
	return all
}

// Latencies of simulated messages, one way.
const (
	insideZone   = 500 * time.Microsecond
	betweenZones = 12 * time.Millisecond
)

// detectors is a fleet of failure detectors on virtual time.
type detectors struct {
	*timeline
	loss     float64
	payload  []byte
	nodes    map[ident.VMName]*detector.Detector
	self     map[ident.VMName]detector.Member
	dead     map[ident.VMName]bool
	messages int
	bytes    int
	deaths   map[ident.VMName]time.Duration // first death in any view
	spread   map[ident.VMName]time.Duration // death in the last view
	err      error
}

func newDetectors(seed uint64, zones, perZone int, payload []byte) *detectors {
	s := &detectors{
		timeline: newTimeline(seed), payload: payload,
		nodes: map[ident.VMName]*detector.Detector{}, self: map[ident.VMName]detector.Member{},
		dead: map[ident.VMName]bool{}, deaths: map[ident.VMName]time.Duration{}, spread: map[ident.VMName]time.Duration{},
	}
	all := fleetOf(zones, perZone)
	for _, m := range all {
		d := detector.New(0, detector.DefaultConfig(m), rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
		d.AddHints(0, all, true)
		s.nodes[m.Name], s.self[m.Name] = d, m
	}
	s.settle(len(all))
	for _, m := range all {
		s.tick(m.Name)
	}
	return s
}

// settle answers probes until the records of the first hint have been passed on,
// so that the traffic is that of a fleet without changes.
func (s *detectors) settle(members int) {
	const recordsPerMessage, transmissions = 4, 30
	var working sync.WaitGroup
	limit := make(chan struct{}, 3)
	for name, d := range s.nodes {
		other := member(0, 0)
		if name == other.Name {
			other = member(0, 1)
		}
		working.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			for range members * transmissions / recordsPerMessage {
				d.Receive(0, other, detector.Message{Type: detector.Ping})
			}
		})
	}
	working.Wait()
}

func (s *detectors) tick(name ident.VMName) {
	s.at(s.nodes[name].NextTick(), func() {
		if !s.dead[name] {
			s.send(name, s.nodes[name].Tick(s.now))
			s.tick(name)
		}
	})
}

func (s *detectors) send(from ident.VMName, sends []detector.Outgoing) {
	s.note(from)
	for _, out := range sends {
		kind := peer.Kind("")
		if out.Message.Type <= detector.Ack && s.payload != nil {
			kind = "share-versions"
		}
		n, err := peer.EncodedDetectorSize(s.self[from], out.Message, kind, s.payload)
		if err != nil {
			s.err = err
			return
		}
		s.messages++
		s.bytes += wireBytes(n)
		if s.rng.Float64() < s.loss {
			continue
		}
		delay := insideZone
		if s.self[from].Zone != s.self[out.To].Zone {
			delay = betweenZones
		}
		s.at(s.now+delay, func() {
			if !s.dead[out.To] && !s.dead[from] {
				s.send(out.To, s.nodes[out.To].Receive(s.now, s.self[from], out.Message))
			}
		})
	}
}

// note records deaths that a view shows for the first time.
func (s *detectors) note(at ident.VMName) {
	d := s.nodes[at]
	if !d.TakeChanged() {
		return
	}
	for name := range s.dead {
		if m, ok := d.Member(name); ok && m.State == detector.Dead {
			if _, known := s.deaths[name]; !known {
				s.deaths[name] = s.now
			}
			s.spread[name] = max(s.spread[name], s.now)
		}
	}
}

// detectorRun is what a run of the detectors showed, per VM and second.
type detectorRun struct {
	Messages, Bytes  float64
	Processor        time.Duration // per VM and virtual second, codec included
	Suspicions       uint64        // of live VMs
	FalseDeaths      uint64
	Detected, Spread time.Duration // from the death to the first and last view
	VMs, RunSeconds  int
}

// quiet is the time before a measurement starts.
const quiet = 5 * time.Second

// runDetectors measures a fleet without faults or with lost messages, and then the
// death of one VM.
func runDetectors(zones, perZone int, loss float64, payload []byte) (detectorRun, error) {
	s := newDetectors(7, zones, perZone, payload)
	s.run(quiet)
	s.loss = loss
	s.messages, s.bytes = 0, 0
	const seconds = 60
	start := processorTime()
	s.run(quiet + seconds*time.Second)
	used := processorTime() - start
	n := len(s.nodes)
	r := detectorRun{
		Messages: float64(s.messages) / float64(n) / seconds, Bytes: float64(s.bytes) / float64(n) / seconds,
		Processor: used / time.Duration(n*seconds), VMs: n, RunSeconds: seconds,
	}
	for _, d := range s.nodes {
		r.Suspicions += d.Stats().Suspicions
		r.FalseDeaths += d.Stats().Deaths
	}
	s.loss = 0
	victim := member(0, perZone/2).Name
	s.dead[victim] = true
	died := s.now
	s.run(s.now + 40*time.Second)
	r.Detected, r.Spread = s.deaths[victim]-died, s.spread[victim]-died
	return r, s.err
}

// viewOf returns a detector that knows a fleet of the given size.
func viewOf(vms int) *detector.Detector {
	perZone := (vms + DesignZones - 1) / DesignZones
	all := fleetOf(DesignZones, perZone)
	d := detector.New(0, detector.DefaultConfig(all[0]), rand.New(rand.NewPCG(3, 3)))
	d.AddHints(0, all, true)
	return d
}
