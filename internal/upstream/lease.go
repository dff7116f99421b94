package upstream

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

const (
	// terminateTimeout limits the sending of Terminate.
	terminateTimeout = 100 * time.Millisecond
	// resetTimeout limits a reset; a connection that takes longer is closed.
	resetTimeout = 5 * time.Second
	// applyTimeout limits the change of session settings. A request waits for the
	// change and must still be able to move to another upstream within its deadline
	// of 5 s.
	applyTimeout = time.Second
	// cancelTimeout limits the delivery of a CancelRequest.
	cancelTimeout = 2 * time.Second
	// cancelCode is the request code of a CancelRequest.
	cancelCode = 80877102
)

// Lease is the exclusive use of a connection until Release, ResetWith or Close.
type Lease struct {
	pool       *pool
	conn       *Conn
	generation uint64
	done       bool
	// TransactionID is the identifier of the open transaction that has written;
	// empty when the upstream has reported none.
	TransactionID string
}

// Conn returns the connection.
func (l *Lease) Conn() *Conn { return l.conn }

// Target returns the target for which the connection was opened.
func (l *Lease) Target() request.Target { return l.conn.target }

// Release returns an idle connection whose responses have all been read. If dirty is
// set, the session state is first reset in the background.
func (l *Lease) Release(dirty bool) {
	l.conn.Reader.Release()
	if dirty || l.conn.needsReset || len(l.conn.prepared) > maxStatements {
		l.ResetWith("")
		return
	}
	l.finish(true)
}

// ResetWith runs first, a statement such as ROLLBACK, unless it is empty, and then
// the reset statement. It returns the connection in the background once both have
// succeeded. The connection must have no unread response.
func (l *Lease) ResetWith(first string) {
	go func() {
		ok := l.conn.reset(first, l.pool.pools.cfg.Reset)
		l.finish(ok)
	}()
}

// Close closes the connection. A transaction that is open on it cannot commit.
func (l *Lease) Close() { l.finish(false) }

// finish ends the lease and returns the connection to the pool if it is reusable.
func (l *Lease) finish(reusable bool) {
	p, c := l.pool, l.conn
	p.mu.Lock()
	if l.done {
		p.mu.Unlock()
		return
	}
	l.done = true
	delete(p.leases, c)
	// After put, the connection may belong to another lease, so c.cancelled is read
	// before.
	keep := reusable && !c.cancelled
	var closing []*Conn
	if keep {
		closing = p.put(c)
	} else {
		p.openForWaiters()
	}
	p.mu.Unlock()
	closeAll(closing)
	if !keep {
		_ = c.netConn.Close()
	}
}

// Cancel requests the upstream to cancel the running statement. It has no effect
// once the lease has ended.
func (l *Lease) Cancel() error {
	p, c := l.pool, l.conn
	p.mu.Lock()
	if l.done || c.generation != l.generation {
		p.mu.Unlock()
		return nil
	}
	c.cancelled = true
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return p.pools.sendCancel(ctx, c)
}

// Abort closes the network connection of the active lease, which ends a pending read or write of
// its holder. It has no effect once the lease has ended.
func (l *Lease) Abort() {
	p, c := l.pool, l.conn
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.done || c.generation != l.generation {
		return
	}
	c.cancelled = true
	netConn := c.netConn
	if t, ok := netConn.(*tls.Conn); ok {
		netConn = t.NetConn() // closing the TLS connection would wait for a pending write
	}
	_ = netConn.Close()
}

// dial opens a network connection to an upstream.
func (p *Pools) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.cfg.Dial != nil {
		return p.cfg.Dial(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Cancelled reports whether Cancel was called on the active lease.
func (l *Lease) Cancelled() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return !l.done && l.conn.cancelled
}

// sendCancel delivers a CancelRequest over a separate connection and waits until the
// upstream closes it.
func (p *Pools) sendCancel(ctx context.Context, c *Conn) error {
	conn, err := p.dial(ctx, c.target.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if conn, err = p.startTLS(ctx, conn); err != nil {
		return err
	}
	packet := binary.BigEndian.AppendUint32(nil, uint32(12+len(c.secret)))
	packet = binary.BigEndian.AppendUint32(packet, cancelCode)
	packet = binary.BigEndian.AppendUint32(packet, c.pid)
	packet = append(packet, c.secret...)
	if _, err := conn.Write(packet); err != nil {
		return err
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// startTLS negotiates TLS, if it is configured, so that the secret key of a
// CancelRequest is not sent unencrypted.
func (p *Pools) startTLS(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if p.cfg.TLS == nil {
		return conn, nil
	}
	cfg := p.cfg.TLS()
	if cfg == nil {
		return conn, nil
	}
	accepted, err := requestTLS(conn)
	if err != nil {
		return nil, err
	}
	if !accepted {
		return nil, errors.New("upstream does not accept TLS")
	}
	secured := tls.Client(conn, cfg)
	return secured, secured.HandshakeContext(ctx)
}

// reset runs the statements and reports whether the session state was reset.
func (c *Conn) reset(statements ...string) bool {
	_ = c.netConn.SetDeadline(time.Now().Add(resetTimeout))
	defer func() { _ = c.netConn.SetDeadline(time.Time{}) }()
	for _, s := range statements {
		if s != "" && !c.runResetStatement(s) {
			return false
		}
	}
	c.prepared, c.Settings, c.UnnamedStatement, c.needsReset = map[StatementKey]string{}, map[string]string{}, StatementKey{}, false
	c.Reader.Release()
	return true
}

// ApplySettings runs a statement that changes session settings. It returns the fields
// of the upstream's ErrorResponse if the statement failed, and an error if the
// connection failed.
func (c *Conn) ApplySettings(statement string) (errorResponse []byte, err error) {
	_ = c.netConn.SetDeadline(time.Now().Add(applyTimeout))
	defer func() { _ = c.netConn.SetDeadline(time.Time{}) }()
	errorResponse, _, err = c.run(statement)
	return errorResponse, err
}

// runResetStatement runs a statement and reports whether it succeeded and left no
// transaction open.
func (c *Conn) runResetStatement(statement string) bool {
	errorResponse, status, err := c.run(statement)
	return err == nil && errorResponse == nil && status == 'I'
}

// run executes a statement with the simple query protocol and discards its rows.
func (c *Conn) run(statement string) (errorResponse []byte, status byte, err error) {
	if err := c.Writer.WriteStringFrame('Q', statement); err != nil {
		return nil, 0, err
	}
	if err := c.Writer.Flush(); err != nil {
		return nil, 0, err
	}
	for {
		kind, body, err := c.Reader.ReadMessage()
		switch {
		case err != nil:
			return nil, 0, err
		case kind == 'E':
			errorResponse = append([]byte(nil), body...)
		case kind == 'S':
			if name, value, err := wire.ParseParameterStatus(body); err == nil {
				c.Params[name] = value
			}
		case kind == 'Z' && len(body) == 1:
			return errorResponse, body[0], nil
		}
	}
}
