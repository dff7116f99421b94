package upstream

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// session is one PostgreSQL connection. One goroutine runs it; cancel and close
// may be called from others.
type session struct {
	member  *Member
	conn    net.Conn
	raw     net.Conn // below TLS; does not change
	out     *answerWriter
	backend *pgproto3.Backend
	pid     int32
	secret  [4]byte

	// done ends when the connection is closed by the member.
	done  context.Context
	close context.CancelFunc

	mu      sync.Mutex // guards running, ctx and cancel
	running bool
	ctx     context.Context // of the running statement
	cancel  context.CancelFunc

	settings  map[string]string
	prepared  map[string]*preparedQuery
	portals   map[string]*portal
	tx        *sessionTransaction // nil outside transactions
	skipping  bool                // after an error, until Sync
	buffered  int                 // bytes of rows since the last flush
	values    [][]byte
	scratch   []byte
	announced bool           // group_transaction was sent but not flushed
	committed ident.LogPoint // commit to report before ReadyForQuery
}

// sessionTransaction is the transaction state of a session.
type sessionTransaction struct {
	explicit bool
	readOnly bool
	failed   bool
	// savepoints are names that were given before the first write.
	savepoints []string
	write      *transaction
}

func (m *Member) newSession(conn net.Conn) *session {
	s := &session{
		member: m, conn: conn, raw: conn, settings: map[string]string{},
		prepared: map[string]*preparedQuery{}, portals: map[string]*portal{},
	}
	s.done, s.close = context.WithCancel(context.Background())
	s.ctx, s.cancel = context.WithCancel(s.done)
	s.out = &answerWriter{session: s, conn: conn}
	s.backend = pgproto3.NewBackend(conn, s.out)
	return s
}

// serve runs the connection until it ends.
func (s *session) serve() {
	defer s.end()
	if s.startup() != nil {
		return
	}
	for {
		message, err := s.receive()
		if err != nil {
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		if s.handle(message) != nil {
			return
		}
	}
}

// receive waits for the next message, in an open write transaction for a bounded
// time.
func (s *session) receive() (pgproto3.FrontendMessage, error) {
	if s.tx == nil || s.tx.write == nil {
		return s.backend.Receive()
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(s.member.cfg.IdleTransaction))
	message, err := s.backend.Receive()
	_ = s.conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, s.fatal(&sqlError{"25P03", "terminating connection due to idle-in-transaction timeout"})
	}
	return message, err
}

// end releases everything that the session holds.
func (s *session) end() {
	s.close()
	_ = s.conn.Close()
	s.closePortals()
	if s.tx != nil && s.tx.write != nil {
		s.tx.write.rollback()
	}
	s.member.removeSession(s)
}

// startup answers requests before the StartupMessage, authenticates the caller
// and sends the initial parameters.
func (s *session) startup() error {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return err
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest:
			err = s.startTLS()
		case *pgproto3.GSSEncRequest:
			_, err = s.conn.Write([]byte{'N'})
		case *pgproto3.CancelRequest:
			s.member.cancelSession(m)
			return net.ErrClosed
		case *pgproto3.StartupMessage:
			return s.authenticate(m)
		}
		if err != nil {
			return err
		}
	}
}

func (s *session) startTLS() error {
	config := s.member.group.cfg.TLS
	if config == nil {
		_, err := s.conn.Write([]byte{'N'})
		return err
	}
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	secured := tls.Server(s.conn, config)
	if err := secured.Handshake(); err != nil {
		return err
	}
	s.conn, s.out.conn = secured, secured
	s.backend = pgproto3.NewBackend(secured, s.out)
	return nil
}

func (s *session) authenticate(startup *pgproto3.StartupMessage) error {
	if !s.member.addSession(s) {
		return s.fatal(&sqlError{"53300", "sorry, too many clients already"})
	}
	if !s.sleep(s.member.cfg.ConnectDelay) {
		return net.ErrClosed
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	message, err := s.backend.Receive()
	if err != nil {
		return err
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	cfg := s.member.group.cfg
	right := ok && subtle.ConstantTimeCompare([]byte(password.Password), []byte(cfg.Password)) == 1
	if !right || startup.Parameters["user"] != cfg.User {
		return s.fatal(&sqlError{"28P01", "password authentication failed"})
	}
	for name, value := range startup.Parameters {
		if name != "user" && name != "database" && name != "options" {
			s.settings[strings.ToLower(name)] = value
		}
	}
	return s.greet()
}

func (s *session) greet() error {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, parameter := range initialParameters {
		value := parameter.value
		if set, ok := s.settings[strings.ToLower(parameter.name)]; ok {
			value = set
		}
		s.backend.Send(&pgproto3.ParameterStatus{Name: parameter.name, Value: value})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: uint32(s.pid), SecretKey: s.secret[:]})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.backend.Flush()
}

// initialParameters are reported at startup, and again when SET changes them.
var initialParameters = []struct{ name, value string }{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"application_name", ""},
	{"default_transaction_read_only", "off"},
}

// fatal reports an error that ends the connection.
func (s *session) fatal(err *sqlError) error {
	s.backend.Send(errorResponse("FATAL", err))
	_ = s.backend.Flush()
	return err
}

// sleep waits; false means that the connection was closed meanwhile.
func (s *session) sleep(d time.Duration) bool { return sleep(s.done.Done(), d) }

// begin makes the running statement cancellable and returns its context.
func (s *session) begin() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		s.ctx, s.cancel = context.WithCancel(s.done)
	}
	s.running = true
	return s.ctx
}

func (s *session) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = false
}

// addSession registers a session; false means that the limit is reached.
func (m *Member) addSession(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sessions) >= m.cfg.Connections {
		m.refused.Add(1)
		return false
	}
	if !m.alive {
		return false
	}
	m.nextBackend++
	s.pid = m.nextBackend
	_, _ = rand.Read(s.secret[:])
	m.sessions[s.pid] = s
	return true
}

func (m *Member) removeSession(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sessions[s.pid] == s {
		delete(m.sessions, s.pid)
	}
	delete(m.sockets, s)
}

// cancelSession cancels the running statement that a CancelRequest names.
func (m *Member) cancelSession(request *pgproto3.CancelRequest) {
	m.mu.Lock()
	s := m.sessions[int32(request.ProcessID)]
	m.mu.Unlock()
	if s == nil || subtle.ConstantTimeCompare(s.secret[:], request.SecretKey) != 1 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		s.cancel()
	}
}

// closeSessions closes all connections.
func (m *Member) closeSessions() {
	m.mu.Lock()
	sockets := make([]*session, 0, len(m.sockets))
	for s := range m.sockets {
		sockets = append(sockets, s)
	}
	m.mu.Unlock()
	for _, s := range sockets {
		s.close()
		if raw, ok := s.raw.(*shapedConn); ok {
			_ = raw.abort()
		}
	}
}
