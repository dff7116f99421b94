package peer

import (
	"time"

	"github.com/coder/websocket"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// piggyback holds the registered functions of one kind of payload.
type piggyback struct {
	kind    Kind
	provide func(to ident.VMName) []byte
	receive func(from Member, payload []byte)
}

// Piggyback implements Mesh. It must be called before Start.
func (m *Network) Piggyback(kind Kind, provide func(to ident.VMName) []byte, receive func(from Member, payload []byte)) {
	m.piggybacks = append(m.piggybacks, piggyback{kind, provide, receive})
}

// updateDetector runs one step of the failure detector, sends the messages that it
// returns and signals changes.
func (m *Network) updateDetector(step func(now time.Duration) []detector.Outgoing) {
	m.mu.Lock()
	sends := step(m.clock.Now())
	changed := m.detector.TakeChanged()
	m.mu.Unlock()
	for _, s := range sends {
		body := detectorBody{Message: s.Message}
		if s.Message.Type <= detector.Ack {
			body.Payloads = m.payloads(s.To)
		}
		// The detector tolerates lost messages, so an error is equivalent to a loss.
		if m.queue(s.To, kindDetector, body) != nil {
			m.counters.dropped.Add(string(kindDetector), 1)
		}
	}
	if changed {
		signal(m.changed)
	}
	signal(m.wake)
}

// payloads collects the registered payloads for a message. The first kind rotates
// from message to message, so that no kind is starved when they do not all fit.
func (m *Network) payloads(to ident.VMName) []payload {
	if len(m.piggybacks) == 0 {
		return nil
	}
	var out []payload
	remaining := MaxPiggybackBytes
	turn := int(m.piggybackTurn.Add(1) % uint64(len(m.piggybacks)))
	for i := range m.piggybacks {
		p := m.piggybacks[(turn+i)%len(m.piggybacks)]
		bytes := p.provide(to)
		switch {
		case len(bytes) == 0:
		case len(bytes) <= remaining:
			out = append(out, payload{p.kind, bytes})
			remaining -= len(bytes)
		case len(bytes) > MaxPiggybackBytes:
			m.counters.dropped.Add(string(p.kind), 1)
		}
	}
	return out
}

func (m *Network) receiveDetector(from Member, body detectorBody) {
	m.updateDetector(func(now time.Duration) []detector.Outgoing { return m.detector.Receive(now, from, body.Message) })
	for _, received := range body.Payloads {
		for _, p := range m.piggybacks {
			if p.kind == received.Kind {
				p.receive(from, received.Body)
			}
		}
	}
}

// addPeer adds an authenticated VM to the hints of the detector. It rejects a process
// whose VM is known with a later incarnation.
func (m *Network) addPeer(other Member) error {
	m.mu.Lock()
	known, ok := m.detector.Member(other.Name)
	m.mu.Unlock()
	if ok && known.Incarnation > other.Incarnation {
		return resultcode.New(resultcode.MessageStranger, "VM %q has restarted since incarnation %d", other.Name, other.Incarnation)
	}
	m.AddHints([]Member{other}, false)
	return nil
}

// joinSeed connects to a seed address with retries, then joins through the VM that
// responds.
func (m *Network) joinSeed(address string) {
	for backoff := minBackoff; address != m.cfg.Self.Address; backoff = min(2*backoff, maxBackoff) {
		conn, other, err := m.dial(m.ctx, address, "")
		if err == nil {
			conn.Close(websocket.StatusNormalClosure, "joined")
			m.updateDetector(func(time.Duration) []detector.Outgoing { return m.detector.Join(other.Name) })
			return
		}
		m.counters.connectFailures.Add(1)
		if !sleep(m.ctx, backoff) {
			return
		}
	}
}

// runDetector runs the ticks of the detector until the mesh stops.
func (m *Network) runDetector() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
			m.updateDetector(m.detector.Tick)
		}
		m.mu.Lock()
		next := m.detector.NextTick()
		m.mu.Unlock()
		timer.Reset(next - m.clock.Now())
	}
}

// runObservers notifies the observers of changes, one change at a time.
func (m *Network) runObservers() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.changed:
		}
		m.mu.Lock()
		view := m.detector.Members()
		observers := append([]func([]Member){}, m.observers...)
		m.mu.Unlock()
		for _, observe := range observers {
			observe(view)
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// LinkDump describes the outgoing connection to one VM.
type LinkDump struct {
	To        ident.VMName `json:"to"`
	Connected bool         `json:"connected"`
	Queued    int          `json:"queued"`
	LastError string       `json:"last_error,omitempty"`
}

// Dump describes the state of the mesh.
type Dump struct {
	Self     Member         `json:"self"`
	Members  []Member       `json:"members"`
	Links    []LinkDump     `json:"links"`
	Detector detector.Stats `json:"detector"`
	TLS      bool           `json:"tls"`
}

// Dump returns the state of the mesh for operators.
func (m *Network) Dump() Dump {
	m.mu.Lock()
	d := Dump{Self: m.detector.Self(), Members: m.detector.Members(), Detector: m.detector.Stats(), TLS: m.cfg.Credentials != nil}
	links := make(map[ident.VMName]*link, len(m.links))
	for name, l := range m.links {
		links[name] = l
	}
	m.mu.Unlock()
	for _, member := range d.Members {
		if l, ok := links[member.Name]; ok {
			l.mu.Lock()
			d.Links = append(d.Links, LinkDump{To: l.to, Connected: l.connected, Queued: len(l.queue), LastError: l.lastError})
			l.mu.Unlock()
		}
	}
	return d
}
