package frontend

import (
	"bytes"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Guards against messages of a batch that run after the batch was refused, and against their
// responses being taken for those of the next statement.
func TestRefusedQueryEndsBatch(t *testing.T) {
	large := bytes.Repeat([]byte{'x'}, 2000)
	for name, message := range map[string]pgproto3.FrontendMessage{
		"query above the limit":         &pgproto3.Query{String: string(large)},
		"function call above the limit": &pgproto3.FunctionCall{Arguments: [][]byte{large}},
		"function call":                 &pgproto3.FunctionCall{},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, false, func(c *Config) { c.MaxMessage = 1000 })
			x := r.raw()
			x.send(prepare("", "INSERT batch"), bindTo(""), executeIt, message, &pgproto3.Query{String: "SELECT 1"}, syncIt)
			state := "E:" + stateTooLarge
			if name == "function call" {
				state = "E:0A000"
			}
			x.want(state + " Z:I RowDescription D:1 C:SELECT_1 Z:I Z:I")
			assert.Equal(t, r.primary.count("INSERT batch"), 0)
		})
	}
}

// Guards against a statement that is dropped without a response, because the rest of a COPY that
// the upstream has ended holds a message above the limit.
func TestLargeRestOfCopyIsDropped(t *testing.T) {
	r := newRig(t, false, func(c *Config) { c.MaxMessage = 1000 })
	x := r.raw()
	x.query("COPY t FROM STDIN", "CopyInResponse")
	x.send(&pgproto3.CopyData{Data: []byte("bad")})
	x.want("NoticeResponse E:22P02 Z:I")
	x.write(frame('f', make([]byte, 2000)), frame('d', make([]byte, 2000)))
	x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
}

// Guards against responses that are lost because the client has already said that it ends.
func TestTerminateFollowsResponses(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	x.send(&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Terminate{})
	x.want("RowDescription D:1 C:SELECT_1 Z:I")
}

// Guards against a client that a planned stop closes without a reason while a message above the
// limit arrives.
func TestStopWithinLargeMessage(t *testing.T) {
	r := newRig(t, false, func(c *Config) { c.MaxMessage = 1000 })
	x := r.raw()
	x.write(header('Q', 1<<20), make([]byte, 5000))
	for r.server.Dump().(Dump).Callers["active"] == 0 {
		time.Sleep(time.Millisecond) // the header of the message has not arrived
	}
	expire, drained := r.drain()
	expire()
	x.wantEnd()
	<-drained
}

// Guards against the next message being dropped together with one above the limit, when an order
// interrupts the wait for its rest.
func TestReloadWithinLargeMessage(t *testing.T) {
	for _, kind := range []byte("QP") {
		r := newRig(t, false, func(c *Config) { c.MaxMessage = 1000 })
		x := r.raw()
		x.query("BEGIN", "C:BEGIN Z:T") // a session in a transaction does not end at once
		x.query("INSERT open", "C:INSERT_0_1 Z:T")
		large := frame(kind, make([]byte, 5000))
		x.write(large[:2000])
		for r.server.Dump().(Dump).Callers["active"] == 0 {
			time.Sleep(time.Millisecond)
		}
		r.server.Shed()
		x.write(large[2000:])
		if kind == 'P' {
			x.send(syncIt)
		}
		x.want("E:" + stateTooLarge + " Z:E")
		x.query("ROLLBACK", "C:ROLLBACK Z:I")
		x.wantEnd()
	}
}
