// Package sockets looks at network connections without reading from them.
package sockets

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"syscall"
)

// State is what a look at a connection shows.
type State uint8

// States of a connection. Connections without a file descriptor are Silent.
const (
	// NoData means open, without input.
	NoData State = iota
	// Readable means that input waits or that the state is not known.
	Readable
	// Closed means that the peer has closed the connection.
	Closed
)

// Prober looks at one connection repeatedly without allocating. It is not safe for
// concurrent use.
type Prober struct {
	raw   syscall.RawConn
	look  func(fd uintptr) bool
	state State
}

// NewProber returns a watch of the connection, below TLS.
func NewProber(c net.Conn) *Prober {
	w := &Prober{}
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if sc, ok := c.(syscall.Conn); ok {
		w.raw, _ = sc.SyscallConn()
	}
	var b [1]byte
	w.look = func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			w.state = NoData
		case err == nil && n > 0:
			w.state = Readable
		default:
			w.state = Closed
		}
		return true
	}
	return w
}

// Probe looks at the connection.
func (w *Prober) Probe() State {
	if w.raw == nil {
		return NoData
	}
	switch err := w.raw.Read(w.look); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Readable // a read deadline that has passed hides the state
	case err != nil:
		return Closed
	}
	return w.state
}

// Probe looks at a connection once.
func Probe(c net.Conn) State { return NewProber(c).Probe() }
