package frontend

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"fmt"
	"io"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// raw is a caller that speaks single protocol messages.
type raw struct {
	t *testing.T
	c net.Conn
	f *pgproto3.Frontend
}

func (r *rig) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.addr)
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { c.Close() })
	assert.NilError(r.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

// raw logs a caller in.
func (r *rig) raw(params ...string) *raw {
	r.t.Helper()
	return r.login(r.dial(), params...)
}

// login logs a caller in over a connection.
func (r *rig) login(c net.Conn, params ...string) *raw {
	r.t.Helper()
	f := pgproto3.NewFrontend(c, c)
	m := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop", "database": "orders"}}
	for i := 0; i < len(params); i += 2 {
		m.Parameters[params[i]] = params[i+1]
	}
	f.Send(m)
	assert.NilError(r.t, f.Flush())
	x := &raw{r.t, c, f}
	x.want("AuthenticationCleartextPassword")
	x.send(&pgproto3.PasswordMessage{Password: testKey})
	for name := ""; name != "Z:I"; {
		name = x.next()
		assert.Assert(r.t, !strings.HasPrefix(name, "E:"), name)
	}
	return x
}

func (x *raw) send(messages ...pgproto3.FrontendMessage) {
	x.t.Helper()
	for _, m := range messages {
		x.f.Send(m)
	}
	assert.NilError(x.t, x.f.Flush())
}

// next returns a short form of the next message: its type name, or E:SQLSTATE,
// Z:status, C:tag, D:value and S:name.
func (x *raw) next() string {
	m, err := x.f.Receive()
	switch m := m.(type) {
	case nil:
		return fmt.Sprintf("closed: %v", err)
	case *pgproto3.ErrorResponse:
		return "E:" + m.Code
	case *pgproto3.ReadyForQuery:
		return "Z:" + string(rune(m.TxStatus))
	case *pgproto3.CommandComplete:
		return "C:" + string(m.CommandTag)
	case *pgproto3.DataRow:
		return "D:" + string(m.Values[0])
	case *pgproto3.ParameterStatus:
		return "S:" + m.Name
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.")
}

// want reads messages and asserts their short forms. In a tag, an underscore
// stands for a space.
func (x *raw) want(want string) {
	x.t.Helper()
	for i, w := range strings.Fields(want) {
		if strings.HasPrefix(w, "C:") {
			w = strings.ReplaceAll(w, "_", " ")
		}
		assert.Equal(x.t, x.next(), w, "message %d of %s", i, want)
	}
}

func (x *raw) query(sql, want string) {
	x.t.Helper()
	x.send(&pgproto3.Query{String: sql})
	x.want(want)
}

func prepare(name, sql string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: sql} }

func bindTo(name string) *pgproto3.Bind { return &pgproto3.Bind{PreparedStatement: name} }

var (
	executeIt = &pgproto3.Execute{}
	syncIt    = &pgproto3.Sync{}
	flushIt   = &pgproto3.Flush{}
)

// Guards against messages after an error in a batch being run or answered, and
// against pipelined batches being mixed up.
func TestErrorsDiscardUntilSync(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	x.send(prepare("", "INSERT a"), bindTo(""), executeIt, prepare("", "FAIL"), bindTo(""), executeIt,
		prepare("", "INSERT b"), bindTo(""), executeIt, syncIt,
		prepare("", "SELECT 2"), bindTo(""), executeIt, syncIt)
	// The answers of the statements before the error are those of PostgreSQL, but
	// for the CommandComplete that would tell of a write that was rolled back.
	x.want("ParseComplete BindComplete C:INSERT_0_1 ParseComplete BindComplete E:22012 Z:I ParseComplete BindComplete D:2 C:SELECT_1 Z:I")
	assert.Equal(t, r.primary.count("INSERT b"), 0)
	assert.Equal(t, len(r.control.confirmed), 0)
	// An unknown statement refuses the batch before anything runs.
	x.send(prepare("", "INSERT c"), bindTo(""), executeIt, bindTo("none"), executeIt, syncIt)
	x.want("E:26000 Z:I")
	assert.Equal(t, r.primary.count("INSERT c"), 0)
	x.send(&pgproto3.FunctionCall{Function: 1})
	x.want("E:0A000 Z:I")
	x.query("", "EmptyQueryResponse Z:I")
}

// Guards against Flush waiting for Sync, portals losing their rows between
// executions, and an error after Flush leaving the session out of step.
func TestFlushAndPortals(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	x.send(prepare("s", "SELECT 1"), &pgproto3.Describe{ObjectType: 'S', Name: "s"}, flushIt)
	x.want("ParseComplete ParameterDescription RowDescription")
	x.send(bindTo("s"), executeIt, flushIt)
	x.want("BindComplete D:1 C:SELECT_1")
	x.send(syncIt)
	x.want("Z:I")
	x.send(prepare("", "INSERT a"), bindTo(""), executeIt, flushIt)
	x.want("ParseComplete BindComplete C:INSERT_0_1")
	x.send(prepare("", "FAIL"), bindTo(""), executeIt, flushIt)
	x.want("ParseComplete BindComplete E:22012")
	x.send(prepare("", "INSERT b"), flushIt, syncIt)
	x.want("Z:I")
	x.send(syncIt)
	x.want("Z:I")
	x.send(&pgproto3.Close{ObjectType: 'S', Name: "s"}, bindTo("s"), syncIt)
	x.want("E:26000 Z:I")
}

// Guards against COPY data being lost, an upstream's early error hanging the
// caller, and leftover data disturbing the next query.
func TestCopy(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	x.query("COPY t TO STDOUT", "CopyOutResponse CopyData CopyData CopyDone C:COPY_2 Z:I")
	data := &pgproto3.CopyData{Data: bytes.Repeat([]byte("x"), 40000)}
	x.query("COPY t FROM STDIN", "CopyInResponse")
	x.send(data, data, &pgproto3.CopyDone{})
	x.want("NoticeResponse C:COPY_80000 Z:I")
	x.query("COPY t FROM STDIN", "CopyInResponse")
	x.send(&pgproto3.CopyData{Data: []byte("bad")})
	x.want("NoticeResponse E:22P02 Z:I")
	x.send(data, &pgproto3.CopyFail{Message: "stop"}, &pgproto3.Query{String: "SELECT 1"})
	x.want("RowDescription D:1 C:SELECT_1 Z:I")
	x.query("COPY t FROM STDIN", "CopyInResponse")
	x.send(&pgproto3.CopyFail{Message: "stop"})
	x.want("NoticeResponse E:57014 Z:I")
	x.send(prepare("", "COPY t FROM STDIN"), bindTo(""), executeIt, syncIt)
	x.want("ParseComplete BindComplete CopyInResponse")
	x.send(&pgproto3.CopyData{Data: []byte("abc")}, &pgproto3.CopyDone{}, syncIt)
	x.want("NoticeResponse C:COPY_3 Z:I")
	x.send(prepare("", "COPY t FROM STDIN"), bindTo(""), executeIt, syncIt)
	x.want("ParseComplete BindComplete CopyInResponse")
	x.send(&pgproto3.CopyData{Data: []byte("bad")})
	x.want("NoticeResponse E:22P02")
	x.send(data, &pgproto3.CopyDone{}, syncIt)
	x.want("Z:I")
	assert.Equal(t, len(r.control.confirmed), 2)
	// A caller that leaves in the middle must not commit.
	x.query("COPY t FROM STDIN", "CopyInResponse")
	x.send(data)
	x.c.Close()
	y := r.raw()
	y.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
	assert.Equal(t, len(r.control.confirmed), 2)
}

// Guards against large batches deadlocking: the upstream may block on its answers
// before it has read the whole batch.
func TestLargeBatchAndResult(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	x.f.Send(prepare("s", "SELECT rows 500"))
	const executions = 300
	for range executions {
		x.f.Send(&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{bytes.Repeat([]byte("p"), 1000)}})
		x.f.Send(executeIt)
	}
	x.f.Send(syncIt)
	go func() { _ = x.f.Flush() }()
	rows, complete := 0, 0
	for name := ""; name != "Z:I"; {
		name = x.next()
		switch {
		case strings.HasPrefix(name, "D:"):
			rows++
		case strings.HasPrefix(name, "C:"):
			complete++
		default:
			assert.Assert(t, !strings.HasPrefix(name, "closed"), name)
		}
	}
	assert.Equal(t, rows, 500*executions)
	assert.Equal(t, complete, executions)
}

// Guards against malformed, oversized and truncated input taking a connection or
// the process down without an answer, and against effects on other callers.
func TestBadInput(t *testing.T) {
	r := newRig(t, false, func(c *Config) { c.MaxMessage = 50000 })
	other := r.raw()
	header := func(kind byte, length int) []byte {
		return binary.BigEndian.AppendUint32([]byte{kind}, uint32(length))
	}
	for name, input := range map[string][]byte{
		"unknown type":        header('!', 4),
		"length below four":   header('Q', 3),
		"negative length":     header('Q', -1),
		"query without end":   append(header('Q', 5), 'x'),
		"query with a tail":   append(header('Q', 7), 'x', 0, 'y'),
		"parse without types": append(header('P', 6), 0, 0),
		"describe of nothing": append(header('D', 6), 'Z', 0),
		"short execute":       append(header('E', 6), 0, 0),
	} {
		x := r.raw()
		_, err := x.c.Write(input)
		assert.NilError(t, err)
		assert.Equal(t, x.next(), "E:08P01", name)
		assert.Assert(t, strings.HasPrefix(x.next(), "closed"), name)
	}
	x := r.raw()
	big := strings.Repeat("x", 60000)
	x.query("SELECT "+big, "E:54000 Z:I")
	x.send(prepare("", "SELECT "+big), bindTo(""), syncIt)
	x.want("E:54000 Z:I")
	for range 2 {
		x.f.Send(prepare("", "SELECT "+big[:30000]))
	}
	x.send(syncIt)
	x.want("E:54000 Z:I")
	x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
	truncated := r.raw()
	_, err := truncated.c.Write(append(header('Q', 100), "SELECT"...))
	assert.NilError(t, err)
	truncated.c.Close()
	other.query("SELECT 2", "RowDescription D:2 C:SELECT_1 Z:I")
}

// Guards against wrong answers during startup.
func TestStartup(t *testing.T) {
	r := newRig(t, false, func(c *Config) { c.RequireTLS = true })
	x := &raw{t: t, c: r.dial()}
	x.f = pgproto3.NewFrontend(x.c, x.c)
	for _, request := range []pgproto3.FrontendMessage{&pgproto3.GSSEncRequest{}, &pgproto3.SSLRequest{}} {
		x.send(request)
		b := make([]byte, 1)
		_, err := io.ReadFull(x.c, b)
		assert.NilError(t, err)
		assert.Equal(t, string(b), "N")
	}
	x.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop"}})
	x.want("E:28000") // TLS required

	r = newRig(t, false, func(c *Config) { c.MaxCallers = 1 })
	first := r.raw("rosemarywall.accepted_age", "5s", "options", "-c search_path=a --work_mem=1MB")
	second := r.dial()
	y := &raw{t, second, pgproto3.NewFrontend(second, second)}
	y.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop"}})
	y.want("E:53300")
	first.query("SHOW rosemarywall.accepted_age", "RowDescription D:5s C:SHOW Z:I")
	first.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
	assert.Equal(t, r.primary.statements()[1], `SET "search_path" TO 'a'`)

	r = newRig(t, false, nil)
	for _, params := range []map[string]string{{"user": "shop", "replication": "true"}, {"user": "shop", "bad name": "1"}, {"user": "shop", "rosemarywall.session_token": "?"}} {
		c := r.dial()
		z := &raw{t, c, pgproto3.NewFrontend(c, c)}
		z.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params})
		z.want("AuthenticationCleartextPassword")
		z.send(&pgproto3.PasswordMessage{Password: testKey})
		assert.Assert(t, strings.HasPrefix(z.next(), "E:"))
	}
	c := r.dial()
	z := &raw{t, c, pgproto3.NewFrontend(c, c)}
	z.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32, Parameters: map[string]string{"user": "shop", "_pq_.x": "1"}})
	z.want("NegotiateProtocolVersion AuthenticationCleartextPassword")
	z.send(&pgproto3.PasswordMessage{Password: "wrong"})
	z.want("E:28P01")
}

// certificate returns a self-signed certificate with the serial number.
func certificate(t *testing.T, serial int64) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Guards against TLS callers being refused and against reloaded certificates that
// new callers do not see.
func TestTLS(t *testing.T) {
	current := certificate(t, 1)
	r := newRig(t, false, func(c *Config) {
		c.RequireTLS = true
		c.TLS = &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &current, nil }}
	})
	for serial := int64(1); serial <= 2; serial++ {
		current = certificate(t, serial)
		cfg := r.config("")
		seen := int64(0)
		cfg.TLSConfig = &tls.Config{InsecureSkipVerify: true, VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			c, err := x509.ParseCertificate(raw[0])
			if err == nil {
				seen = c.SerialNumber.Int64()
			}
			return err
		}}
		c, err := connectWith(t, cfg)
		assert.NilError(t, err)
		assert.Equal(t, queryText(t, c, "SELECT 1"), "1")
		assert.Equal(t, seen, serial)
		assert.NilError(t, c.Close(context.Background()))
	}
}
