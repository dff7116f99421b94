// Package sockets checks the state of network connections without consuming input.
package sockets

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// State is the result of probing a connection.
type State uint8

// States of a connection. Connections without a file descriptor are reported as
// NoData.
const (
	// NoData means that the connection is open and no input is available.
	NoData State = iota
	// Readable means that input is available or that the state is unknown.
	Readable
	// Closed means that the peer has closed the connection or that probing it failed.
	Closed
)

// Prober probes one connection repeatedly without allocating memory. It is not safe
// for concurrent use.
type Prober struct {
	raw   syscall.RawConn
	peek  func(fd uintptr) bool
	state State
}

// NewProber returns a prober for the connection. For a TLS connection it probes the
// underlying connection.
func NewProber(c net.Conn) *Prober {
	p := &Prober{}
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if sc, ok := c.(syscall.Conn); ok {
		p.raw, _ = sc.SyscallConn()
	}
	var b [1]byte
	p.peek = func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			p.state = NoData
		case err == nil && n > 0:
			p.state = Readable
		default:
			p.state = Closed
		}
		return true
	}
	return p
}

// Probe returns the current state of the connection.
func (p *Prober) Probe() State {
	if p.raw == nil {
		return NoData
	}
	switch err := p.raw.Read(p.peek); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Readable // an expired read deadline prevents the check
	case err != nil:
		return Closed
	}
	return p.state
}

// Probe returns the current state of a connection.
func Probe(c net.Conn) State { return NewProber(c).Probe() }

// Linger closes this side of a connection and waits at most timeout until the peer closes its
// own. Closing a connection with unread input resets it, and a response that the peer has not
// read yet would be lost. The connection still has to be closed afterwards.
func Linger(c net.Conn, timeout time.Duration) {
	if t, ok := c.(*tls.Conn); ok {
		_ = t.CloseWrite() // fails before the end of the handshake
		c = t.NetConn()
	}
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		_ = c.SetReadDeadline(deadline)
		if _, err := io.Copy(io.Discard, c); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		} // the read may have been interrupted by a deadline of the session
	}
}
