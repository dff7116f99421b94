package peer

import (
	"time"

	"github.com/coder/websocket"

	"github.com/rosemarywall/rosemarywall/internal/core/detector"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// piggyback is a registered payload.
type piggyback struct {
	kind    Kind
	provide func(to ident.VMName) []byte
	receive func(from Member, payload []byte)
}

// Piggyback registers a payload. It must be called before the mesh starts.
func (m *Network) Piggyback(kind Kind, provide func(to ident.VMName) []byte, receive func(from Member, payload []byte)) {
	m.pigs = append(m.pigs, piggyback{kind, provide, receive})
}

// withCore runs a step of the detector and carries out its actions.
func (m *Network) withCore(step func(now time.Duration) []detector.Outgoing) {
	m.mu.Lock()
	sends := step(m.clock.Now())
	changed := m.core.TakeChanged()
	m.mu.Unlock()
	for _, s := range sends {
		body := detectorBody{Message: s.Message}
		if s.Message.Type <= detector.Ack {
			body.Payloads = m.payloads(s.To)
		}
		// A message that cannot be queued is a lost message to the detector.
		_ = m.queue(s.To, kindDetector, body)
	}
	if changed {
		signal(m.changed)
	}
	signal(m.wake)
}

// payloads collects the registered payloads for a message. Another kind comes
// first each time, so that none is left out for good when space is short.
func (m *Network) payloads(to ident.VMName) []payload {
	if len(m.pigs) == 0 {
		return nil
	}
	var out []payload
	room := MaxPiggybackBytes
	turn := int(m.turn.Add(1) % uint64(len(m.pigs)))
	for i := range m.pigs {
		p := m.pigs[(turn+i)%len(m.pigs)]
		bytes := p.provide(to)
		switch {
		case len(bytes) == 0:
		case len(bytes) <= room:
			out = append(out, payload{p.kind, bytes})
			room -= len(bytes)
		case len(bytes) > MaxPiggybackBytes:
			m.counters.dropped.Add(string(p.kind), 1)
		}
	}
	return out
}

func (m *Network) receiveDetector(from Member, body detectorBody) {
	m.withCore(func(now time.Duration) []detector.Outgoing { return m.core.Receive(now, from, body.Message) })
	for _, received := range body.Payloads {
		for _, p := range m.pigs {
			if p.kind == received.Kind {
				p.receive(from, received.Body)
			}
		}
	}
}

// discovered takes a VM that has authenticated itself. A process that a later
// incarnation of its VM has replaced is refused.
func (m *Network) discovered(other Member) error {
	m.mu.Lock()
	known, ok := m.core.Member(other.Name)
	m.mu.Unlock()
	if ok && known.Incarnation > other.Incarnation {
		return resultcode.New(resultcode.MessageStranger, "VM %q has restarted since incarnation %d", other.Name, other.Incarnation)
	}
	m.AddHints([]Member{other}, false)
	return nil
}

// joinSeed asks a seed for its view until it answers.
func (m *Network) joinSeed(address string) {
	for backoff := firstBackoff; address != m.cfg.Self.Address; backoff = min(2*backoff, lastBackoff) {
		conn, other, err := m.dial(m.ctx, address, "")
		if err == nil {
			conn.Close(websocket.StatusNormalClosure, "joined")
			m.withCore(func(time.Duration) []detector.Outgoing { return m.core.Join(other.Name) })
			return
		}
		m.counters.connectFailures.Add(1)
		if !pause(m.ctx, backoff) {
			return
		}
	}
}

// tickAll drives the detector.
func (m *Network) tickAll() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
			m.withCore(m.core.Tick)
		}
		m.mu.Lock()
		next := m.core.NextTick()
		m.mu.Unlock()
		timer.Reset(next - m.clock.Now())
	}
}

// notifyAll tells the observers about changes, one change at a time.
func (m *Network) notifyAll() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-m.changed:
		}
		m.mu.Lock()
		view := m.core.Members()
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

// LinkDump describes the link to one VM.
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
	d := Dump{Self: m.core.Self(), Members: m.core.Members(), Detector: m.core.Stats(), TLS: m.cfg.Credentials != nil}
	links := make(map[ident.VMName]*link, len(m.links))
	for name, l := range m.links {
		links[name] = l
	}
	m.mu.Unlock()
	for _, member := range d.Members {
		if l, ok := links[member.Name]; ok {
			l.mu.Lock()
			d.Links = append(d.Links, LinkDump{To: l.to, Connected: l.open, Queued: len(l.queue), LastError: l.last})
			l.mu.Unlock()
		}
	}
	return d
}
