package service_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/proxy"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/service"
	"github.com/rosemarywall/rosemarywall/internal/statement"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
	"github.com/rosemarywall/rosemarywall/platform"
)

// pipeListener is a listener in memory.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.connections:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return nil }

// upstream is a fake authoriser, limiter, router and executor.
type upstream struct {
	// large is a row of responses.
	large    string
	mu       sync.Mutex
	executed []string
}

// statementTimeout is the statement timeout of the route.
const statementTimeout = 800 * time.Millisecond

func (u *upstream) Authorise(database string, _ catalog.KeyHash) (proxy.Grant, error) {
	route := catalog.Route{Group: "g1", Consistency: catalog.Primary, StatementTimeout: statementTimeout, LatencyTarget: time.Second}
	if database == "slow" {
		route.StatementTimeout = time.Minute
	}
	return proxy.Grant{Organisation: catalog.Organisation{Name: "acme"}, Route: route}, nil
}

func (u *upstream) Take(context.Context, ident.OrganisationName, int) error { return nil }

func (u *upstream) Choose(proxy.Requirement) (proxy.Choice, bool) {
	return proxy.Choice{Target: execution.Target{Group: "g1", Upstream: "u1"}, Executor: u, VerifyLeadership: true}, true
}

func (u *upstream) Observe(proxy.Choice, bool, time.Duration, execution.Result) {}

// Execute gives no response to a statement with the word silent in its id or text, and
// fails one with the word failing.
func (u *upstream) Execute(ctx context.Context, r execution.Request) execution.Result {
	u.mu.Lock()
	u.executed = append(u.executed, r.ID+" "+r.Text)
	u.mu.Unlock()
	switch {
	case strings.Contains(r.ID+r.Text, "silent"):
		ctx, cancel := context.WithTimeout(ctx, r.Timeout)
		defer cancel()
		<-ctx.Done()
		return execution.Result{Outcome: execution.Unknown, Sent: true}
	case strings.Contains(r.Text, "panic"):
		panic("fault")
	case strings.Contains(r.Text, "large"):
		return execution.Result{Outcome: execution.Done, Rows: []string{u.large}, Tag: "mac", Sent: true}
	case strings.Contains(r.Text, "failing"):
		return execution.Result{Outcome: execution.Failed, Code: statement.Failed, Sent: true}
	}
	return execution.Result{Outcome: execution.Done, Tag: "mac", TransactionOpen: r.Mode >= execution.Begin && !r.EndsTransaction, Sent: true}
}

func (u *upstream) Rollback(execution.Target, string) { time.Sleep(100 * time.Millisecond) }

// stopCase is a VM that stops.
type stopCase struct {
	vm       *service.VM
	listener *pipeListener
	upstream *upstream
	order    time.Time // of the stop
	running  sync.WaitGroup
}

const grace = 6 * time.Second

func newStopCase(dial execution.Dial) *stopCase {
	c := &stopCase{listener: &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}, upstream: &upstream{}}
	u := c.upstream
	var lastID atomic.Int64
	c.vm = service.NewClientVM(grace, c.listener, platform.NewCodec, proxy.Services{Authoriser: u, Limiter: u, Router: u,
		NewTransactionID: func() string { return fmt.Sprint("t", lastID.Add(1)) }}, dial)
	c.order = time.Now().Add(time.Second)
	return c
}

// stop stops the VM at its time and returns how long that took.
func (c *stopCase) stop() time.Duration {
	time.Sleep(time.Until(c.order))
	c.vm.Stop()
	return time.Since(c.order)
}

// step is a part of a message, sent at a time after the order, and the response if it
// completes a message.
type step struct {
	at       time.Duration
	send     string
	response string
}

// play runs the steps of a client. A response has the form "CODE STATE".
func (c *stopCase) play(t *testing.T, name string, steps []step) {
	c.running.Go(func() {
		time.Sleep(time.Until(c.order.Add(steps[0].at)))
		client, server := net.Pipe()
		defer client.Close()
		select {
		case c.listener.connections <- server:
		case <-c.listener.closed:
			t.Errorf("%s: no connection at %v", name, steps[0].at)
			return
		}
		in := bufio.NewReader(client)
		for _, s := range steps {
			time.Sleep(time.Until(c.order.Add(s.at)))
			if _, err := client.Write([]byte(s.send)); err != nil {
				t.Errorf("%s: %q at %v: %v", name, s.send, s.at, err)
				return
			}
			if s.response == "" {
				continue
			}
			if got := response(in); got != s.response {
				t.Errorf("%s: %q at %v is answered %q, want %q", name, s.send, s.at, got, s.response)
			}
		}
	})
}

// response reads one response and returns its code and state. A rejected startup has no
// state.
func response(in *bufio.Reader) string {
	code, lines := "", 0
	for {
		line, err := in.ReadString('\n')
		fields := strings.Fields(line)
		switch {
		case err != nil && code != "" && lines == 1:
			return code
		case err != nil:
			return err.Error()
		}
		lines++
		switch fields[0] {
		case "COMPLETE":
			code = "OK"
		case "ERROR":
			code = fields[1]
		case "READY":
			return strings.TrimSpace(code + " " + fields[1])
		}
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Guards against statements and startups that a stage of a planned stop leaves without a
// response, or to which the response is not true.
func TestEveryMessageIsAnsweredInEachStage(t *testing.T) {
	const connect, begin = "CONNECT orders k\r\n", "QUERY b BEGIN\r\n"
	cases := map[string][]step{
		"startup in two parts around the order":       {{ms(-100), "CONNECT or", ""}, {ms(100), "ders k\r\n", "I"}, {ms(200), "QUERY q READ x\r\n", "OK I"}},
		"startup in two parts around closing":         {{ms(1900), "CONNECT or", ""}, {ms(2100), "ders k\r\n", "I"}, {ms(2120), "QUERY q READ x\r\n", "OK I"}},
		"startup in two parts around the roll-back":   {{ms(2900), "CONNECT or", ""}, {ms(3100), "ders k\r\n", "I"}, {ms(3120), "QUERY q READ x\r\n", "OK I"}},
		"startup in two parts around the end":         {{ms(4500), "CONNECT or", ""}, {ms(5000), "ders k\r\n", "BUSY"}},
		"statement in two parts around the order":     {{ms(-100), connect, "I"}, {ms(-50), "QUERY q WRI", ""}, {ms(50), "TE x y\r\n", "OK I"}},
		"statement in two parts around closing":       {{ms(-100), connect, "I"}, {ms(1900), "QUERY q WRI", ""}, {ms(2500), "TE x y\r\n", "OK I"}},
		"statement in two parts while sessions close": {{ms(-100), connect, "I"}, {ms(2020), "QUERY q WRI", ""}, {ms(2500), "TE x y\r\n", "OK I"}},
		"statement in two parts around the roll-back": {{ms(-100), connect, "I"}, {ms(1990), "QUERY q WRI", ""}, {ms(3500), "TE x y\r\n", "OK I"}},
		"statement in two parts around the end":       {{ms(-100), connect, "I"}, {ms(1990), "QUERY late1 WRI", ""}, {ms(5000), "TE x y\r\n", "BUSY I"}},
		"transaction in two parts around the end":     {{ms(-100), connect, "I"}, {ms(1990), "QUERY late2 BE", ""}, {ms(5000), "GIN\r\n", "BUSY I"}},
		"failed transaction before closing": {{ms(-100), connect, "I"}, {ms(0), begin, "OK T"}, {ms(10), "QUERY q WRITE failing y\r\n", "FAILED E"},
			{ms(1990), "QUERY q READ x\r\n", "MALFORMED E"}, {ms(2030), "QUERY q ROLLBACK\r\n", "OK I"}},
		"commit before the roll-back": {{ms(-100), connect, "I"}, {ms(0), begin, "OK T"}, {ms(10), "QUERY q WRITE x y\r\n", "OK T"},
			{ms(2990), "QUERY q COMMIT\r\n", "OK I"}},
		"commit after the roll-back": {{ms(-100), connect, "I"}, {ms(0), begin, "OK T"}, {ms(10), "QUERY q WRITE x y\r\n", "OK T"},
			{ms(3050), "QUERY late3 COMMIT\r\n", "ABORTED I"}},
		"commit long after the roll-back": {{ms(-100), connect, "I"}, {ms(0), begin, "OK T"}, {ms(10), "QUERY q WRITE x y\r\n", "OK T"},
			{ms(5000), "QUERY late4 COMMIT\r\n", "ABORTED I"}},
		"rollback after the roll-back": {{ms(-100), connect, "I"}, {ms(0), begin, "OK T"}, {ms(10), "QUERY q WRITE x y\r\n", "OK T"},
			{ms(3500), "QUERY q ROLLBACK\r\n", "OK I"}},
		"first statement after the roll-back": {{ms(1900), connect, "I"}, {ms(1950), begin, "OK T"},
			{ms(3100), "QUERY late5 WRITE x y\r\n", "ABORTED E"}, {ms(3120), "QUERY q ROLLBACK\r\n", "OK I"}},
		"transaction that cannot end in time": {{ms(2400), connect, "I"}, {ms(2420), "QUERY q READ x\r\n", "OK I"}, {ms(2450), "QUERY late6 BEGIN\r\n", "BUSY I"}},
		"startup that cannot end in time":     {{ms(4200), connect, "BUSY"}},
		"write without a response":            {{ms(1000), "CONNECT slow k\r\n", "I"}, {ms(1990), "QUERY q WRITE silent y\r\n", "INDOUBT I"}},
		"read without a response":             {{ms(1000), "CONNECT slow k\r\n", "I"}, {ms(1990), "QUERY q READ silent\r\n", "TIMEOUT I"}},
		"commit without a response": {{ms(1000), "CONNECT slow k\r\n", "I"}, {ms(1010), begin, "OK T"}, {ms(1020), "QUERY q WRITE x y\r\n", "OK T"},
			{ms(2990), "QUERY silent COMMIT\r\n", "INDOUBT I"}},
		"write of a transaction without a response": {{ms(1000), "CONNECT slow k\r\n", "I"}, {ms(1010), begin, "OK T"},
			{ms(2990), "QUERY q WRITE silent y\r\n", "TIMEOUT E"}, {ms(4930), "QUERY q ROLLBACK\r\n", "OK I"}},
	}
	virtualtime.Test(t, func(t *testing.T) {
		c := newStopCase(nil)
		for name, steps := range cases {
			c.play(t, name, steps)
		}
		took := c.stop()
		c.running.Wait()
		if took > grace*9/10+ms(200) {
			t.Errorf("the stop took %v", took)
		}
		for _, e := range c.upstream.executed {
			if strings.HasPrefix(e, "late") {
				t.Errorf("%s was executed, and its client was told that it was not", e)
			}
		}
	})
}

// slowConn is a connection to an upstream that takes a time to close.
type slowConn struct{ closing time.Duration }

func (slowConn) Exchange(_ context.Context, commands ...statement.Command) ([]statement.Reply, error) {
	return make([]statement.Reply, len(commands)), nil
}

func (slowConn) Status(context.Context, statement.Command) (statement.Status, statement.Reply, error) {
	return statement.Status{}, statement.Reply{}, resultcode.New(resultcode.StatementFailed, "not used")
}

func (slowConn) Alive() bool { return true }
func (c slowConn) Close()    { time.Sleep(c.closing) }

// Guards against a stop whose end moves beyond the grace period because a step of it takes
// long, as on a busy VM or after a suspension.
func TestDelayedStopEndsInTime(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second, 3 * time.Second, 5400 * time.Millisecond} {
		virtualtime.Test(t, func(t *testing.T) {
			c := newStopCase(func(context.Context, execution.Target, ident.OrganisationName) (execution.Conn, error) {
				return slowConn{delay}, nil
			})
			c.vm.ExecuteLocally(execution.Request{Mode: execution.Single, ConnectionLimit: 1, Timeout: time.Second, AcquireTimeout: time.Second, ID: "q", Text: "READ x"})
			c.play(t, "statement at the end of the stop", []step{{ms(100), "CONNECT slow k\r\n", "I"}, {ms(1900), "QUERY q WRITE silent y\r\n", "INDOUBT I"}})
			took := c.stop()
			assert.Assert(t, took < grace-ms(300), "delay %v: the stop took %v", delay, took)
			c.running.Wait()
		})
	}
}
