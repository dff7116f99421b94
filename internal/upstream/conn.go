package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/wire"
	"github.com/rosemarywall/rosemarywall/internal/wire/sockets"
)

// maxStatements is the number of statements kept prepared on one connection.
const maxStatements = 256

// Errors of a login. They have no result code, because the message of the client is not at fault.
var (
	errLoginField       = errors.New("a field of the login contains a NUL")
	errBytesBehindLogin = errors.New("the upstream sent more than the response to the login")
)

// StatementKey identifies a prepared statement by the hash of its text and types.
type StatementKey [32]byte

// Conn is a connection to an upstream. Only the holder of its lease may use it.
type Conn struct {
	netConn net.Conn
	// Reader reads responses.
	Reader *wire.Reader
	// Writer writes requests.
	Writer *wire.Writer
	// Params are the parameters that the upstream reported in ParameterStatus.
	Params map[string]string
	// Settings are the session settings applied to the connection, as SQL values.
	Settings map[string]string
	// UnnamedStatement is the statement that the unnamed prepared statement holds; zero
	// when unknown.
	UnnamedStatement StatementKey

	prepared   map[StatementKey]string
	sequence   int
	needsReset bool
	marker     int

	pid        uint32
	secret     []byte
	target     request.Target
	generation uint64
	cancelled  bool
	idleSince  time.Duration

	watch *sockets.Prober
}

// Prepared returns the name under which the statement is prepared on the connection.
func (c *Conn) Prepared(key StatementKey) (string, bool) {
	name, ok := c.prepared[key]
	return name, ok
}

// NewStatementName returns a statement name that is not in use on the connection.
func (c *Conn) NewStatementName() string {
	c.sequence++
	return "rw" + strconv.Itoa(c.sequence)
}

// MarkerCount is the number of distinct request markers; see NextMarker.
const MarkerCount = 3

// NextMarker returns a number from 1 to MarkerCount that differs from the marker of
// the previous request on this connection.
func (c *Conn) NextMarker() int {
	c.marker = c.marker%MarkerCount + 1
	return c.marker
}

// SetPrepared records that the upstream has prepared the statement.
func (c *Conn) SetPrepared(key StatementKey, name string) { c.prepared[key] = name }

// InvalidateStatements marks the prepared statements as unusable, so that the
// connection is reset before its next lease.
func (c *Conn) InvalidateStatements() { c.needsReset = true }

// SetReadDeadline sets the deadline for reads; the zero time removes it.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.netConn.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline for writes; the zero time removes it.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.netConn.SetWriteDeadline(t) }

// Abort closes the network connection, which unblocks pending reads and writes.
// The lease must be closed afterwards.
func (c *Conn) Abort() { _ = c.netConn.Close() }

// usable reports whether an idle connection is still open and has no unread data.
// Unsolicited data may be a late response to an earlier request, so the connection
// must not be reused.
func (c *Conn) usable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	return c.watch.Probe() == sockets.NoData
}

// open establishes a connection. pgconn handles TLS, startup and authentication;
// the raw connection is used afterwards.
func (p *Pools) open(ctx context.Context, target request.Target) (*Conn, error) {
	host, portText, err := net.SplitHostPort(target.Address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, err
	}
	for _, field := range [...][2]string{
		{"user", p.cfg.Credentials.User}, {"password", p.cfg.Credentials.Password}, {"database", string(target.Group)},
	} {
		if strings.IndexByte(field[1], 0) >= 0 {
			return nil, fmt.Errorf("%w: %s", errLoginField, field[0])
		}
	}
	cfg, err := pgconn.ParseConfig("host=127.0.0.1 user=rosemarywall sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.Host, cfg.Port, cfg.Fallbacks = host, uint16(port), nil
	cfg.User, cfg.Password = p.cfg.Credentials.User, p.cfg.Credentials.Password
	cfg.Database, cfg.RuntimeParams = string(target.Group), nil
	cfg.ConnectTimeout = p.cfg.DialTimeout
	if p.cfg.TLS != nil {
		cfg.TLSConfig = p.cfg.TLS()
	}
	if p.cfg.Dial != nil {
		cfg.DialFunc = p.cfg.Dial
	}
	pc, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, err
	}
	// The login may have read a part of a message, which the connection would go on within.
	if n := h.Frontend.ReadBufferLen(); n > 0 {
		_ = h.Conn.Close()
		return nil, fmt.Errorf("%w: %d bytes", errBytesBehindLogin, n)
	}
	return p.newConn(h, target), nil
}

func (p *Pools) newConn(h *pgconn.HijackedConn, target request.Target) *Conn {
	c := &Conn{
		netConn: h.Conn, Params: h.ParameterStatuses, pid: h.PID, secret: h.SecretKey, target: target,
		Settings: map[string]string{}, prepared: map[StatementKey]string{},
	}
	c.Reader, c.Writer = wire.NewReader(h.Conn, p.cfg.MaxMessage), wire.NewWriter(h.Conn)
	c.watch = sockets.NewProber(h.Conn)
	keepAlive(h.Conn)
	return c
}

// keepAlive configures TCP keep-alive so that a lost peer is detected within about
// 3 s.
func keepAlive(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2})
	}
}

// isTooManyConnections reports whether the upstream rejected a connection because
// it has no connection slot left.
func isTooManyConnections(err error) bool {
	var pg *pgconn.PgError
	return errors.As(err, &pg) && pg.Code == "53300"
}

// term returns the term for which the connection was opened.
func (c *Conn) term() ident.Term { return c.target.Term }
