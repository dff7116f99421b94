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

// world stands in for the services of a session.
type world struct {
	start    time.Time
	results  []execution.Result // of the next statements; Done when empty
	requests []execution.Request
	taken    int
	rate     error
	denied   error
	known    bool // an upstream is known
	abandons int
	names    int
}

func newWorld() *world { return &world{start: time.Now(), known: true} }

func (w *world) session(t require) *Session {
	s, _, err := OpenSession(&Services{Authoriser: w, Limiter: w, Router: w, Now: func() time.Duration { return time.Since(w.start) },
		NewTransactionID: func() string { w.names++; return fmt.Sprint("t", w.names) }}, "orders", "key")
	if err != nil {
		t.Fatalf("%v", err)
	}
	return s
}

type require interface {
	Fatalf(format string, args ...any)
}

func (w *world) Authorise(string, catalog.KeyHash) (Grant, error) {
	return Grant{Version: 3, Organisation: catalog.Organisation{Name: "acme"},
		Route: catalog.Route{Group: "g1", Consistency: catalog.Primary, StatementTimeout: time.Second, LatencyTarget: 500 * time.Millisecond}}, w.denied
}

func (w *world) Take(context.Context, ident.OrganisationName) error { w.taken++; return w.rate }

func (w *world) Choose(need Requirement) (Choice, bool) {
	return Choice{Target: execution.Target{Group: "g1", Upstream: "u1"}, Executor: w, VerifyLeadership: true}, w.known && len(need.Exclude) == 0
}

func (w *world) Observe(Choice, bool, time.Duration, execution.Result) {}

func (w *world) Execute(_ context.Context, r execution.Request) execution.Result {
	w.requests = append(w.requests, r)
	if len(w.results) == 0 {
		return execution.Result{Outcome: execution.Done, Tag: "proof", TransactionOpen: r.Mode >= execution.Begin && !r.EndsTransaction, Sent: true}
	}
	result := w.results[0]
	w.results = w.results[1:]
	return result
}

func (w *world) Rollback(execution.Target, string) { w.abandons++ }

func (w *world) ask(s *Session, kind statement.Kind) (resultcode.Code, statement.TransactionState) {
	a := s.Handle(context.Background(), statement.Statement{ID: "q", Text: kind.String(), Kind: kind})
	return resultcode.Of(a.Err), a.State
}

var (
	busy        = execution.Result{Outcome: execution.NotRun, Reason: execution.Refused, Code: statement.Busy, Sent: true}
	unreachable = execution.Result{Outcome: execution.NotRun, Reason: execution.Unreachable}
	unknown     = execution.Result{Outcome: execution.Unknown, Sent: true}
)

// Guards against requests that are held while no upstream can run them.
func TestStatementThatNobodyWasOfferedIsRefusedEarly(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld()
		s := w.session(t)
		w.known = false
		code, _ := w.ask(s, statement.Write)
		assert.Equal(t, code, resultcode.NoPrimary)
		assert.Assert(t, time.Since(w.start) <= 125*time.Millisecond, "%v", time.Since(w.start))
		w.known = true
		for range 100 {
			w.results = append(w.results, unreachable)
		}
		began := time.Now()
		code, _ = w.ask(s, statement.Write)
		assert.Equal(t, code, resultcode.NoPrimary)
		assert.Assert(t, time.Since(began) <= 125*time.Millisecond, "%v", time.Since(began))
	})
}

// Guards against a refusal though the upstream had the statement and time was left.
func TestOfferedStatementIsTriedUntilItsTimeout(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld()
		s := w.session(t)
		for range 12 {
			w.results = append(w.results, busy)
		}
		code, _ := w.ask(s, statement.Write)
		assert.Equal(t, code, resultcode.Code(0))
		assert.Equal(t, len(w.requests), 13)
		assert.Equal(t, w.taken, 1, "the rate counts an operation once")
	})
}

// Guards against a write that runs twice and against a read that fails though it can
// be repeated.
func TestUnansweredStatements(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld()
		s := w.session(t)
		w.results = []execution.Result{unknown}
		code, state := w.ask(s, statement.Write)
		assert.Equal(t, code, resultcode.OutcomeUnknown)
		assert.Equal(t, state, statement.Idle)
		assert.Equal(t, len(w.requests), 1)
		w.results = []execution.Result{unknown}
		code, _ = w.ask(s, statement.Read)
		assert.Equal(t, code, resultcode.Code(0))
		assert.Equal(t, len(w.requests), 3)
	})
}

// Guards against a key or a rate that is not checked, and against a transaction that
// counts for each of its statements.
func TestEveryOperationIsAdmitted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld()
		s := w.session(t)
		w.rate = resultcode.New(resultcode.RateExceeded, "no tokens")
		code, state := w.ask(s, statement.Begin)
		assert.Equal(t, code, resultcode.RateExceeded)
		assert.Equal(t, state, statement.Idle)
		w.rate = nil
		for _, kind := range []statement.Kind{statement.Begin, statement.Read, statement.Write, statement.Commit} {
			code, _ = w.ask(s, kind)
			assert.Equal(t, code, resultcode.Code(0))
		}
		assert.Equal(t, w.taken, 2)
		_, _ = w.ask(s, statement.Begin)
		_, _ = w.ask(s, statement.Write)
		w.denied = resultcode.New(resultcode.KeyRejected, "withdrawn")
		code, state = w.ask(s, statement.Commit)
		assert.Equal(t, code, resultcode.KeyRejected)
		assert.Equal(t, state, statement.Idle)
		assert.Equal(t, w.abandons, 1, "the transaction is rolled back, not committed")
	})
}

// Guards against "not run" for a transaction whose commit may have taken effect, and
// against effects of a transaction that was refused: whatever happens, a commit is
// sent at most once, never after a failed statement, and its answer matches what the
// upstream knows.
func TestPromisesOfTransactionsAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		s := w.session(rt)
		if code, _ := w.ask(s, statement.Begin); code != 0 {
			rt.Fatalf("begin: %v", code)
		}
		failed := false
		for range rapid.IntRange(0, 5).Draw(rt, "statements") {
			if rapid.IntRange(0, 3).Draw(rt, "fails") == 0 {
				w.results = []execution.Result{{Outcome: execution.Failed, Code: statement.Failed, Sent: true}}
			}
			code, state := w.ask(s, statement.Write)
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
			w.results = []execution.Result{{Outcome: outcome, Reason: execution.Refused, Code: code, Sent: true}}
			if outcome == execution.NotRun && len(w.requests) == 0 {
				for range maxAttempts { // a first statement is offered again
					w.results = append(w.results, w.results[0])
				}
			}
		}
		before := len(w.requests)
		code, state := w.ask(s, statement.Commit)
		if state != statement.Idle {
			rt.Fatalf("state %v after the commit", state)
		}
		sent := len(w.requests) - before
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
