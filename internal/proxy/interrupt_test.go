package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/shutdown"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/statement"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// byteCodec is a protocol of single bytes: b begins a transaction and w writes. The response
// is the state of the session.
type byteCodec struct{ conn net.Conn }

func (byteCodec) ReadStartup() (database, key string, err error) { return "orders", "key", nil }
func (byteCodec) WriteStartupResult(err error) error             { return err }
func (byteCodec) Partial() bool                                  { return false }

func (c byteCodec) ReadStatement() (statement.Statement, error) {
	var b [1]byte
	if _, err := io.ReadFull(c.conn, b[:]); err != nil {
		return statement.Statement{}, err
	}
	return statement.Statement{ID: "q", Text: "w", Kind: map[byte]statement.Kind{'b': statement.Begin, 'w': statement.Write}[b[0]]}, nil
}

func (c byteCodec) WriteResponse(a Response) error {
	_, err := c.conn.Write([]byte{byte('0' + a.State)})
	return err
}

// orderedConn calls the function in armed before it applies a read deadline.
type orderedConn struct {
	net.Conn
	armed chan func()
}

func (c *orderedConn) SetReadDeadline(t time.Time) error {
	select {
	case order := <-c.armed:
		order()
	default:
	}
	return c.Conn.SetReadDeadline(t)
}

// Guards against a session that misses a stage of a planned stop, because it sets its read
// deadline after the stage has interrupted it.
func TestStageDuringSetOfReadDeadline(t *testing.T) {
	for _, c := range []struct {
		name, statements string
		stage            shutdown.Stage
		closed           bool
	}{
		{"idle", "w", shutdown.Closing, true},
		{"failed transaction", "bw", shutdown.Closing, true},
		{"transaction", "b", shutdown.RollingBack, false},
		{"transaction at the end", "b", shutdown.Ended, true},
	} {
		virtualtime.Test(t, func(t *testing.T) {
			f := newFakeServices()
			if c.statements == "bw" {
				f.results = []execution.Result{{Outcome: execution.Failed}}
			}
			s := NewServer(&Services{Admission: f, Authoriser: f, Limiter: f, Router: f, Now: newProcessClock(), NewTransactionID: func() string { return "t" }},
				func(conn net.Conn) Codec { return byteCodec{conn} }, zerolog.Nop(), func(Record) {})
			client, server := net.Pipe()
			conn := &orderedConn{server, make(chan func(), 1)}
			registered := &clientConn{conn: conn}
			s.clients[registered] = struct{}{}
			ended := make(chan struct{})
			go func() {
				s.serve(registered)
				s.remove(registered)
				close(ended)
			}()
			response := make([]byte, 1)
			for i, b := range []byte(c.statements) {
				time.Sleep(time.Millisecond) // the session waits for the statement
				if i == len(c.statements)-1 {
					conn.armed <- func() { s.SetStage(c.stage) }
				}
				_, err := client.Write([]byte{b})
				assert.NilError(t, err)
				_, err = client.Read(response)
				assert.NilError(t, err)
			}
			time.Sleep(2 * shutdown.QuietPeriod)
			select {
			case <-ended:
				assert.Assert(t, c.closed, c.name)
			default:
				assert.Assert(t, !c.closed, c.name)
				_, err := client.Write([]byte("w"))
				assert.NilError(t, err)
				_, err = client.Read(response)
				assert.NilError(t, err)
				assert.Equal(t, response[0], byte('0'+statement.FailedTransaction), c.name)
			}
			_ = client.Close()
			<-ended
		})
	}
}
