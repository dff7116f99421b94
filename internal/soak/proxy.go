package soak

import (
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does to its connections.
type Mode uint8

// Modes.
const (
	Pass Mode = iota
	// Delay holds bytes back for delayTime in each direction.
	Delay
	// Reset ends connections and refuses new ones.
	Reset
	// CutRequests and CutAnswers lose the bytes of one direction.
	CutRequests
	CutAnswers
	// Silence loses the bytes of both.
	Silence
)

var modes = []Mode{Delay, Reset, CutRequests, CutAnswers, Silence}

// String returns the name used in reports.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "reset", "cut-requests", "cut-answers", "silence"}[m]
}

// delayTime exceeds a round trip between distant regions.
const delayTime = 150 * time.Millisecond

// proxy forwards TCP connections to a target. Bytes that are lost in a mode stay lost:
// the connections that lost some are reset when the mode ends.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool // whether bytes of it were lost
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for conn, lost := range p.conns {
		if mode == Reset || mode == Pass && lost {
			abort(conn)
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refused := p.mode == Reset
		if !refused {
			p.conns[conn] = false
		}
		p.mu.Unlock()
		if refused {
			abort(conn)
			continue
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(conn net.Conn) {
	defer p.forget(conn)
	far, err := net.Dial("tcp4", p.target)
	if err != nil {
		abort(conn)
		return
	}
	defer far.Close()
	go func() {
		p.copy(far, conn, conn, CutRequests)
		_ = far.Close()
	}()
	p.copy(conn, far, conn, CutAnswers)
}

func (p *proxy) forget(conn net.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// copy forwards one direction of a connection until it ends; cut is the mode that
// loses its bytes.
func (p *proxy) copy(to, from, conn net.Conn, cut Mode) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		mode := p.mode
		lost := mode == cut || mode == Silence
		if _, open := p.conns[conn]; open && lost {
			p.conns[conn] = true
		}
		lost = lost || p.conns[conn]
		p.mu.Unlock()
		if lost {
			continue
		}
		if mode == Delay {
			time.Sleep(delayTime)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
