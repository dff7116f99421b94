package proxy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// fakeServices is a fake implementation of the services of a session.
type fakeServices struct {
	start          time.Time
	results        []execution.Result // of the next statements; if empty, statements succeed
	delay          time.Duration      // before each of results
	requests       []execution.Request
	taken          int
	limitError     error
	authoriseError error
	admitError     error
	upstreamKnown  bool
	rollbacks      int
	transactions   int
	priority       int // of the last operation
	// organisation holds the key.
	organisation ident.OrganisationName
}

func newFakeServices() *fakeServices {
	return &fakeServices{start: time.Now(), upstreamKnown: true, organisation: "acme"}
}

func (f *fakeServices) session(t fataler) *Session {
	s, _, err := OpenSession(&Services{Admission: f, Authoriser: f, Limiter: f, Router: f, Now: func() time.Duration { return time.Since(f.start) },
		NewTransactionID: func() string { f.transactions++; return fmt.Sprint("t", f.transactions) }}, "orders", "key")
	if err != nil {
		t.Fatalf("%v", err)
	}
	return s
}

type fataler interface {
	Fatalf(format string, args ...any)
}

func (f *fakeServices) Authorise(string, catalog.KeyHash) (Grant, error) {
	return Grant{Version: 3, Organisation: catalog.Organisation{Name: f.organisation},
		Route: catalog.Route{Group: "g1", Consistency: catalog.Primary, StatementTimeout: time.Second, LatencyTarget: 500 * time.Millisecond, Priority: 2}}, f.authoriseError
}

func (f *fakeServices) Take(_ context.Context, _ ident.OrganisationName, priority int) error {
	f.taken++
	f.priority = priority
	return f.limitError
}

func (f *fakeServices) Choose(requirement Requirement) (Choice, bool) {
	return Choice{Target: execution.Target{Group: "g1", Upstream: "u1"}, Executor: f, VerifyLeadership: true}, f.upstreamKnown && len(requirement.Exclude) == 0
}

func (f *fakeServices) Observe(Choice, bool, time.Duration, execution.Result) {}

func (f *fakeServices) Execute(_ context.Context, r execution.Request) execution.Result {
	f.requests = append(f.requests, r)
	if len(f.results) == 0 {
		return execution.Result{Outcome: execution.Done, Tag: "proof", TransactionOpen: r.Mode >= execution.Begin && !r.EndsTransaction, Sent: true}
	}
	time.Sleep(f.delay)
	result := f.results[0]
	f.results = f.results[1:]
	return result
}

func (f *fakeServices) Rollback(execution.Target, string) { f.rollbacks++ }

func (f *fakeServices) handle(s *Session, kind statement.Kind) (resultcode.Code, statement.TransactionState) {
	a := s.Handle(context.Background(), statement.Statement{ID: "q", Text: kind.String(), Kind: kind})
	return resultcode.Of(a.Err), a.State
}

var (
	busy        = execution.Result{Outcome: execution.NotRun, Reason: execution.Refused, Code: statement.Busy, Sent: true}
	unreachable = execution.Result{Outcome: execution.NotRun, Reason: execution.Unreachable}
	unknown     = execution.Result{Outcome: execution.Unknown, Sent: true}
)

// Guards against a client that waits for the whole statement timeout although no
// upstream can run its statement.
func TestUnsentStatementFailsEarly(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFakeServices()
		s := f.session(t)
		f.upstreamKnown = false
		code, _ := f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.NoPrimary)
		assert.Assert(t, time.Since(f.start) <= 125*time.Millisecond, "%v", time.Since(f.start))
		f.upstreamKnown = true
		for range 100 {
			f.results = append(f.results, unreachable)
		}
		began := time.Now()
		code, _ = f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.NoPrimary)
		assert.Assert(t, time.Since(began) <= 125*time.Millisecond, "%v", time.Since(began))
	})
}

// Guards against a statement that waits, or a read that fails or avoids its upstream,
// because the VM that executed it has been lost or is stopping. Another VM runs it at once.
func TestReadIsRepeatedAfterLossOfExecutingVM(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFakeServices()
		s := f.session(t)
		f.delay = 400 * time.Millisecond // longer than the time in which a statement must be sent
		f.results = []execution.Result{{Outcome: execution.Unknown, Reason: execution.PeerLost}}
		code, _ := f.handle(s, statement.Read)
		assert.Equal(t, code, resultcode.Code(0))
		assert.Equal(t, len(f.requests), 2)
		assert.Equal(t, time.Since(f.start), f.delay)
		f.delay = 0
		f.results = []execution.Result{{Outcome: execution.Unknown, Reason: execution.PeerLost}}
		code, _ = f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.OutcomeUnknown)
		assert.Equal(t, len(f.requests), 3)
		f.results = []execution.Result{{Outcome: execution.NotRun, Reason: execution.Stopping}}
		code, _ = f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.Code(0))
		assert.Equal(t, time.Since(f.start), 400*time.Millisecond)
	})
}

// Guards against a read that is repeated until its time limit because its row cannot be read at
// any upstream, and against one that fails because a single upstream answers incorrectly.
func TestReadWithInvalidAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFakeServices()
		s := f.session(t)
		invalid := execution.Result{Outcome: execution.Unknown, Reason: execution.InvalidAnswer, Sent: true}
		f.results = []execution.Result{invalid}
		code, _ := f.handle(s, statement.Read)
		assert.Equal(t, code, resultcode.Code(0))
		assert.Equal(t, len(f.requests), 2)
		f.results = []execution.Result{invalid, invalid, invalid}
		code, _ = f.handle(s, statement.Read)
		assert.Equal(t, code, resultcode.AnswerIncomplete)
		assert.Equal(t, len(f.requests), 4)
	})
}

// Guards against a transaction that keeps its connection for good, because its first statement is
// refused as busy and tried again.
func TestRefusedBeginIsRolledBack(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFakeServices()
		s := f.session(t)
		open := busy
		open.TransactionOpen = true
		f.results = []execution.Result{open, open}
		_, _ = f.handle(s, statement.Begin)
		code, _ := f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.Code(0))
		assert.Equal(t, len(f.requests), 3)
		assert.Equal(t, f.rollbacks, 2)
	})
}

// Guards against the rollback of a former attempt that ends the transaction of a later one.
func TestRetriedBeginHasItsOwnIdentifier(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFakeServices()
		s := f.session(t)
		f.results = []execution.Result{{Outcome: execution.NotRun, Reason: execution.PeerLost}}
		_, state := f.handle(s, statement.Begin)
		assert.Equal(t, state, statement.InTransaction)
		for range 2 {
			code, _ := f.handle(s, statement.Write)
			assert.Equal(t, code, resultcode.Code(0))
		}
		assert.Equal(t, len(f.requests), 3)
		assert.Assert(t, f.requests[0].TransactionID != f.requests[1].TransactionID)
		assert.Equal(t, f.requests[2].TransactionID, f.requests[1].TransactionID)
	})
}

// Guards against an error long after all VMs have refused a statement because of their
// queues, and against one for a statement that waited in a queue in vain although another VM
// can run it. Guards also against requests without what the executing VM orders them by.
func TestRefusalOfQueues(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFakeServices()
		s := f.session(t)
		full := execution.Result{Outcome: execution.NotRun, Reason: execution.NoConnection}
		f.results = []execution.Result{full, full, full}
		code, _ := f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.QueueDeadline)
		assert.Equal(t, time.Since(f.start), time.Duration(0))
		assert.Equal(t, len(f.requests), 3)
		f.delay, f.results = 300*time.Millisecond, []execution.Result{full}
		code, _ = f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.Code(0))
		last := f.requests[len(f.requests)-1]
		assert.Equal(t, last.TargetLeft, 200*time.Millisecond)
		assert.Equal(t, last.Timeout, 700*time.Millisecond)
		assert.Equal(t, last.AcquireTimeout, last.Timeout)
		f.delay = 0
		for range 15 {
			f.results = append(f.results, execution.Result{Outcome: execution.NotRun, Reason: execution.Refused, Code: statement.TooManyConnections})
		}
		code, _ = f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.Code(0), "the upstream accepts connections again within the time limit")
	})
}

// Guards against an error before the timeout for a statement that reached an upstream
// whose queue was full.
func TestSentStatementIsRetriedUntilItsTimeout(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFakeServices()
		s := f.session(t)
		for range 12 {
			f.results = append(f.results, busy)
		}
		code, _ := f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.Code(0))
		assert.Equal(t, len(f.requests), 13)
		assert.Equal(t, f.taken, 1, "retries consume no further operations")
	})
}

// Guards against a write that is repeated after an unknown outcome, and against a read
// that fails although it can be repeated.
func TestOnlyReadsAreRetriedWithoutAReply(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFakeServices()
		s := f.session(t)
		f.results = []execution.Result{unknown}
		code, state := f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.OutcomeUnknown)
		assert.Equal(t, state, statement.Idle)
		assert.Equal(t, len(f.requests), 1)
		f.results = []execution.Result{unknown}
		code, _ = f.handle(s, statement.Read)
		assert.Equal(t, code, resultcode.Code(0))
		assert.Equal(t, len(f.requests), 3)
	})
}

// Guards against an operation that runs without a check of its key or rate, and against a
// transaction that consumes one operation for each of its statements.
func TestEveryOperationIsAdmitted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFakeServices()
		s := f.session(t)
		f.limitError = resultcode.New(resultcode.RateExceeded, "no tokens")
		code, state := f.handle(s, statement.Begin)
		assert.Equal(t, code, resultcode.RateExceeded)
		assert.Equal(t, state, statement.Idle)
		f.limitError = nil
		for _, kind := range []statement.Kind{statement.Begin, statement.Read, statement.Write, statement.Commit} {
			code, _ = f.handle(s, kind)
			assert.Equal(t, code, resultcode.Code(0))
		}
		assert.Equal(t, f.taken, 2)
		assert.Equal(t, f.priority, 2, "that of the route")
		_, _ = f.handle(s, statement.Begin)
		_, _ = f.handle(s, statement.Write)
		f.authoriseError = resultcode.New(resultcode.KeyRejected, "withdrawn")
		code, state = f.handle(s, statement.Commit)
		assert.Equal(t, code, resultcode.KeyRejected)
		assert.Equal(t, state, statement.Idle)
		assert.Equal(t, f.rollbacks, 1, "the transaction is rolled back, not committed")
	})
}

// Guards against statements that run for the former organisation of a key, because the key
// passes to another one while a transaction is open (UNASKED, key-of-another-tenant).
func TestTransactionEndsWhenKeyChangesOrganisation(t *testing.T) {
	for _, kind := range []statement.Kind{statement.Read, statement.Write, statement.Commit} {
		f := newFakeServices()
		s := f.session(t)
		f.handle(s, statement.Begin)
		code, _ := f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.Code(0))
		f.organisation = "other"
		code, _ = f.handle(s, kind)
		assert.Equal(t, code, resultcode.RolledBack, "%v", kind)
		assert.Equal(t, len(f.requests), 1, "nothing is sent for %v", kind)
		assert.Equal(t, f.rollbacks, 1)
		if kind != statement.Commit {
			f.handle(s, statement.Rollback)
		}
		code, _ = f.handle(s, statement.Write)
		assert.Equal(t, code, resultcode.Code(0))
		assert.Equal(t, f.requests[1].Organisation, ident.OrganisationName("other"))
	}
}

// Guards against "not run" for a transaction whose commit may have taken effect, and
// against effects of a transaction that was rejected. A commit must be sent at most once
// unless it was not run, and never after a failed statement, and the code in its response
// must match the outcome at the upstream.
func TestCommitResponseMatchesTheOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFakeServices()
		s := f.session(rt)
		if code, _ := f.handle(s, statement.Begin); code != 0 {
			rt.Fatalf("begin: %v", code)
		}
		failed := false
		for range rapid.IntRange(0, 5).Draw(rt, "statements") {
			if rapid.IntRange(0, 3).Draw(rt, "fails") == 0 {
				f.results = []execution.Result{{Outcome: execution.Failed, Code: statement.Failed, Sent: true}}
			}
			code, state := f.handle(s, statement.Write)
			failed = failed || code != 0
			if failed != (state == statement.FailedTransaction) {
				rt.Fatalf("state %v after code %v", state, code)
			}
		}
		outcome := rapid.SampledFrom([]execution.Outcome{execution.Done, execution.Failed, execution.Unknown, execution.NotRun}).Draw(rt, "commit")
		if outcome != execution.Done && !failed {
			code := statement.Failed
			if outcome == execution.NotRun {
				code = statement.ReadOnly
			}
			f.results = []execution.Result{{Outcome: outcome, Reason: execution.Refused, Code: code, Sent: true}}
			if outcome == execution.NotRun && len(f.requests) == 0 {
				for range maxAttempts { // a first statement is sent again
					f.results = append(f.results, f.results[0])
				}
			}
		}
		before := len(f.requests)
		code, state := f.handle(s, statement.Commit)
		if state != statement.Idle {
			rt.Fatalf("state %v after the commit", state)
		}
		sent := len(f.requests) - before
		switch {
		case failed:
			if sent > 0 || code != resultcode.RolledBack {
				rt.Fatalf("failed transaction: %d commits sent, code %v", sent, code)
			}
		case outcome == execution.Done:
			if code != 0 || sent != 1 {
				rt.Fatalf("code %v, %d sent", code, sent)
			}
		case outcome == execution.Unknown:
			if code != resultcode.OutcomeUnknown || sent != 1 {
				rt.Fatalf("code %v, %d sent", code, sent)
			}
		case outcome == execution.NotRun && code.Info().Effect != resultcode.NotRun:
			rt.Fatalf("code %v for a commit that did not run", code)
		}
	})
}

func (f *fakeServices) AdmitStatement(time.Duration) error { return f.admitError }

func (f *fakeServices) AdmitTransaction(time.Duration) error { return f.admitError }

// Guards against a rollback that fails because the proxy has already rolled back, which leaves
// the session in the failed state.
func TestRollbackOfRolledBackTransactionSucceeds(t *testing.T) {
	for _, c := range []struct {
		kind  statement.Kind
		code  resultcode.Code
		state statement.TransactionState
	}{
		{statement.Rollback, 0, statement.Idle},
		{statement.Commit, resultcode.RolledBack, statement.Idle},
		{statement.Write, resultcode.RolledBack, statement.FailedTransaction},
		{statement.Begin, resultcode.RolledBack, statement.FailedTransaction},
	} {
		for _, opened := range []bool{false, true} {
			f := newFakeServices()
			s := f.session(t)
			f.handle(s, statement.Begin)
			if opened {
				f.handle(s, statement.Write)
			}
			s.RollbackTransaction()
			sent := len(f.requests)
			code, state := f.handle(s, c.kind)
			assert.Equal(t, code, c.code, "%v, opened: %v", c.kind, opened)
			assert.Equal(t, state, c.state, "%v, opened: %v", c.kind, opened)
			assert.Equal(t, len(f.requests), sent, "nothing is sent for %v", c.kind)
		}
	}
}

// Guards against a statement that is sent to an upstream after a planned stop has ended it.
func TestEndedStatementIsNotSent(t *testing.T) {
	f := newFakeServices()
	s := f.session(t)
	ctx, end := context.WithCancel(context.Background())
	end()
	a := s.Handle(ctx, statement.Statement{ID: "q", Text: "w", Kind: statement.Write})
	assert.Equal(t, resultcode.Of(a.Err), resultcode.NoPrimary)
	assert.Equal(t, len(f.requests), 0)
}
