package frontend

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rosemarywall/rosemarywall/internal/core/shutdown"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// drain starts a planned stop whose deadline is reached when expire is called.
func (r *rig) drain() (expire func(), drained chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	drained = make(chan error, 1)
	go func() { drained <- r.server.Drain(ctx) }()
	for {
		r.server.mu.Lock()
		draining := r.server.draining
		r.server.mu.Unlock()
		if draining {
			return cancel, drained
		}
		time.Sleep(time.Millisecond)
	}
}

// block makes the upstream wait before statements with the prefix. It returns a channel that
// receives one value for each of them, and a function that continues them.
func (r *rig) block(prefix string) (running chan struct{}, release func()) {
	running = make(chan struct{}, 16)
	blocked, cancel := context.WithCancel(context.Background())
	r.primary.setHook(func(sql string) bool {
		if strings.HasPrefix(sql, prefix) {
			running <- struct{}{}
			<-blocked.Done()
		}
		return true
	})
	r.t.Cleanup(cancel)
	return running, cancel
}

// wantEnd asserts that the connection ends with 57P01 and without a reset.
func (x *raw) wantEnd() {
	x.t.Helper()
	x.want("E:57P01")
	end := x.next()
	assert.Assert(x.t, strings.HasPrefix(end, "closed") && strings.Contains(end, "EOF"), end)
}

// Guards against statements that run at the drain deadline and get no response, or one that
// is not true.
func TestStatementsAtDrainDeadlineGetResponses(t *testing.T) {
	for name, test := range map[string]struct {
		begin   bool
		wrapped bool // single writes are sent as BEGIN and COMMIT
		send    []pgproto3.FrontendMessage
		blocked string
		want    string
	}{
		"read":                     {false, false, []pgproto3.FrontendMessage{&pgproto3.Query{String: "SELECT slow"}}, "SELECT slow", "E:57P01 Z:I"},
		"write":                    {false, false, []pgproto3.FrontendMessage{&pgproto3.Query{String: "INSERT slow"}}, "INSERT slow", "E:08007 Z:I"},
		"write before its COMMIT":  {false, true, []pgproto3.FrontendMessage{&pgproto3.Query{String: "INSERT slow"}}, "INSERT slow", "E:57P01 Z:I"},
		"statement in transaction": {true, false, []pgproto3.FrontendMessage{&pgproto3.Query{String: "SELECT slow"}}, "SELECT slow", "E:40001 Z:E"},
		"commit":                   {true, false, []pgproto3.FrontendMessage{&pgproto3.Query{String: "COMMIT"}}, "COMMIT", "E:08007 Z:I"},
		"extended batch":           {false, false, []pgproto3.FrontendMessage{prepare("", "INSERT slow"), bindTo(""), executeIt, syncIt}, "INSERT slow", "E:08007 Z:I"},
		"pipelined batches": {false, false, []pgproto3.FrontendMessage{
			prepare("", "INSERT slow"), bindTo(""), executeIt, syncIt, prepare("", "INSERT next"), bindTo(""), executeIt, syncIt,
		}, "INSERT slow", "E:08007 Z:I"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, false, func(c *Config) { c.PlainWrites = !test.wrapped })
			x := r.raw()
			if test.begin {
				x.query("BEGIN", "C:BEGIN Z:T")
				x.query("INSERT a", "C:INSERT_0_1 Z:T")
			}
			running, _ := r.block(test.blocked)
			x.send(test.send...)
			<-running
			expire, drained := r.drain()
			expire()
			for _, w := range strings.Fields(test.want) {
				got := x.next()
				for strings.HasSuffix(got, "Complete") {
					got = x.next()
				}
				assert.Equal(t, got, w)
			}
			x.wantEnd()
			assert.Assert(t, <-drained != nil, "a statement was ended")
			assert.Equal(t, r.primary.count("INSERT next"), 0)
		})
	}
}

// Guards against a COPY that runs at the drain deadline and gets no response.
func TestCopyAtDrainDeadlineGetsResponse(t *testing.T) {
	r := newRig(t, false, func(c *Config) { c.PlainWrites = true })
	x := r.raw()
	x.query("COPY t FROM STDIN", "CopyInResponse")
	x.send(&pgproto3.CopyData{Data: []byte("1\n")})
	expire, drained := r.drain()
	expire()
	x.want("NoticeResponse E:08007 Z:I")
	x.wantEnd()
	assert.Assert(t, <-drained != nil)
}

// Guards against commits that wait for their confirmation at the drain deadline and get no
// response.
func TestUnconfirmedCommitAtDrainDeadlineGetsResponse(t *testing.T) {
	r := newRig(t, false, func(c *Config) { c.PlainWrites, c.ConfirmTimeout = true, time.Hour })
	waiting := make(chan struct{})
	r.control.set(func() {
		r.control.confirm = func(ctx context.Context, _ request.Target, _ ident.LogPoint) error {
			close(waiting)
			<-ctx.Done()
			return ctx.Err()
		}
	})
	x := r.raw()
	x.send(&pgproto3.Query{String: "INSERT a"})
	<-waiting
	expire, drained := r.drain()
	expire()
	x.want("E:08007 Z:I")
	x.wantEnd()
	assert.Assert(t, <-drained != nil)
}

// Guards against a COPY that a planned stop with time left interrupts.
func TestStopLetsCopyFinish(t *testing.T) {
	r := newRig(t, false, func(c *Config) { c.PlainWrites = true })
	x := r.raw()
	x.query("COPY t FROM STDIN", "CopyInResponse")
	_, drained := r.drain()
	x.send(&pgproto3.CopyData{Data: []byte("1\n")}, &pgproto3.CopyDone{})
	x.want("NoticeResponse C:COPY_2 Z:I")
	x.wantEnd()
	assert.NilError(t, <-drained)
}

// Guards against statements that wait for a slot at the drain deadline and get no response.
func TestQueuedStatementAtDrainDeadlineIsRefused(t *testing.T) {
	r := newRig(t, false, nil)
	r.control.set(func() { r.control.primary.Slots = 1 })
	holder, x := r.raw(), r.raw()
	running, release := r.block("SELECT holder")
	holder.send(&pgproto3.Query{String: "SELECT holder"})
	<-running
	x.send(&pgproto3.Query{String: "INSERT queued"})
	for len(r.server.queue.Dump()) == 0 || r.server.queue.Dump()[0].Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	expire, drained := r.drain()
	expire()
	x.want("E:57P01 Z:I")
	x.wantEnd()
	holder.want("E:57P01 Z:I")
	release()
	<-drained
	assert.Equal(t, r.primary.count("INSERT queued"), 0)
}

// Guards against sessions that wait for their client at the drain deadline and are closed
// without a reason.
func TestWaitingSessionsAtDrainDeadlineAreTold(t *testing.T) {
	r := newRig(t, false, nil)
	open, failed, batch, half := r.raw(), r.raw(), r.raw(), r.raw()
	open.query("BEGIN", "C:BEGIN Z:T")
	open.query("INSERT a", "C:INSERT_0_1 Z:T")
	failed.query("BEGIN", "C:BEGIN Z:T")
	failed.query("FAIL", "E:22012 Z:E")
	batch.send(prepare("", "INSERT b"), flushIt)
	batch.want("ParseComplete")
	_, err := half.c.Write([]byte{'Q', 0, 0, 0, 50, 'I'})
	assert.NilError(t, err)
	for r.server.Dump().(Dump).Callers["active"] == 0 {
		time.Sleep(time.Millisecond) // the header of the message has not arrived
	}
	expire, drained := r.drain()
	expire()
	for _, x := range []*raw{open, failed, batch, half} {
		x.wantEnd()
	}
	assert.Assert(t, <-drained != nil, "a transaction was rolled back")
	assert.Equal(t, r.primary.count("INSERT b"), 0)
}

// Guards against clients in startup that a planned stop waits for or closes without a reason.
func TestStopEndsStartup(t *testing.T) {
	r := newRig(t, false, func(c *Config) {
		c.StartupTimeout = time.Hour
		c.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t, 1)}}
	})
	startup := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop", "database": "orders"}}
	dial := func() *raw {
		c := r.dial()
		return &raw{t, c, pgproto3.NewFrontend(c, c)}
	}
	password, slow, silent, handshake := dial(), dial(), dial(), dial()
	handshake.send(&pgproto3.SSLRequest{})
	_, err := handshake.c.Read(make([]byte, 1))
	assert.NilError(t, err)
	password.send(startup)
	password.want("AuthenticationCleartextPassword")
	for r.server.Dump().(Dump).Callers["startup"] < 4 {
		time.Sleep(time.Millisecond)
	}
	_, drained := r.drain()
	password.wantEnd()
	slow.send(startup)
	slow.wantEnd()
	silent.wantEnd()
	end := handshake.next()
	assert.Assert(t, strings.Contains(end, "EOF"), end)
	assert.NilError(t, <-drained)
}

// gatedListener accepts connections only once its gate is closed.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (g gatedListener) Accept() (net.Conn, error) {
	<-g.gate
	return g.TCPListener.Accept()
}

// Guards against clients whose connection the kernel has accepted and that a planned stop
// resets.
func TestStopAnswersConnectionsNotYetAccepted(t *testing.T) {
	r := newRig(t, false, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	gated := gatedListener{l.(*net.TCPListener), make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- r.server.Serve(gated) }()
	r.addr = l.Addr().String()
	c := r.dial()
	x := &raw{t, c, pgproto3.NewFrontend(c, c)}
	x.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop"}})
	for {
		r.server.mu.Lock()
		listening := len(r.server.listeners)
		r.server.mu.Unlock()
		if listening == 2 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, drained := r.drain()
	close(gated.gate)
	x.wantEnd()
	assert.NilError(t, <-drained)
	assert.NilError(t, <-served)
}

// Guards against a client that is closed without a reason because it is accepted after the end of
// the drain time, which may be zero.
func TestStopAnswersConnectionsAcceptedAtEnd(t *testing.T) {
	r := newRig(t, false, nil)
	r.server.beginStage(shutdown.Ended, 0)
	c := r.dial()
	x := &raw{t, c, pgproto3.NewFrontend(c, c)}
	x.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop"}})
	x.wantEnd()
}

// Guards against two orders at once, of which one undoes or repeats the other.
func TestShedBesideDrain(t *testing.T) {
	r := newRig(t, false, nil)
	idle, open := r.raw(), r.raw()
	open.query("BEGIN", "C:BEGIN Z:T")
	r.server.Shed()
	idle.wantEnd()
	expire, drained := r.drain()
	r.server.Shed()
	_, second := r.drain()
	open.query("INSERT a", "C:INSERT_0_1 Z:T")
	expire()
	open.wantEnd()
	assert.Assert(t, <-drained != nil)
	<-second
}

// interruptedConn calls interrupt after its first successful read.
type interruptedConn struct {
	net.Conn
	interrupt func()
}

func (c *interruptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.interrupt != nil {
		c.interrupt()
		c.interrupt = nil
	}
	return n, err
}

// Guards against an order that arrives while a message is being read and loses the message.
func TestOrderDuringMessageKeepsIt(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	cfg := Config{}
	cfg.setDefaults()
	interrupted := &interruptedConn{Conn: server}
	ordered := false
	c := newCallerConn(interrupted, &cfg, func() bool { return ordered })
	interrupted.interrupt = func() { ordered = true; c.wake(true) }
	go func() {
		_, _ = client.Write([]byte{'Q', 0, 0, 0, 6})
		_, _ = client.Write([]byte{';', 0})
	}()
	_, _, err := c.Await()
	assert.NilError(t, err)
	_, _, err = c.reader.ReadFrame()
	assert.NilError(t, err)
}

// Guards against an order that a session misses because it arrives after the session has looked
// for one and before it waits.
func TestOrderBeforeWaitIsNotMissed(t *testing.T) {
	for name, orderAt := range map[string]int{"before the first wait": 1, "before a wait that goes on": 2} {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			defer server.Close()
			cfg := Config{}
			cfg.setDefaults()
			var c *callerConn
			looks, ordered, woken := 0, false, make(chan struct{})
			c = newCallerConn(server, &cfg, func() bool {
				looks++
				switch {
				case ordered:
					return true
				case looks == orderAt:
					ordered = true
					go func() { c.wake(true); close(woken) }()
					if looks == 1 {
						<-woken // later looks hold the lock that wake needs
					}
				default:
					go c.wake(true) // an order that does not end the session
				}
				return false
			})
			assert.NilError(t, client.SetDeadline(time.Now().Add(testTimeout)))
			go func() { _, _ = client.Read(make([]byte, 1)); server.Close() }()
			_, _, err := c.Await()
			assert.ErrorIs(t, err, errShed)
		})
	}
}

// Guards against a response that is lost because the server closes a connection with unread
// input, which resets it.
func TestLastResponseSurvivesClose(t *testing.T) {
	for _, secure := range []bool{false, true} {
		name := map[bool]string{false: "plain", true: "TLS"}[secure]
		t.Run(name, func(t *testing.T) {
			r := newRig(t, false, func(c *Config) {
				c.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t, 1)}}
			})
			c := r.dial()
			if secure {
				_, err := c.Write([]byte{0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f})
				assert.NilError(t, err)
				_, err = c.Read(make([]byte, 1))
				assert.NilError(t, err)
				c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
			}
			x := r.login(c)
			x.send(&pgproto3.Query{String: "SELECT rows 8000"})
			_, err := c.Write([]byte("!\x00\x00\x00\x04" + strings.Repeat("unread input", 1000)))
			assert.NilError(t, err)
			for r.server.Dump().(Dump).Callers["active"] > 0 {
				time.Sleep(time.Millisecond) // the response is written and the session ends
			}
			rows := 0
			for got := x.next(); got != "Z:I"; got = x.next() {
				assert.Assert(t, !strings.HasPrefix(got, "closed"), "%s after %d rows", got, rows)
				rows++
			}
			assert.Equal(t, rows, 8002)
			x.want("E:08P01")
		})
	}
}

// Guards against TLS clients that a planned stop resets or closes without a reason.
func TestStopTellsTLSClients(t *testing.T) {
	r := newRig(t, false, func(c *Config) {
		c.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t, 1)}}
	})
	secure := func() *raw {
		c := r.dial()
		_, err := c.Write([]byte{0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f})
		assert.NilError(t, err)
		_, err = c.Read(make([]byte, 1))
		assert.NilError(t, err)
		return r.login(tls.Client(c, &tls.Config{InsecureSkipVerify: true}))
	}
	idle, open := secure(), secure()
	open.query("BEGIN", "C:BEGIN Z:T")
	_, drained := r.drain()
	idle.wantEnd()
	open.query("INSERT a", "C:INSERT_0_1 Z:T")
	open.query("COMMIT", "C:COMMIT Z:I")
	open.wantEnd()
	assert.NilError(t, <-drained)
}

// Guards against a session that never ends because its client always sends the next batch
// before the last response, and against batches that run after the refusal.
func TestPipeliningSessionEndsBetweenBatches(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	running, release := r.block("SELECT first")
	batch := func(sql string) []pgproto3.FrontendMessage {
		return []pgproto3.FrontendMessage{prepare("", sql), bindTo(""), executeIt, syncIt}
	}
	x.send(append(batch("SELECT first"), batch("SELECT second")...)...)
	<-running
	r.server.beginStage(shutdown.Closing, 0)
	release()
	x.want("ParseComplete BindComplete D:first C:SELECT_1 Z:I ParseComplete BindComplete D:second C:SELECT_1 Z:I")
	x.wantEnd()

	r = newRig(t, false, nil)
	x = r.raw()
	running, release = r.block("SELECT first")
	x.send(append(batch("SELECT first"), batch("INSERT second")...)...)
	<-running
	r.server.beginStage(shutdown.RollingBack, 0)
	release()
	x.want("ParseComplete BindComplete D:first C:SELECT_1 Z:I")
	x.wantEnd()
	assert.Equal(t, r.primary.count("INSERT second"), 0)
}

// Guards against log lines that do not tell which statement a planned stop ended, and against
// SQL text and keys in them.
func TestStopLogsEndedStatements(t *testing.T) {
	var lines syncBuffer
	r := newRig(t, false, func(c *Config) { c.PlainWrites, c.Logger = true, zerolog.New(&lines) })
	x, open := r.raw(), r.raw()
	open.query("BEGIN", "C:BEGIN Z:T")
	open.query("SELECT literal-4711", "RowDescription D:literal-4711 C:SELECT_1 Z:T")
	running, _ := r.block("INSERT literal-4711")
	x.send(&pgproto3.Query{String: "INSERT literal-4711"})
	<-running
	expire, drained := r.drain()
	expire()
	x.want("E:08007")
	var interrupted *InterruptedError
	assert.Assert(t, errors.As(<-drained, &interrupted))
	assert.DeepEqual(t, *interrupted, InterruptedError{Ended: 2})
	log := lines.String()
	for _, want := range []string{
		`"stage":"ended"`, `"statements":1`, `"idle_transactions":1`, `"message":"stop ended statement"`, `"organisation":"shop"`, `"database":"orders"`,
		`"kind":"write"`, `"upstream":"one"`, `"read_ms":-`, `"message":"stop rolled back transaction"`,
	} {
		assert.Assert(t, strings.Contains(log, want), "%s in %s", want, log)
	}
	for _, secret := range []string{"literal-4711", testKey, "upstream-secret"} {
		assert.Assert(t, !strings.Contains(log, secret), log)
	}
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
