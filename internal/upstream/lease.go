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
	// terminateTimeout bounds the sending of Terminate.
	terminateTimeout = 100 * time.Millisecond
	// resetTimeout bounds a reset; a connection that takes longer is closed.
	resetTimeout = 5 * time.Second
	// applyTimeout bounds the setting of session settings. A request waits for it,
	// and moves on to another upstream within its deadline of 5 s afterwards.
	applyTimeout = time.Second
	// cancelTimeout bounds the delivery of a CancelRequest.
	cancelTimeout = 2 * time.Second
	// cancelCode is the request code of a CancelRequest.
	cancelCode = 80877102
)

// Lease is the sole use of a connection until Release or Close.
type Lease struct {
	pool       *pool
	conn       *Conn
	generation uint64
	done       bool
	// TransactionID is the identifier of the running transaction that has written;
	// empty when none was reported.
	TransactionID string
}

// Conn returns the connection.
func (l *Lease) Conn() *Conn { return l.conn }

// Target returns the target for which the connection was opened.
func (l *Lease) Target() request.Target { return l.conn.target }

// Release returns an idle connection whose answers were all read. With dirty set
// the session state is reset first, in the background.
func (l *Lease) Release(dirty bool) {
	l.conn.Reader.Release()
	if dirty || l.conn.stale || len(l.conn.prepared) > maxStatements {
		l.ResetWith("")
		return
	}
	l.finish(true)
}

// ResetWith sends a statement such as ROLLBACK, when not empty, and the reset
// statement, and returns the connection in the background once both succeeded.
// The connection must have no unread answer.
func (l *Lease) ResetWith(first string) {
	go func() {
		ok := l.conn.reset(first, l.pool.owner.cfg.Reset)
		l.finish(ok)
	}()
}

// Close closes the connection. A transaction that was open on it cannot commit.
func (l *Lease) Close() { l.finish(false) }

// finish ends the lease and keeps the connection if it is reusable.
func (l *Lease) finish(reusable bool) {
	p, c := l.pool, l.conn
	p.mu.Lock()
	if l.done {
		p.mu.Unlock()
		return
	}
	l.done = true
	delete(p.leases, c)
	// Once put, the connection may belong to another lease.
	keep := reusable && !c.cancelled
	var closing []*Conn
	if keep {
		closing = p.put(c)
	} else {
		p.openMore()
	}
	p.mu.Unlock()
	closeAll(closing)
	if !keep {
		_ = c.net.Close()
	}
}

// Cancel asks the upstream to cancel the running statement. It does nothing once
// the lease has ended.
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
	return p.owner.sendCancel(ctx, c)
}

// dial opens a network connection to an upstream.
func (p *Pools) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.cfg.Dial != nil {
		return p.cfg.Dial(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Cancelled reports whether Cancel was called.
func (l *Lease) Cancelled() bool {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	return !l.done && l.conn.cancelled
}

// sendCancel delivers a CancelRequest on a connection of its own and waits until
// the upstream has closed it.
func (p *Pools) sendCancel(ctx context.Context, c *Conn) error {
	conn, err := p.dial(ctx, c.target.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if conn, err = p.encrypt(ctx, conn); err != nil {
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

// encrypt negotiates TLS, if it is configured, so that the cancel key is not sent
// in the clear.
func (p *Pools) encrypt(ctx context.Context, conn net.Conn) (net.Conn, error) {
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
		return nil, errors.New("the upstream refused TLS")
	}
	secured := tls.Client(conn, cfg)
	return secured, secured.HandshakeContext(ctx)
}

// reset runs the statements and reports whether the connection is clean.
func (c *Conn) reset(statements ...string) bool {
	_ = c.net.SetDeadline(time.Now().Add(resetTimeout))
	defer func() { _ = c.net.SetDeadline(time.Time{}) }()
	for _, s := range statements {
		if s != "" && !c.clean(s) {
			return false
		}
	}
	c.prepared, c.Settings, c.UnnamedStatement, c.stale = map[StatementKey]string{}, map[string]string{}, StatementKey{}, false
	c.Reader.Release()
	return true
}

// ApplySettings runs a statement that sets session settings. It returns the fields of
// the upstream's ErrorResponse when the statement failed, and an error when the
// connection broke.
func (c *Conn) ApplySettings(statement string) (refusal []byte, err error) {
	_ = c.net.SetDeadline(time.Now().Add(applyTimeout))
	defer func() { _ = c.net.SetDeadline(time.Time{}) }()
	refusal, _, err = c.run(statement)
	return refusal, err
}

// clean runs a statement and reports whether it succeeded and left the connection
// outside a transaction.
func (c *Conn) clean(statement string) bool {
	refusal, status, err := c.run(statement)
	return err == nil && refusal == nil && status == 'I'
}

// run executes a statement without a result.
func (c *Conn) run(statement string) (refusal []byte, status byte, err error) {
	_ = c.Writer.Text('Q', statement)
	if err := c.Writer.Flush(); err != nil {
		return nil, 0, err
	}
	for {
		kind, body, err := c.Reader.Next()
		switch {
		case err != nil:
			return nil, 0, err
		case kind == 'E':
			refusal = append([]byte(nil), body...)
		case kind == 'S':
			if name, value, err := wire.Parameter(body); err == nil {
				c.Params[name] = value
			}
		case kind == 'Z' && len(body) == 1:
			return refusal, body[0], nil
		}
	}
}
