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

// errShed tells a waiting session to disconnect.
var errShed = errors.New("the server is shedding callers")

// past is a deadline that has passed.
var past = time.Unix(1, 0)

const (
	// minFrame is the smallest message in bytes.
	minFrame = 5
	// stoppingStartupTimeout bounds the startup of callers during a planned stop.
	stoppingStartupTimeout = time.Second
	// lingerTimeout bounds the wait for the caller's end of a connection that the server
	// closes.
	lingerTimeout = 100 * time.Millisecond
)

// callerConn is the connection of a caller. It implements filter.Caller.
type callerConn struct {
	// raw is the network connection; net is the TLS connection over it, if there is one.
	raw, net net.Conn
	reader   *wire.Reader
	writer   *wire.Writer
	// ended reports whether an order ends the session while it waits for the caller.
	ended func() bool

	// mu orders the setting of the read deadline against the flags.
	mu          sync.Mutex
	interrupted bool
	// waiting says that an order interrupts reads, and woken that one has.
	waiting, woken bool
	// startupLimit is the end of the time for startup; zero after startup.
	startupLimit time.Time
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

func newCallerConn(c net.Conn, cfg *Config, ended func() bool) *callerConn {
	return &callerConn{
		raw: c, net: c, reader: wire.NewReader(c, cfg.MaxMessage), writer: wire.NewWriter(timedWriter{c, cfg.WriteTimeout}), ended: ended,
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
	_ = c.raw.SetReadDeadline(past)
}

// Resume implements filter.Caller.
func (c *callerConn) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = false
	_ = c.raw.SetReadDeadline(time.Time{})
}

// wake makes a waiting session look at its orders again. A caller in startup gets little more
// time if the VM stops.
func (c *callerConn) wake(stopping bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.woken = true
		_ = c.raw.SetReadDeadline(past)
	} else if stopping && !c.startupLimit.IsZero() {
		c.limitStartup(stoppingStartupTimeout)
	}
}

// beginStartup bounds the startup. stopping reports whether the VM stops.
func (c *callerConn) beginStartup(timeout time.Duration, stopping func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startupLimit = time.Now().Add(timeout)
	if stopping() {
		timeout = min(timeout, stoppingStartupTimeout)
	}
	c.limitStartup(timeout)
}

func (c *callerConn) limitStartup(timeout time.Duration) {
	if limit := time.Now().Add(timeout); limit.Before(c.startupLimit) {
		c.startupLimit = limit
	}
	_ = c.raw.SetDeadline(c.startupLimit)
}

func (c *callerConn) endStartup() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startupLimit = time.Time{}
	return c.raw.SetDeadline(time.Time{})
}

// Await waits for the first message of a request or the next one of a batch. It fails with
// errShed when the caller should be disconnected.
func (c *callerConn) Await() (byte, int, error) {
	c.setWaiting(true)
	defer c.setWaiting(false)
	if c.ended() {
		return 0, 0, errShed
	}
	return c.Peek()
}

// AwaitFrame reads a message as wire.Reader.ReadFrame does. It fails with errShed when the
// caller should be disconnected before the message has arrived.
func (c *callerConn) AwaitFrame() (byte, []byte, error) {
	c.setWaiting(true)
	defer c.setWaiting(false)
	if c.ended() {
		return 0, nil, errShed
	}
	for {
		kind, frame, err := c.reader.ReadFrame()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return kind, frame, err
		}
		if err := c.timedOut(); err != nil {
			return 0, nil, err
		}
	}
}

// AwaitSkip discards a message, whose header has arrived, as wire.Reader.Skip does. It fails with
// errShed when the caller should be disconnected before the message has arrived.
func (c *callerConn) AwaitSkip() error {
	c.setWaiting(true)
	defer c.setWaiting(false)
	if c.ended() {
		return errShed
	}
	for err := c.reader.Skip(); ; err = c.reader.SkipRest() {
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if err := c.timedOut(); err != nil {
			return err
		}
	}
}

// Gone implements filter.Caller. Input that was not read yet hides the end.
func (c *callerConn) Gone() bool { return sockets.Probe(c.raw) == sockets.Closed }

// hasInput reports whether input of the caller has arrived. Input inside the TLS layer is not
// seen.
func (c *callerConn) hasInput() bool {
	return c.reader.Buffered() > 0 || sockets.Probe(c.raw) == sockets.Readable
}

// setWaiting begins or ends a wait. An order that arrives with the message must not interrupt
// later reads.
func (c *callerConn) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
	c.clearWoken()
}

func (c *callerConn) clearWoken() {
	if c.woken {
		c.woken = false
		_ = c.raw.SetReadDeadline(c.startupLimit)
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

// timedOut finds out why the read deadline passed.
func (c *callerConn) timedOut() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return filter.ErrInterrupted
	}
	if !c.startupLimit.IsZero() && !time.Now().Before(c.startupLimit) {
		return os.ErrDeadlineExceeded
	}
	c.woken = false
	if err := c.raw.SetReadDeadline(c.startupLimit); err != nil {
		return err
	}
	if c.waiting && c.ended() {
		return errShed
	}
	return nil
}

// close ends the connection such that the caller can read the last response.
func (c *callerConn) close() {
	sockets.Linger(c.net, lingerTimeout)
	_ = c.net.Close()
}

// abort closes the connection at once.
func (c *callerConn) abort() { _ = c.raw.Close() }
