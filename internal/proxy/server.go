package proxy

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// Codec implements a wire protocol for one client connection.
type Codec interface {
	// ReadStartup reads the client's first message.
	ReadStartup() (database, key string, err error)
	// WriteStartupResult responds to the first message. A non-nil err rejects the client.
	WriteStartupResult(err error) error
	// ReadStatement reads the next statement. An error with a result code is returned
	// to the client and the session continues; any other error ends it, except an expired
	// deadline, after which ReadStatement continues with the same message.
	ReadStatement() (statement.Statement, error)
	// Partial reports whether a part of the next message has been read.
	Partial() bool
	// WriteResponse writes the response to the last statement.
	WriteResponse(a Response) error
}

// NewCodec returns a codec for a client connection.
type NewCodec func(net.Conn) Codec

const (
	// startupTimeout limits the wait for a client's first message.
	startupTimeout = 5 * time.Second
	// writeTimeout limits the write of a response. A client that doesn't read it in
	// time is disconnected.
	writeTimeout = 5 * time.Second
	// quietPeriod is how long a client must have sent nothing during shutdown before its
	// connection is closed, so that a statement in transit is still received. It is also
	// the delay after a failed accept.
	quietPeriod = 50 * time.Millisecond
)

// Server accepts client connections and serves their sessions.
type Server struct {
	services *Services
	newCodec NewCodec
	log      zerolog.Logger
	observe  func(Record)

	stopping atomic.Bool // sessions close after quietPeriod outside transactions
	forcing  atomic.Bool // open transactions are rolled back
	mu       sync.Mutex
	clients  map[*clientConn]struct{}
	running  sync.WaitGroup
}

// clientConn is the connection of a client.
type clientConn struct {
	conn        net.Conn
	connectedAt time.Duration
	// statement is the one whose response is not written yet; nil without one.
	statement atomic.Pointer[runningStatement]
}

// runningStatement is a statement that a session handles.
type runningStatement struct {
	session   *Session
	id        string
	kind      statement.Kind
	startedAt time.Duration
}

// RunningStatement describes a statement whose response is not written yet.
type RunningStatement struct {
	Database, ID string
	Kind         statement.Kind
	// ConnectedAt and StartedAt are the times on the process clock at which the client
	// connected and at which its statement was read.
	ConnectedAt, StartedAt time.Duration
	// Upstream and ExecutingVM belong to the running attempt; they are empty before the
	// first one.
	Upstream    ident.UpstreamName
	ExecutingVM ident.VMName
}

// Record describes a statement and the response to it.
type Record struct {
	Database string
	// Startup is set if the client was rejected at startup.
	Startup bool
	// ID is the request identifier set by the client.
	ID       string
	Kind     statement.Kind
	Response Response
	Duration time.Duration
}

// NewServer returns a server that calls observe after each response to a statement and
// after each rejected startup.
func NewServer(services *Services, newCodec NewCodec, log zerolog.Logger, observe func(Record)) *Server {
	return &Server{services: services, newCodec: newCodec, log: log, observe: observe, clients: map[*clientConn]struct{}{}}
}

// Serve accepts client connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			// The process has no free file descriptor, or the client has disconnected.
			s.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(quietPeriod)
			continue
		}
		c := &clientConn{conn: conn, connectedAt: s.services.Now()}
		s.mu.Lock()
		s.clients[c] = struct{}{}
		s.mu.Unlock()
		s.running.Go(func() {
			defer s.remove(c)
			recovery.Run(s.log, "client session", func() { s.serve(c) })
		})
	}
}

// remove closes the connection of a client whose session has ended.
func (s *Server) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	_ = c.conn.Close()
}

// RunningStatements returns the statements whose responses are not written yet.
func (s *Server) RunningStatements() []RunningStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	var running []RunningStatement
	for c := range s.clients {
		r := c.statement.Load()
		if r == nil {
			continue
		}
		described := RunningStatement{Database: r.session.database, ID: r.id, Kind: r.kind, ConnectedAt: c.connectedAt, StartedAt: r.startedAt}
		if choice := r.session.running.Load(); choice != nil {
			described.Upstream, described.ExecutingVM = choice.Target.Upstream, choice.ExecutingVM
		}
		running = append(running, described)
	}
	return running
}

// Clients returns the number of connected clients.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

func (s *Server) serve(c *clientConn) {
	conn := c.conn
	codec := s.newCodec(conn)
	_ = conn.SetReadDeadline(time.Now().Add(startupTimeout))
	database, key, err := codec.ReadStartup()
	if err != nil && resultcode.Of(err) == 0 {
		return // the client disconnected
	}
	var session *Session
	var trace Trace
	if err == nil {
		session, trace, err = OpenSession(s.services, database, key)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if writeErr := codec.WriteStartupResult(err); writeErr != nil {
		return
	}
	if err != nil {
		s.observe(Record{Database: database, Startup: true, Response: Response{Err: err, Trace: trace}})
		return
	}
	defer session.Close()
	for s.serveStatement(c, codec, session) {
	}
}

// serveStatement serves one statement and reports whether the session continues.
func (s *Server) serveStatement(c *clientConn, codec Codec, session *Session) bool {
	st, err := s.readStatement(c.conn, codec, session)
	coded := resultcode.Of(err) != 0
	if err != nil && !coded {
		return false
	}
	started := s.services.Now()
	c.statement.Store(&runningStatement{session: session, id: st.ID, kind: st.Kind, startedAt: started})
	defer c.statement.Store(nil)
	a := Response{Err: err, State: session.State()}
	failed := false
	if err == nil {
		if s.forcing.Load() && session.State() == statement.InTransaction {
			session.RollbackTransaction()
		}
		failed = recovery.Run(s.log, "statement", func() { a = session.Handle(context.Background(), st) })
	}
	if failed {
		// The statement may have been sent, and the state of the session is uncertain.
		a = Response{Err: resultcode.New(resultcode.OutcomeUnknown, "internal error"), State: statement.Idle}
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err = codec.WriteResponse(a)
	s.observe(Record{Database: session.database, ID: st.ID, Kind: st.Kind, Response: a, Duration: s.services.Now() - started})
	return err == nil && !failed
}

// readStatement waits for the next statement. It rolls back a transaction that exceeds
// the idle timeout, and returns an error to end the session during shutdown.
func (s *Server) readStatement(conn net.Conn, codec Codec, session *Session) (statement.Statement, error) {
	for {
		var deadline time.Time
		if limit := session.IdleTimeout(); limit > 0 {
			deadline = time.Now().Add(limit)
		}
		closing := s.stopping.Load() && session.State() != statement.InTransaction
		if closing {
			deadline = time.Now().Add(quietPeriod)
		}
		_ = conn.SetReadDeadline(deadline)
		if s.stopping.Load() && !closing && session.State() == statement.Idle {
			continue // Stop was called after the check of s.stopping above
		}
		st, err := codec.ReadStatement()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, err
		}
		switch {
		case closing:
			return st, err
		case s.stopping.Load():
		default:
			session.RollbackTransaction()
		}
	}
}

// Stop closes each session once its client has sent nothing for quietPeriod outside a
// transaction.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.interruptReads()
}

// ForceStop rolls back each open transaction when its next statement arrives.
func (s *Server) ForceStop() {
	s.forcing.Store(true)
	s.interruptReads()
}

// interruptReads wakes the sessions that wait for a statement, so that they check the
// state of the server.
func (s *Server) interruptReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}
