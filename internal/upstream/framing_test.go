package upstream

import (
	"bytes"
	"errors"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// loginTarget returns a target that answers a login with the messages and, in the same packet,
// the bytes behind them. It sends what it received as startup to startups.
func loginTarget(t *testing.T, behind []byte, startups chan<- []byte) request.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			b := make([]byte, 4096)
			n, err := c.Read(b)
			if err != nil {
				return
			}
			startups <- b[:n]
			var out []byte
			for _, m := range []pgproto3.BackendMessage{&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{SecretKey: []byte{1, 2, 3, 4}}, &pgproto3.ReadyForQuery{TxStatus: 'I'}} {
				out, _ = m.Encode(out)
			}
			_, _ = c.Write(append(out, behind...))
		}
	}()
	return request.Target{Group: "orders", Upstream: "a", Address: l.Addr().String(), Term: 1, Slots: 4, ConnectionLimit: 4}
}

// Guards against a connection whose next bytes are the rest of a message that was lost with the
// buffer of the login.
func TestBytesBehindLoginCloseConnection(t *testing.T) {
	for name, behind := range map[string][]byte{"part of a message": {'N', 0, 0, 0, 50, 'x'}, "a message": {'N', 0, 0, 0, 5, 0}} {
		p := New(Config{})
		t.Cleanup(p.Close)
		_, err := p.Acquire(t.Context(), loginTarget(t, behind, make(chan []byte, 9)), nil)
		assert.Assert(t, errors.Is(err, errBytesBehindLogin) && resultcode.Of(err) == 0, "%s: %v", name, err)
	}
}

// Guards against names and passwords that become parameters of their own in the startup message.
func TestLoginRejectsFieldsWithNUL(t *testing.T) {
	const forged = "a\x00options\x00-c x=y"
	for name, test := range map[string]struct {
		credentials Credentials
		database    string
	}{
		"user":     {Credentials{User: forged}, "orders"},
		"password": {Credentials{User: "u", Password: "p\x00q"}, "orders"},
		"database": {Credentials{User: "u"}, forged},
	} {
		p := New(Config{Credentials: test.credentials})
		t.Cleanup(p.Close)
		startups := make(chan []byte, 9)
		target := loginTarget(t, nil, startups)
		target.Group = "orders"
		if test.database != "orders" {
			target.Group = forged
		}
		_, err := p.Acquire(t.Context(), target, nil)
		assert.Assert(t, errors.Is(err, errLoginField) && resultcode.Of(err) == 0, "%s: %v", name, err)
		select {
		case s := <-startups:
			assert.Assert(t, !bytes.Contains(s, []byte("options")), "%s: %q", name, s)
		default:
		}
	}
}
