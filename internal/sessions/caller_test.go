package sessions

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// answerTimeout stops a test whose answer never comes.
const answerTimeout = 20 * time.Second

// session is a transcript of several callers and of the events around them.
type session struct {
	t     *testing.T
	fleet *fleet.Fleet
	text  strings.Builder
}

// newSession starts three zones with one VM each and one database of three members,
// without latencies, and applies the first release note.
func newSession(t *testing.T, adjust func(*fleet.Config)) *session {
	t.Helper()
	t.Parallel()
	cfg := fleet.Testeno()
	cfg.Zones[0].VMs, cfg.Zones[1].VMs, cfg.Zones[2].VMs = 1, 1, 1
	cfg.Databases = cfg.Databases[:1]
	cfg.ConnectDelay, cfg.ZoneLatency, cfg.RegionLatency, cfg.ShipDelay, cfg.Lag = 0, 0, 0, 0, 0
	cfg.Seed = 1
	if adjust != nil {
		adjust(&cfg)
	}
	f, err := fleet.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	s := &session{t: t, fleet: f}
	s.until("the first note is accepted", func() bool {
		_, err := f.ApplyNote(t.Context(), vm1, f.FirstNote())
		return err == nil
	})
	s.until("every VM is ready", func() bool {
		for _, vm := range f.Names() {
			if ready, _ := f.VM(vm).Ready(); !ready {
				return false
			}
		}
		return true
	})
	return s
}

const (
	vm1      = ident.VMName("plovdiv-a-vm1")
	vm2      = ident.VMName("ruse-a-vm1")
	vm3      = ident.VMName("constanta-a-vm1")
	database = ident.GroupName("deckbook-1")
	tenant   = "cardhouse"
)

// until polls a condition; a test that waits in vain fails with its description.
func (s *session) until(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(answerTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("in vain: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// event adds a line about something that happened outside the callers' connections.
func (s *session) event(format string, args ...any) { fmt.Fprintf(&s.text, "-- "+format+"\n", args...) }

// done compares the transcript with its golden file.
func (s *session) done() {
	s.t.Helper()
	golden.Assert(s.t, s.text.String(), strings.TrimPrefix(s.t.Name(), "Test")+".golden")
}

// caller is one connection.
type caller struct {
	s        *session
	name     string
	conn     net.Conn
	frontend *pgproto3.Frontend
	// processID and secretKey identify the connection in a cancel request.
	processID uint32
	secretKey []byte
}

func dial(address string) (net.Conn, error) { return net.Dial("tcp", address) }

// open connects without sending anything.
func (s *session) open(name string, vm ident.VMName) *caller {
	s.t.Helper()
	conn, err := dial(s.fleet.VM(vm).ClientAddress())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(&s.text, "%s connects to %s\n", name, vm)
	return &caller{s: s, name: name, conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
}

// login connects and authenticates with the tenant's key.
func (s *session) login(name string, vm ident.VMName, parameters ...string) *caller {
	s.t.Helper()
	return s.loginAs(name, vm, tenant, fleet.Key(tenant), string(database), parameters...)
}

func (s *session) loginAs(name string, vm ident.VMName, user, key, db string, parameters ...string) *caller {
	s.t.Helper()
	c := s.open(name, vm)
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": user, "database": db}}
	for i := 0; i+1 < len(parameters); i += 2 {
		startup.Parameters[parameters[i]] = parameters[i+1]
	}
	c.send(startup)
	if c.receive("AuthenticationCleartextPassword", "ErrorResponse") == "AuthenticationCleartextPassword" {
		c.send(&pgproto3.PasswordMessage{Password: key})
		c.receive("ReadyForQuery", "ErrorResponse")
	}
	return c
}

// send writes messages and records them; a key is never recorded.
func (c *caller) send(messages ...pgproto3.FrontendMessage) {
	c.s.t.Helper()
	for _, m := range messages {
		fmt.Fprintf(&c.s.text, "%s -> %s\n", c.name, describe(m))
		c.frontend.Send(m)
	}
	assert.NilError(c.s.t, c.frontend.Flush())
}

// write sends raw bytes.
func (c *caller) write(what string, raw []byte) {
	fmt.Fprintf(&c.s.text, "%s -> %s\n", c.name, what)
	_, err := c.conn.Write(raw)
	assert.NilError(c.s.t, err)
}

// receive records answers up to one of the named kinds or the end of the
// connection, and returns its kind.
func (c *caller) receive(last ...string) string {
	c.s.t.Helper()
	assert.NilError(c.s.t, c.conn.SetReadDeadline(time.Now().Add(answerTimeout)))
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			fmt.Fprintf(&c.s.text, "%s <- connection closed\n", c.name)
			return "closed"
		}
		fmt.Fprintf(&c.s.text, "%s <- %s\n", c.name, describe(m))
		if key, ok := m.(*pgproto3.BackendKeyData); ok {
			c.processID, c.secretKey = key.ProcessID, append([]byte(nil), key.SecretKey...)
		}
		kind := kindOf(m)
		for _, l := range last {
			if kind == l {
				return kind
			}
		}
	}
}

// query sends a simple query and receives its whole answer.
func (c *caller) query(sql string) {
	c.s.t.Helper()
	c.send(&pgproto3.Query{String: sql})
	c.receive("ReadyForQuery")
}

// outcome runs a query without recording it and returns the last error's code.
func (c *caller) outcome(sql string) string {
	assert.NilError(c.s.t, c.conn.SetReadDeadline(time.Now().Add(answerTimeout)))
	c.frontend.Send(&pgproto3.Query{String: sql})
	if c.frontend.Flush() != nil {
		return "closed"
	}
	code := ""
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return code + " closed"
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			code = m.Code
		case *pgproto3.ReadyForQuery:
			return code
		}
	}
}
