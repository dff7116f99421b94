package frontend

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// FuzzSession guards against input of a caller, before or after its login, that
// makes the session panic or hang.
func FuzzSession(f *testing.F) {
	encode := func(messages ...pgproto3.FrontendMessage) (out []byte) {
		for _, m := range messages {
			var err error
			out, err = m.Encode(out)
			assert.NilError(f, err)
		}
		return out
	}
	f.Add(false, encode(&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}))
	f.Add(false, encode(&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add(false, encode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32, Parameters: map[string]string{"user": "a", "_pq_.a": "b"}}))
	f.Add(true, encode(&pgproto3.Query{String: "SET rosemarywall.accepted_age = 'x'; "}, &pgproto3.Query{String: "DISCARD ALL"}))
	f.Add(true, encode(prepare("a", "RESET x"), bindTo("a"), &pgproto3.Describe{ObjectType: 'P'}, executeIt, flushIt, syncIt, &pgproto3.Close{ObjectType: 'P'}, syncIt))
	f.Add(true, encode(prepare("", "SHOW rosemarywall.session_token"), bindTo(""), executeIt, &pgproto3.Query{String: ""}, &pgproto3.FunctionCall{}, &pgproto3.CopyDone{}))
	login := encode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "a"}}, &pgproto3.PasswordMessage{Password: testKey})
	pools := upstream.New(upstream.Config{})
	f.Fuzz(func(t *testing.T, loggedIn bool, input []byte) {
		control := &fakeControl{}
		control.primary.Address = "127.0.0.1:1" // refuses connections
		s := NewServer(Config{Authoriser: control, Limiter: control, Router: control, Pools: pools, QueueTimeout: time.Millisecond})
		s.cfg.Logger = zerolog.New(io.Discard).Hook(failOnPanic{t})
		if loggedIn {
			input = append(bytes.Clone(login), input...)
		}
		caller, served := net.Pipe()
		s.ServeConn(served)
		go func() {
			_, _ = caller.Write(input)
			_ = caller.Close()
		}()
		_, _ = bytes.NewBuffer(nil).ReadFrom(caller)
		_ = caller.Close()
		assert.NilError(t, s.Drain(t.Context()))
	})
}
