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

	"github.com/rosemarywall/rosemarywall/internal/core/shutdown"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
	"github.com/rosemarywall/rosemarywall/internal/wire/sockets"
)

// Codec implements a wire protocol for one client connection.
type Codec interface {
	// ReadStartup reads the client's first message.
	ReadStartup() (database, key string, err error)
	// WriteStartupResult responds to the first message. A non-nil err rejects the client.
	WriteStartupResult(err error) error
	// ReadStatement reads the next statement. An error with a result code is returned
	// to the client and the session continues, except after a framing.Error. Any other error
	// ends it, except an expired deadline, after which ReadStatement continues with the same
	// message.
	ReadStatement() (statement.Statement, error)
	// Partial reports whether a part of the next message has been read.
	Partial() bool
	// WriteResponse writes the response to the last statement. It writes nothing and returns a
	// framing.Error if the response cannot be encoded.
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
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
	// lingerTimeout limits the wait for the client's end of a connection that the server
	// closes.
	lingerTimeout = 100 * time.Millisecond
	// rejectedLingerTimeout is that of a client whose message was rejected. It may still be
	// sending the message, and would lose the response by a reset.
	rejectedLingerTimeout = time.Second
)

// Server accepts client connections and serves their sessions.
type Server struct {
	services *Services
	newCodec NewCodec
	log      zerolog.Logger
	observe  func(Record)

	stage atomic.Uint32 // shutdown.Stage
	// statements ends with the stage shutdown.Ending.
	statements    context.Context
	endStatements context.CancelFunc
	lastAccept    atomic.Int64 // time on the process clock in nanoseconds
	connections   atomic.Uint64

	mu       sync.Mutex
	listener net.Listener
	clients  map[*clientConn]struct{}
	running  sync.WaitGroup
}

// clientConn is the connection of a client.
type clientConn struct {
	conn net.Conn
	// number is unique to the connection within this process.
	number      uint64
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
	// Connection is the number of the client's connection, unique within this process.
	Connection uint64
	Database   string
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
	s := &Server{services: services, newCodec: newCodec, log: log, observe: observe, clients: map[*clientConn]struct{}{}}
	s.statements, s.endStatements = context.WithCancel(context.Background())
	return s
}

// Serve accepts client connections until the listener is closed, which the stage
// shutdown.Ending does.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			// The process has no free file descriptor, or the client has disconnected.
			s.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &clientConn{conn: conn, number: s.connections.Add(1), connectedAt: s.services.Now()}
		s.lastAccept.Store(int64(c.connectedAt))
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

// SinceAccept returns the time since the last client connected.
func (s *Server) SinceAccept() time.Duration {
	return s.services.Now() - time.Duration(s.lastAccept.Load())
}

// Clients returns the number of connected clients.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

func (s *Server) serve(c *clientConn) {
	codec := s.newCodec(c.conn)
	database, key, err := s.readStartup(c.conn, codec)
	if err != nil && resultcode.Of(err) == 0 {
		return // the client disconnected
	}
	var session *Session
	var trace Trace
	if err == nil {
		s.services.awaitStart(s.statements)
		session, trace, err = OpenSession(s.services, database, key)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if writeErr := codec.WriteStartupResult(err); writeErr != nil {
		return
	}
	if err != nil {
		s.observe(Record{Connection: c.number, Database: database, Startup: true, Response: Response{Err: err, Trace: trace}})
	} else {
		err = s.serveSession(c, codec, session)
	}
	if framing.ReasonOf(err) != "" && s.currentStage() == shutdown.Running {
		sockets.Linger(c.conn, rejectedLingerTimeout)
		return
	}
	sockets.Linger(c.conn, lingerTimeout)
}

// serveSession serves the statements of a session until it ends, and returns the reason.
func (s *Server) serveSession(c *clientConn, codec Codec, session *Session) error {
	defer session.Close()
	for {
		if err := s.serveStatement(c, codec, session); err != nil {
			return err
		}
	}
}

// readStartup reads the client's first message. Stages of a planned stop before
// shutdown.Ended interrupt it without an effect.
func (s *Server) readStartup(conn net.Conn, codec Codec) (database, key string, err error) {
	deadline := time.Now().Add(startupTimeout)
	for {
		stage := s.currentStage()
		if stage == shutdown.Ended {
			deadline = time.Now()
		}
		_ = conn.SetReadDeadline(deadline)
		if s.currentStage() != stage {
			continue // the interruption may have been overwritten
		}
		database, key, err = codec.ReadStartup()
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(deadline) {
			return database, key, err
		}
	}
}

// errStopping ends a session during a planned stop.
var errStopping = errors.New("the VM stops")

// serveStatement serves one statement. It returns an error if the session ends.
func (s *Server) serveStatement(c *clientConn, codec Codec, session *Session) error {
	st, err := s.readStatement(c.conn, codec, session)
	if err != nil && resultcode.Of(err) == 0 {
		return err
	}
	started := s.services.Now()
	c.statement.Store(&runningStatement{session: session, id: st.ID, kind: st.Kind, startedAt: started})
	defer c.statement.Store(nil)
	var ends error
	if framing.ReasonOf(err) != "" {
		ends = err
		session.abandonTransaction()
	}
	a := Response{Err: err, State: session.State()}
	failed := false
	if err == nil {
		if s.currentStage() >= shutdown.RollingBack {
			session.RollbackTransaction()
		}
		failed = recovery.Run(s.log, "statement", func() { a = session.Handle(s.statements, st) })
	}
	if failed {
		// The statement may have been sent, and the state of the session is uncertain.
		a = Response{Err: resultcode.New(resultcode.OutcomeUnknown, "internal error"), State: statement.Idle}
		ends = a.Err
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err = codec.WriteResponse(a)
	if framing.ReasonOf(err) != "" {
		a = Response{Err: resultcode.Wrap(err, resultcode.AnswerIncomplete, "the answer cannot be passed on"), State: a.State, Trace: a.Trace}
		err = codec.WriteResponse(a)
	}
	s.observe(Record{Connection: c.number, Database: session.database, ID: st.ID, Kind: st.Kind, Response: a, Duration: s.services.Now() - started})
	return errors.CombineErrors(ends, err)
}

// readStatement waits for the next statement. It rolls back a transaction that exceeds
// the idle timeout, and returns errStopping to end the session during a planned stop.
func (s *Server) readStatement(conn net.Conn, codec Codec, session *Session) (statement.Statement, error) {
	idleSince := s.services.Now()
	for {
		stage := s.currentStage()
		waiting := session.waiting()
		waiting.IdleFor, waiting.Partial = s.services.Now()-idleSince, codec.Partial()
		wait, action := waiting.Wait(stage)
		if action == shutdown.RollBack && wait == 0 {
			session.RollbackTransaction()
			continue
		}
		var deadline time.Time
		if action != shutdown.KeepWaiting {
			deadline = time.Now().Add(wait)
		}
		_ = conn.SetReadDeadline(deadline)
		if s.currentStage() != stage {
			continue // the interruption may have been overwritten
		}
		st, err := codec.ReadStatement()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, err
		}
		if s.currentStage() != stage || action != shutdown.CloseSession {
			continue
		}
		if stage == shutdown.Ended || !codec.Partial() && !hasInput(conn) {
			return st, errStopping
		}
	}
}

// hasInput reports whether input of the client is waiting. A deadline may expire before
// input is read that arrived in time.
func hasInput(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Time{}) // an expired deadline prevents the check
	return sockets.Probe(conn) == sockets.Readable
}

func (s *Server) currentStage() shutdown.Stage { return shutdown.Stage(s.stage.Load()) }

// SetStage applies a stage of a planned stop to all sessions. From shutdown.Ending on,
// the listener is closed and running statements end.
func (s *Server) SetStage(stage shutdown.Stage) {
	s.stage.Store(uint32(stage))
	if stage >= shutdown.Ending {
		s.endStatements()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if stage >= shutdown.Ending && s.listener != nil {
		_ = s.listener.Close()
	}
	// The sessions that wait for a statement look at the stage again.
	for c := range s.clients {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// Close disconnects all clients without a response.
func (s *Server) Close() {
	s.SetStage(shutdown.Ended)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		_ = c.conn.Close()
	}
}
