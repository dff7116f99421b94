package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/wire"
	"github.com/rosemarywall/rosemarywall/internal/wire/sockets"
)

// errShed tells an idle session to disconnect.
var errShed = errors.New("the server is shedding callers")

// past is a deadline that has passed.
var past = time.Unix(1, 0)

const (
	// minFrame is the smallest message in bytes.
	minFrame = 5
	// lingerTimeout bounds the wait for the caller's end of a connection that the server
	// closes.
	lingerTimeout = 100 * time.Millisecond
)

// callerConn is the connection of a caller. It implements filter.Caller.
type callerConn struct {
	net    net.Conn
	reader *wire.Reader
	writer *wire.Writer
	// shed reports whether an idle caller should be disconnected.
	shed func() bool

	// mu orders the setting of the read deadline against the flags.
	mu          sync.Mutex
	interrupted bool
	idle        bool
	// woken says that an order has interrupted a read.
	woken bool
}

// timedWriter bounds each write.
type timedWriter struct {
	net     net.Conn
	timeout time.Duration
}

func (t timedWriter) Write(p []byte) (int, error) {
	if err := t.net.SetWriteDeadline(time.Now().Add(t.timeout)); err != nil {
		return 0, err
	}
	return t.net.Write(p)
}

func newCallerConn(c net.Conn, cfg *Config, shed func() bool) *callerConn {
	return &callerConn{
		net: c, reader: wire.NewReader(c, cfg.MaxMessage), writer: wire.NewWriter(timedWriter{c, cfg.WriteTimeout}), shed: shed,
	}
}

// Writer implements filter.Caller.
func (c *callerConn) Writer() *wire.Writer { return c.writer }

// Reader implements filter.Caller.
func (c *callerConn) Reader() *wire.Reader { return c.reader }

// Interrupt implements filter.Caller.
func (c *callerConn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.net.SetReadDeadline(past)
}

// Resume implements filter.Caller.
func (c *callerConn) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = false
	_ = c.net.SetReadDeadline(time.Time{})
}

// wake makes Peek look at shed again.
func (c *callerConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.woken = true
		_ = c.net.SetReadDeadline(past)
	}
}

// PeekIdle waits for the first message of a request. It fails with errShed when
// the caller should be disconnected meanwhile.
func (c *callerConn) PeekIdle() (byte, int, error) {
	c.setIdle(true)
	defer c.setIdle(false)
	if c.shed() && c.reader.Buffered() == 0 {
		return 0, 0, errShed
	}
	return c.Peek()
}

// Gone implements filter.Caller. Input that was not read yet hides the end.
func (c *callerConn) Gone() bool { return sockets.Probe(c.net) == sockets.Closed }

// setIdle begins or ends the wait of an idle session. An order that arrives with the message must
// not interrupt later reads.
func (c *callerConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	if c.woken {
		c.woken = false
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

// Peek implements filter.Caller.
func (c *callerConn) Peek() (byte, int, error) {
	if c.reader.Buffered() < minFrame && c.writer.Buffered() > 0 {
		if err := c.writer.Flush(); err != nil {
			return 0, 0, err
		}
	}
	for {
		kind, size, err := c.reader.Peek()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return kind, size, err
		}
		if err := c.timedOut(); err != nil {
			return 0, 0, err
		}
	}
}

// close ends the connection such that the caller can read the last response.
func (c *callerConn) close() {
	sockets.Linger(c.net, lingerTimeout)
	_ = c.net.Close()
}

// timedOut finds out why the read deadline passed.
func (c *callerConn) timedOut() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return filter.ErrInterrupted
	}
	if c.idle && c.shed() && c.reader.Buffered() == 0 {
		return errShed
	}
	c.woken = false
	return c.net.SetReadDeadline(time.Time{})
}
