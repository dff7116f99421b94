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

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// Codec speaks a wire protocol with one caller.
type Codec interface {
	// ReadStartup reads the caller's first message.
	ReadStartup() (database, key string, err error)
	// WriteStartupResult answers the first message; a caller that is refused gets the error.
	WriteStartupResult(err error) error
	// ReadStatement reads the next statement. A coded error is answered and the session goes on;
	// any other error ends it.
	ReadStatement() (statement.Statement, error)
	// WriteResponse writes the answer to the last statement.
	WriteResponse(a Response) error
}

// NewCodec returns the codec of a connection.
type NewCodec func(net.Conn) Codec

const (
	// openTimeout bounds the time to a caller's first message.
	openTimeout = 5 * time.Second
	// answerTimeout bounds the writing of an answer; a caller that does not read for
	// this long is cut.
	answerTimeout = 5 * time.Second
	// quietTime is how long a caller must have been quiet, when the VM stops, before
	// its connection is closed. A statement that is on its way arrives within it.
	quietTime = 50 * time.Millisecond
)

// Server accepts callers.
type Server struct {
	services *Services
	newCodec NewCodec
	log      zerolog.Logger
	observe  func(Record)

	stopping atomic.Bool // sessions close when they are quiet
	forcing  atomic.Bool // open transactions are rolled back
	mu       sync.Mutex
	callers  map[net.Conn]struct{}
	running  sync.WaitGroup
}

// Record describes one answered statement.
type Record struct {
	Database string
	// Startup says that the caller's first message was refused.
	Startup bool
	// ID is the caller's identifier of the request.
	ID       string
	Kind     statement.Kind
	Response Response
	Duration time.Duration
}

// NewServer returns a server; observe is told every answered statement.
func NewServer(services *Services, newCodec NewCodec, log zerolog.Logger, observe func(Record)) *Server {
	return &Server{services: services, newCodec: newCodec, log: log, observe: observe, callers: map[net.Conn]struct{}{}}
}

// Serve accepts callers until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			// Out of descriptors, or the caller has gone already.
			s.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(quietTime)
			continue
		}
		s.mu.Lock()
		s.callers[conn] = struct{}{}
		s.mu.Unlock()
		s.running.Go(func() {
			s.serve(conn)
			s.mu.Lock()
			delete(s.callers, conn)
			s.mu.Unlock()
			_ = conn.Close()
		})
	}
}

// Clients returns the number of connected callers.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

func (s *Server) serve(conn net.Conn) {
	codec := s.newCodec(conn)
	_ = conn.SetReadDeadline(time.Now().Add(openTimeout))
	database, key, err := codec.ReadStartup()
	if err != nil && resultcode.Of(err) == 0 {
		return // the caller left
	}
	var session *Session
	var trace Trace
	if err == nil {
		session, trace, err = OpenSession(s.services, database, key)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	if failed := codec.WriteStartupResult(err); failed != nil {
		return
	}
	if err != nil {
		s.observe(Record{Database: database, Startup: true, Response: Response{Err: err, Trace: trace}})
		return
	}
	defer session.Close()
	for s.one(conn, codec, session) {
	}
}

// one serves one statement; false ends the session.
func (s *Server) one(conn net.Conn, codec Codec, session *Session) bool {
	st, err := s.next(conn, codec, session)
	coded := resultcode.Of(err) != 0
	if err != nil && !coded {
		return false
	}
	started := s.services.Now()
	a := Response{Err: err, State: session.State()}
	if err == nil {
		if s.forcing.Load() && session.State() == statement.InTransaction {
			session.RollbackTransaction()
		}
		a = session.Handle(context.Background(), st)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	err = codec.WriteResponse(a)
	s.observe(Record{Database: session.database, ID: st.ID, Kind: st.Kind, Response: a, Duration: s.services.Now() - started})
	return err == nil
}

// next waits for a statement. It ends an idle transaction after its time, and the
// session when the VM stops.
func (s *Server) next(conn net.Conn, codec Codec, session *Session) (statement.Statement, error) {
	for {
		var deadline time.Time
		if limit := session.IdleTimeout(); limit > 0 {
			deadline = time.Now().Add(limit)
		}
		quit := s.stopping.Load() && session.State() != statement.InTransaction
		if quit {
			deadline = time.Now().Add(quietTime)
		}
		_ = conn.SetReadDeadline(deadline)
		if s.stopping.Load() && !quit && session.State() == statement.Idle {
			continue // Stop came between the two looks
		}
		st, err := codec.ReadStatement()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, err
		}
		switch {
		case quit:
			return st, err
		case s.stopping.Load():
		default:
			session.RollbackTransaction()
		}
	}
}

// Stop closes the sessions of callers that are quiet outside transactions.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.interrupt()
}

// ForceStop rolls open transactions back with their next statement.
func (s *Server) ForceStop() {
	s.forcing.Store(true)
	s.interrupt()
}

// interrupt lets waiting sessions look at the state of the server.
func (s *Server) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.callers {
		_ = conn.SetReadDeadline(time.Now())
	}
}
