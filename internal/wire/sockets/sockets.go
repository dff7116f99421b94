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
	// Silent means open, without input.
	Silent State = iota
	// Readable means that input waits or that the state is not known.
	Readable
	// Closed means that the peer has closed the connection.
	Closed
)

// Watch looks at one connection repeatedly without allocating. It is not safe for
// concurrent use.
type Watch struct {
	raw   syscall.RawConn
	look  func(fd uintptr) bool
	state State
}

// NewWatch returns a watch of the connection, below TLS.
func NewWatch(c net.Conn) *Watch {
	w := &Watch{}
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
			w.state = Silent
		case err == nil && n > 0:
			w.state = Readable
		default:
			w.state = Closed
		}
		return true
	}
	return w
}

// State looks at the connection.
func (w *Watch) State() State {
	if w.raw == nil {
		return Silent
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
func Probe(c net.Conn) State { return NewWatch(c).State() }
