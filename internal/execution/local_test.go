package execution

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// fakeUpstream counts connections and verifies the session state of each one.
type fakeUpstream struct {
	mu         sync.Mutex
	open       int
	maxOpen    int
	dials      int
	attempts   int // to open a connection
	limit      int
	violations []string
	delay      time.Duration
	nextError  error // returned by the next Exchange
	replyTo    func(c statement.Command) statement.Reply
	stateOf    *statement.TransactionState // in replies to statements of clients; nil for the actual one
	panicAt    statement.CommandKind       // panics when it receives this command; zero for none
}

type fakeConn struct {
	upstream     *fakeUpstream
	organisation ident.OrganisationName
	values       map[string]string
	prepared     map[string]string
	state        statement.TransactionState
	transaction  string // ID of the open transaction
	closed       bool
}

func (u *fakeUpstream) dial(_ context.Context, _ Target, organisation ident.OrganisationName) (Conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts++
	if u.limit > 0 && u.open >= u.limit {
		return nil, &RefusedError{Code: statement.TooManyConnections}
	}
	u.open++
	u.dials++
	u.maxOpen = max(u.maxOpen, u.open)
	return &fakeConn{upstream: u, organisation: organisation, values: map[string]string{}, prepared: map[string]string{}}, nil
}

func (c *fakeConn) Exchange(_ context.Context, commands ...statement.Command) ([]statement.Reply, error) {
	u := c.upstream
	time.Sleep(u.delay)
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.nextError; err != nil {
		u.nextError = nil
		return nil, err
	}
	var replies []statement.Reply
	for _, command := range commands {
		if command.Kind == u.panicAt {
			panic("fault")
		}
		reply := statement.Reply{}
		if command.Kind == statement.RunCommand && u.replyTo != nil {
			reply = u.replyTo(command)
		}
		if reply.Code == statement.OK {
			c.apply(command)
		}
		reply.State = c.state
		if command.Kind == statement.RunCommand && u.stateOf != nil {
			reply.State = *u.stateOf
		}
		replies = append(replies, reply)
	}
	return replies, nil
}

// apply runs a command. The text of a RunCommand has the form
// "organisation|transaction|values|prepared|ends".
func (c *fakeConn) apply(command statement.Command) {
	switch command.Kind {
	case statement.BeginCommand, statement.BeginReadOnlyCommand:
		c.state = statement.InTransaction
	case statement.RollbackCommand:
		c.state, c.transaction = statement.Idle, ""
	case statement.DiscardCommand:
		clear(c.values)
		clear(c.prepared)
	case statement.SetCommand:
		c.values[command.Name] = command.Value
	case statement.PrepareCommand:
		fields := strings.Fields(command.Text)
		if c.prepared[fields[1]] != "" {
			c.recordViolation("prepared twice: %s", command.Text)
		}
		c.prepared[fields[1]] = command.Text
	case statement.DeallocateCommand:
		delete(c.prepared, command.Name)
	case statement.RunCommand:
		c.checkSession(command.Text)
	}
}

func (c *fakeConn) checkSession(text string) {
	fields := strings.Split(text, "|")
	if len(fields) < 5 {
		return
	}
	organisation, transaction, values, prepared, ends := fields[0], fields[1], fields[2], fields[3], fields[4]
	if string(c.organisation) != organisation {
		c.recordViolation("connection of %s runs %s", c.organisation, text)
	}
	if fmt.Sprint(c.values) != values {
		c.recordViolation("values are %v for %s", c.values, text)
	}
	if name, _, _ := strings.Cut(prepared, "="); name != "" && c.prepared[name] != strings.TrimPrefix(prepared, name+"=") {
		c.recordViolation("%s is %q for %s", name, c.prepared[name], text)
	}
	if c.transaction == "" && c.state == statement.InTransaction {
		c.transaction = transaction
	}
	if c.transaction != transaction {
		c.recordViolation("transaction %q runs %s", c.transaction, text)
	}
	if ends == "end" {
		c.state, c.transaction = statement.Idle, ""
	}
}

func (c *fakeConn) recordViolation(format string, args ...any) {
	c.upstream.violations = append(c.upstream.violations, fmt.Sprintf(format, args...))
}

func (c *fakeConn) Status(context.Context, statement.Command) (statement.Status, statement.Reply, error) {
	return statement.Status{}, statement.Reply{}, errors.New("the fake upstream has no status")
}

func (c *fakeConn) Alive() bool { return !c.closed }

func (c *fakeConn) Close() {
	c.upstream.mu.Lock()
	defer c.upstream.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.upstream.open--
	}
}

var target = Target{Group: "g1", Upstream: "u1", Address: "10.0.0.1:1"}

func request(organisation string, mode Mode) Request {
	return Request{Target: target, ConnectionLimit: 3, Organisation: ident.OrganisationName(organisation), Mode: mode, ID: "id", Text: "READ a",
		AcquireTimeout: time.Second, Timeout: time.Second}
}

func newLocal(u *fakeUpstream) *Local {
	start := time.Now()
	return NewLocal(u.dial, func() time.Duration { return time.Since(start) })
}

// Guards against so many concurrent dials that each connection opens only after its
// request has timed out, and against a request that still waits to dial although a
// connection of its organisation has become idle.
func TestConcurrentDialsAreLimited(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		u := &fakeUpstream{}
		start := time.Now()
		dialing, maxDialing := 0, 0
		l := NewLocal(func(ctx context.Context, target Target, organisation ident.OrganisationName) (Conn, error) {
			u.mu.Lock()
			dialing++
			maxDialing = max(maxDialing, dialing)
			dialTime := time.Duration(dialing) * 30 * time.Millisecond
			u.mu.Unlock()
			time.Sleep(dialTime)
			u.mu.Lock()
			dialing--
			u.mu.Unlock()
			return u.dial(ctx, target, organisation)
		}, func() time.Duration { return time.Since(start) })
		var done sync.WaitGroup
		results := make([]Result, 12)
		for i := range results {
			done.Go(func() {
				results[i] = l.Execute(t.Context(), Request{
					Target: Target{Upstream: "u1"}, ConnectionLimit: 20, DialLimit: 2, Organisation: "acme", Weight: 1, Mode: Single,
					ID: fmt.Sprint(i), Text: "x", AcquireTimeout: 100 * time.Millisecond, Timeout: time.Second,
				})
			})
		}
		done.Wait()
		assert.Equal(t, maxDialing, 2)
		for _, r := range results {
			assert.Equal(t, r.Outcome, Done)
		}
		assert.Assert(t, u.dials < len(results), "%d connections for one organisation", u.dials)
	})
}

// Guards against a statement that runs on a connection with the organisation, session
// values, prepared statement or transaction of another client, for any interleaving of
// sessions.
func TestConnectionsServeOneSessionAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := &fakeUpstream{}
		l := newLocal(u)
		open := map[string]Request{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			session := rapid.IntRange(0, 5).Draw(t, "session")
			organisation := fmt.Sprintf("o%d", session%3)
			values := map[string]string{}
			if v := rapid.IntRange(0, 2).Draw(t, "value"); v > 0 {
				values["colour"] = fmt.Sprint(v)
			}
			r := request(organisation, Single)
			name := fmt.Sprintf("t%d", session)
			held, inside := open[name]
			if inside {
				// In a transaction session values can only be added or changed, so they are
				// left as they were when it began.
				r, values = held, held.SessionValues
				r.Mode = Continue
			} else if rapid.Bool().Draw(t, "begin") && len(open) < 2 {
				r.Mode, r.TransactionID = Begin, fmt.Sprintf("t%d-%d", session, i)
			}
			r.SessionValues = values
			prepared := ""
			if p := rapid.IntRange(0, 2).Draw(t, "prepared"); p > 0 {
				r.Prepared = &Prepared{Name: "s", Text: fmt.Sprintf("PARSE s READ q%d", p)}
				prepared = "s=" + r.Prepared.Text
			}
			ends := ""
			if r.Mode == Continue && rapid.Bool().Draw(t, "end") {
				ends, r.EndsTransaction = "end", true
			}
			r.Text = strings.Join([]string{organisation, r.TransactionID, fmt.Sprint(values), prepared, ends}, "|")
			result := l.Execute(context.Background(), r)
			if result.Outcome != Done {
				t.Fatalf("%+v: %+v", r, result)
			}
			switch {
			case r.Mode == Begin:
				open[name] = r
			case ends != "":
				delete(open, name)
			case r.Mode == Continue && rapid.IntRange(0, 3).Draw(t, "rollback") == 0:
				l.Rollback(target, r.TransactionID)
				delete(open, name)
			}
			if u.open > 3 {
				t.Fatalf("%d connections with a limit of 3", u.open)
			}
		}
		if len(u.violations) > 0 {
			t.Fatal(strings.Join(u.violations, "\n"))
		}
	})
}

// Guards against idle connections of one organisation that block other organisations.
func TestIdleConnectionIsEvictedForAnotherOrganisation(t *testing.T) {
	u := &fakeUpstream{}
	l := newLocal(u)
	for i := range 8 {
		assert.Equal(t, l.Execute(context.Background(), request(fmt.Sprintf("o%d", i), Single)).Outcome, Done)
	}
	assert.Equal(t, u.maxOpen, 3)
}

// Guards against a new connection for each statement.
func TestConnectionIsReused(t *testing.T) {
	u := &fakeUpstream{}
	l := newLocal(u)
	for range 10 {
		assert.Equal(t, l.Execute(context.Background(), request("o1", Single)).Outcome, Done)
	}
	assert.Equal(t, u.dials, 1)
}

// Guards against reuse of a connection after a statement without a reply: the next
// reply on the connection would belong to that statement.
func TestUnansweredStatementClosesTheConnection(t *testing.T) {
	u := &fakeUpstream{}
	l := newLocal(u)
	assert.Equal(t, l.Execute(context.Background(), request("o1", Single)).Outcome, Done)
	u.nextError = errors.New("reset")
	assert.Equal(t, l.Execute(context.Background(), request("o1", Single)).Outcome, Unknown)
	assert.Equal(t, u.open, 0)
}

// Guards against a takeover because a primary answers with a row that cannot be read, and
// against an unknown outcome of a statement that cannot be encoded.
func TestInvalidMessagesAreNoFailureOfUpstream(t *testing.T) {
	u := &fakeUpstream{}
	l := newLocal(u)
	u.nextError = framing.New(framing.CarriageReturn, "row")
	result := l.Execute(t.Context(), request("o1", Single))
	assert.Equal(t, result.Outcome, Unknown)
	assert.Equal(t, result.Reason, InvalidAnswer)
	assert.Assert(t, !result.Unanswered())
	assert.Equal(t, u.open, 0)
	assert.Equal(t, l.Execute(t.Context(), request("o1", Single)).Outcome, Done)
	u.nextError = ErrUnusable
	result = l.Execute(t.Context(), request("o1", Single))
	assert.Equal(t, result.Outcome, NotRun)
	assert.Equal(t, result.Reason, InvalidAnswer)
	assert.Equal(t, u.open, 0, "the connection is closed")
	for reason, want := range map[framing.Reason]Reason{framing.Field: Malformed, framing.TooLarge: TooLarge} {
		u.nextError = &UnsendableError{Cause: framing.New(reason, "text")}
		result = l.Execute(t.Context(), request("o1", Single))
		assert.Equal(t, result.Outcome, NotRun)
		assert.Equal(t, result.Reason, want)
		assert.Equal(t, u.open, 1, "the connection is as before")
	}
}

// Guards against a forged reply within a field of the actual one: it tells that a transaction has
// ended, and the next statements would begin another one and commit without the former writes.
func TestReplyWithUnexpectedState(t *testing.T) {
	ended, open := statement.Idle, statement.InTransaction
	for _, c := range []struct {
		name  string
		mode  Mode
		ends  bool
		state statement.TransactionState
	}{
		{"single statement", Single, false, open}, {"leader read", LeaderRead, false, ended},
		{"first of a transaction", Begin, false, ended}, {"later one of a transaction", Continue, false, ended}, {"commit", Continue, true, open},
	} {
		u := &fakeUpstream{}
		l := newLocal(u)
		r := request("o1", c.mode)
		if c.mode == Begin || c.mode == Continue {
			r.TransactionID = "t1"
		}
		if c.mode == Continue {
			first := r
			first.Mode = Begin
			assert.Equal(t, l.Execute(t.Context(), first).Outcome, Done, c.name)
		}
		u.stateOf, r.EndsTransaction = &c.state, c.ends
		result := l.Execute(t.Context(), r)
		assert.Equal(t, result.Outcome, Unknown, c.name)
		assert.Equal(t, result.Reason, InvalidAnswer, c.name)
		assert.Assert(t, !result.TransactionOpen, c.name)
		assert.Equal(t, l.Transactions(), 0, c.name)
		assert.Equal(t, u.open, 0, "%s: the connection is closed", c.name)
	}
}

// Guards against a takeover because a primary answers the commands before a statement with
// messages that cannot be read.
func TestInvalidAnswerBeforeStatement(t *testing.T) {
	for _, mode := range []Mode{Single, Begin, LeaderRead} {
		u := &fakeUpstream{nextError: framing.New(framing.LineFeed, "reply")}
		r := request("o1", mode)
		r.SessionValues = map[string]string{"name": "value"}
		if mode == Begin {
			r.TransactionID, r.SessionValues = "t1", nil
		}
		result := newLocal(u).Execute(t.Context(), r)
		assert.Equal(t, result.Outcome, NotRun)
		assert.Equal(t, result.Reason, InvalidAnswer)
		assert.Equal(t, u.open, 0)
	}
}

// Guards against an unknown outcome if the connection failed before the statement was
// sent, and against a refused leader read that counts as proof of leadership.
func TestOutcomeOfStatementThatWasNotRun(t *testing.T) {
	u := &fakeUpstream{}
	l := newLocal(u)
	r := request("o1", Single)
	r.SessionValues = map[string]string{"a": "b"}
	u.nextError = errors.New("reset")
	result := l.Execute(context.Background(), r)
	assert.Equal(t, result.Outcome, NotRun)
	assert.Equal(t, result.Reason, Unreachable)
	r.Mode = LeaderRead
	u.replyTo = func(statement.Command) statement.Reply { return statement.Reply{Code: statement.ReadOnly} }
	result = l.Execute(context.Background(), r)
	assert.Equal(t, result.Outcome, NotRun)
	assert.Assert(t, !result.LeadershipVerified)
}

// Guards against requests that wait for a connection beyond their acquire timeout.
func TestWaitForAConnectionIsBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		u := &fakeUpstream{delay: 10 * time.Second}
		l := newLocal(u)
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { l.Execute(context.Background(), request("o1", Single)) })
		}
		synctest.Wait()
		r := request("o1", Single)
		r.AcquireTimeout = 100 * time.Millisecond
		began := time.Now()
		result := l.Execute(context.Background(), r)
		assert.Equal(t, result.Reason, NoConnection)
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
		wg.Wait()
	})
}

// Guards against repeated connection attempts to an upstream that has reached its
// connection limit.
func TestRefusedConnectionDelaysTheNextDial(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		u := &fakeUpstream{limit: 1}
		l := newLocal(u)
		first := request("o1", Begin)
		first.TransactionID = "t1"
		assert.Equal(t, l.Execute(context.Background(), first).Outcome, Done)
		result := l.Execute(context.Background(), request("o1", Single))
		assert.Equal(t, result.Code, statement.TooManyConnections)
		attempts, r := u.attempts, request("o1", Single)
		r.AcquireTimeout = refusalBackoff / 2
		assert.Equal(t, l.Execute(context.Background(), r).Reason, NoConnection)
		assert.Equal(t, u.attempts, attempts)
		u.limit = 2
		time.Sleep(refusalBackoff)
		assert.Equal(t, l.Execute(context.Background(), request("o1", Single)).Outcome, Done)
	})
}

// Guards against a statement that runs in a transaction after its rollback.
func TestRolledBackTransactionIsClosed(t *testing.T) {
	u := &fakeUpstream{}
	l := newLocal(u)
	r := request("o1", Begin)
	r.TransactionID = "t1"
	assert.Equal(t, l.Execute(context.Background(), r).Outcome, Done)
	l.Rollback(target, "t1")
	r.Mode = Continue
	assert.Equal(t, l.Execute(context.Background(), r).Reason, NoTransaction)
	assert.Equal(t, l.Transactions(), 0)
}

// Guards against the result "unknown" for a statement that was not sent because the zone of
// the upstream is evacuated, and against a rollback that is sent there.
func TestWithdrawnUpstreamEndsTransactionWithoutStatement(t *testing.T) {
	u := &fakeUpstream{}
	withdrawn, sent := false, 0
	l := NewLocal(func(ctx context.Context, target Target, organisation ident.OrganisationName) (Conn, error) {
		conn, err := u.dial(ctx, target, organisation)
		return &withdrawnConn{Conn: conn, withdrawn: &withdrawn, sent: &sent}, err
	}, func() time.Duration { return 0 })
	r := request("acme", Begin)
	r.TransactionID = "t1"
	result := l.Execute(t.Context(), r)
	assert.Assert(t, result.Outcome == Done && result.TransactionOpen)
	withdrawn, sent = true, 0
	r.Mode, r.EndsTransaction = Continue, true
	result = l.Execute(t.Context(), r)
	assert.Equal(t, result.Outcome, NotRun)
	assert.Equal(t, result.Reason, Withdrawn)
	assert.Assert(t, !result.TransactionOpen)
	assert.Equal(t, sent, 0)
	assert.Equal(t, l.Connections(), 0, "the connection is closed, which rolls the transaction back")
	result = l.Execute(t.Context(), request("acme", Single))
	assert.Equal(t, result.Outcome, NotRun)
	assert.Equal(t, result.Reason, Withdrawn)
}

type withdrawnConn struct {
	Conn
	withdrawn *bool
	sent      *int
}

func (c *withdrawnConn) Exchange(ctx context.Context, commands ...statement.Command) ([]statement.Reply, error) {
	if *c.withdrawn {
		return nil, ErrWithdrawn
	}
	*c.sent += len(commands)
	return c.Conn.Exchange(ctx, commands...)
}
