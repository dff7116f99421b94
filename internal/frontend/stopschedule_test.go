package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// pipeRig is a server between clients and a fake primary in virtual time.
type pipeRig struct{ *rig }

func newPipeRig(t *testing.T) *pipeRig {
	f := &fakeUpstream{t: t, committed: map[string]bool{}, term: 1, conns: map[net.Conn]bool{}, addr: "127.0.0.1:1"}
	r := &rig{t: t, primary: f, control: &fakeControl{primary: f.target("one")}}
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go f.serve(server)
		return client, nil
	}
	pools := upstream.New(upstream.Config{Credentials: upstream.Credentials{User: "proxy"}, Dial: dial})
	t.Cleanup(pools.Close)
	r.control.primary.Slots, r.control.primary.ConnectionLimit = 16, 16
	r.server = NewServer(Config{Authoriser: r.control, Limiter: r.control, Router: r.control, Pools: pools, PlainWrites: true, Logger: zerolog.Nop().Hook(failOnPanic{t})})
	return &pipeRig{r}
}

func (r *pipeRig) raw() *raw {
	client, server := net.Pipe()
	buffered := newBufferedConn(client)
	r.t.Cleanup(func() {
		client.Close()
		close(buffered.writes)
	})
	r.server.ServeConn(server)
	return r.login(buffered)
}

// Guards against a stop that waits for a client that does not read its response, and against
// cuts that are not reported.
func TestStopReportsCutStatements(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var lines syncBuffer
		r := newPipeRig(t)
		r.server.cfg.Logger = zerolog.New(&lines)
		client, server := net.Pipe()
		defer client.Close()
		r.server.ServeConn(server)
		r.login(client).send(&pgproto3.Query{String: "SELECT rows 1000"})
		synctest.Wait() // the server waits for the client to read
		_, drained := r.drain()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		var interrupted *InterruptedError
		assert.Assert(t, errors.As(r.server.Drain(ctx), &interrupted))
		assert.Equal(t, interrupted.Cut, 1)
		assert.Assert(t, strings.Contains(lines.String(), `"message":"stop cut statement"`), lines.String())
		<-drained
	})
}

// bufferedConn gives a net.Pipe the buffers of a network connection.
type bufferedConn struct {
	net.Conn
	writes chan []byte
	reads  chan []byte
	rest   []byte
}

func newBufferedConn(c net.Conn) *bufferedConn {
	b := &bufferedConn{Conn: c, writes: make(chan []byte, 16), reads: make(chan []byte, 1024)}
	go func() {
		for p := range b.writes {
			_, _ = c.Write(p)
		}
	}()
	go func() {
		defer close(b.reads)
		for {
			p := make([]byte, 4096)
			n, err := c.Read(p)
			if err != nil {
				return
			}
			b.reads <- p[:n]
		}
	}()
	return b
}

func (b *bufferedConn) Write(p []byte) (int, error) {
	b.writes <- bytes.Clone(p)
	return len(p), nil
}

func (b *bufferedConn) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		var ok bool
		if b.rest, ok = <-b.reads; !ok {
			return 0, io.EOF
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Guards against a drain that ends transactions or statements too early, cuts a statement,
// begins one that it then ends, or waits longer than its deadline.
func TestDrainSchedule(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		r := newPipeRig(t)
		release := make(chan struct{})
		defer close(release)
		r.primary.setHook(func(sql string) bool {
			switch sql {
			case "INSERT step":
				time.Sleep(100 * time.Millisecond)
			case "SELECT long":
				time.Sleep(26 * time.Second)
			case "FAIL cancelled":
				for r.primary.cancelled() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
			case "INSERT stuck":
				<-release
			}
			return true
		})
		idle, open, busy, long, cancelled, stuck := r.raw(), r.raw(), r.raw(), r.raw(), r.raw(), r.raw()
		open.query("BEGIN", "C:BEGIN Z:T")
		open.query("INSERT a", "C:INSERT_0_1 Z:T")
		busy.query("BEGIN", "C:BEGIN Z:T")
		long.send(&pgproto3.Query{String: "SELECT long"})
		cancelled.send(&pgproto3.Query{String: "FAIL cancelled"})
		stuck.send(&pgproto3.Query{String: "INSERT stuck"})
		synctest.Wait() // the statements run
		ordered := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		drained := make(chan error, 1)
		go func() { drained <- r.server.Drain(ctx) }()
		// endsAt asserts that a session ends with 57P01 about at a time after the order.
		endsAt := func(x *raw, at time.Duration) {
			x.t.Helper()
			x.wantEnd()
			late := time.Since(ordered) - at
			assert.Assert(t, late >= 0 && late <= 500*time.Millisecond, "%v after the order", time.Since(ordered))
		}
		endsAt(idle, 0)
		steps := 0
		for {
			busy.send(&pgproto3.Query{String: "INSERT step"})
			if got := busy.next(); got != "C:INSERT 0 1" {
				assert.Equal(t, got, "E:57P01")
				break
			}
			busy.want("Z:T")
			steps++
		}
		assert.Equal(t, r.primary.count("INSERT step"), steps)
		assert.Assert(t, time.Since(ordered) >= 22900*time.Millisecond)
		endsAt(open, 22900*time.Millisecond)
		long.want("RowDescription D:long C:SELECT_1 Z:I")
		endsAt(long, 26*time.Second)
		cancelled.want("E:22012 Z:I")
		endsAt(cancelled, 27900*time.Millisecond)
		stuck.want("E:08007 Z:I")
		endsAt(stuck, 28900*time.Millisecond)
		var interrupted *InterruptedError
		assert.Assert(t, errors.As(<-drained, &interrupted))
		assert.DeepEqual(t, *interrupted, InterruptedError{Ended: 4})
		assert.Assert(t, time.Since(ordered) < 30*time.Second)
	})
}
