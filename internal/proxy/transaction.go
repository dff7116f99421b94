package proxy

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// handleInTransaction runs a statement of an open transaction.
func (s *Session) handleInTransaction(ctx context.Context, st statement.Statement) Response {
	switch {
	case s.tx.ended:
		return s.failOrEnd(st, resultcode.New(resultcode.RolledBack, "the transaction was idle for too long and is rolled back"))
	case st.Kind == statement.Begin:
		return s.fail(resultcode.New(resultcode.MalformedMessage, "a transaction is open"))
	case st.Kind == statement.Rollback:
		s.end()
		return Response{}
	}
	if grant, err := s.authorise(); err != nil {
		return s.failOrEnd(st, err).with(grantTrace(&grant))
	}
	writes, prepared, err := s.resolve(st)
	if err == nil && writes && s.tx.readOnly {
		err = resultcode.New(resultcode.ReadOnlyTransaction, "the transaction is read-only")
	}
	if err != nil {
		return s.fail(err)
	}
	r := s.request(&s.tx.grant, st, prepared)
	r.TransactionID, r.EndsTransaction, r.Writes = s.tx.name, st.Kind == statement.Commit, writes
	if s.tx.started {
		return s.next(ctx, st, r)
	}
	return s.first(ctx, st, r)
}

// first opens the transaction at an upstream with its first statement.
func (s *Session) first(ctx context.Context, st statement.Statement, r execution.Request) Response {
	tx := s.tx
	r.Mode = execution.Begin
	need := Requirement{Grant: &tx.grant, Primary: !tx.readOnly || tx.grant.Route.Consistency == catalog.Primary, SessionPosition: s.last}
	a := attempt{session: s, need: need, request: r, writes: !tx.readOnly, effect: st.Kind == statement.Commit}
	result, choice, err := a.run(ctx)
	if err != nil {
		return s.failOrEnd(st, err).with(a.trace)
	}
	tx.choice, tx.started = choice, result.TransactionOpen
	return s.succeed(st, result).with(a.trace)
}

// next runs a further statement of the transaction.
func (s *Session) next(ctx context.Context, st statement.Statement, r execution.Request) Response {
	tx := s.tx
	r.Mode, r.Target, r.ConnectionLimit = execution.Continue, tx.choice.Target, tx.choice.ConnectionLimit
	deadline := s.services.Now() + r.Timeout
	for {
		sentAt := s.services.Now()
		result := tx.choice.Executor.Execute(ctx, r)
		s.services.Router.Observe(tx.choice, r.Writes || r.EndsTransaction && !tx.readOnly, sentAt, result)
		tx.started = result.TransactionOpen
		trace := traceOf(&tx.grant, tx.choice, result)
		if result.Outcome == execution.Done {
			return s.succeed(st, result).with(trace)
		}
		if result.TransactionOpen && s.services.Now()+busyPause < deadline && clock.Sleep(ctx, busyPause) {
			continue // the upstream's queue was full and the transaction is still open
		}
		return s.failOrEnd(st, transactionError(st, result)).with(trace)
	}
}

// busyPause is the time before a statement is offered again to an upstream whose
// queue was full; slots are held for some milliseconds.
const busyPause = 15 * time.Millisecond

// transactionError returns what the caller is told about a failed statement of a
// transaction. Without a commit that may have taken effect nothing is kept, because
// the upstream rolls a transaction back when its connection closes.
func transactionError(st statement.Statement, result execution.Result) error {
	switch {
	case result.Outcome == execution.Unknown && st.Kind == statement.Commit:
		return resultcode.New(resultcode.OutcomeUnknown, "the commit was sent and not answered")
	case result.Outcome == execution.Failed && st.Kind == statement.Commit:
		return upstreamError(result)
	}
	return resultcode.New(resultcode.RolledBack, "the transaction is rolled back: %s", describe(result))
}

// succeed records the success of a statement.
func (s *Session) succeed(st statement.Statement, result execution.Result) Response {
	if st.Kind == statement.Commit {
		s.committed(result.Position)
		s.end()
	}
	return Response{Rows: result.Rows, Tag: result.Tag}
}

// failOrEnd answers a failed statement. A failed commit ends the transaction.
func (s *Session) failOrEnd(st statement.Statement, err error) Response {
	if st.Kind == statement.Commit {
		s.end()
		return Response{Err: err}
	}
	return s.fail(err)
}

func (a Response) with(t Trace) Response {
	a.Trace = t
	return a
}

// grantTrace describes a decision for which no upstream was asked.
func grantTrace(grant *Grant) Trace {
	return Trace{Version: grant.Version, ProofAge: grant.ProofAge, Organisation: grant.Organisation.Name, Group: grant.Route.Group,
		LatencyTarget: grant.Route.LatencyTarget}
}

func traceOf(grant *Grant, choice Choice, result execution.Result) Trace {
	t := grantTrace(grant)
	t.Primary, t.Upstream, t.ExecutingVM, t.Attempts = choice.VerifyLeadership, choice.Target.Upstream, choice.ExecutingVM, 1
	t.MinPosition, t.LastResult = choice.MinPosition, result
	return t
}
