package proxy

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// handleInTransaction handles a statement in an open transaction.
func (s *Session) handleInTransaction(ctx context.Context, st statement.Statement) Response {
	switch {
	case st.Kind == statement.Rollback:
		s.closeTransaction()
		return Response{}
	case s.tx.rolledBack:
		return s.failOrClose(st, resultcode.New(resultcode.RolledBack, "the transaction is rolled back: it was idle for too long, or the VM stops"))
	case st.Kind == statement.Begin:
		return s.fail(resultcode.New(resultcode.MalformedMessage, "a transaction is open"))
	}
	grant, err := s.authorise()
	if err == nil && grant.Organisation.Name != s.tx.grant.Organisation.Name {
		err = resultcode.New(resultcode.RolledBack, "the key has passed to another organisation since the transaction began")
	}
	if err != nil {
		return s.failOrClose(st, err).withTrace(grantTrace(&grant))
	}
	writes, prepared, err := s.resolve(st)
	if err == nil && writes && s.tx.readOnly {
		err = resultcode.New(resultcode.ReadOnlyTransaction, "the transaction is read-only")
	}
	if err != nil {
		return s.fail(err)
	}
	r := s.newRequest(&s.tx.grant, st, prepared)
	r.TransactionID, r.EndsTransaction, r.Writes = s.tx.id, st.Kind == statement.Commit, writes
	if s.tx.open {
		return s.runNext(ctx, st, r)
	}
	return s.runFirst(ctx, st, r)
}

// runFirst opens the transaction at an upstream and runs its first statement.
func (s *Session) runFirst(ctx context.Context, st statement.Statement, r execution.Request) Response {
	tx := s.tx
	r.Mode = execution.Begin
	requirement := s.requirement(&tx.grant, !tx.readOnly)
	a := attempt{session: s, requirement: requirement, request: r, beganAt: tx.beganAt, writes: !tx.readOnly, hasEffect: st.Kind == statement.Commit}
	result, choice, err := a.run(ctx)
	if err != nil {
		return s.failOrClose(st, err).withTrace(a.trace)
	}
	tx.id, tx.choice, tx.open = a.request.TransactionID, choice, result.TransactionOpen
	return s.succeed(st, result).withTrace(a.trace)
}

// runNext runs a later statement of the transaction.
func (s *Session) runNext(ctx context.Context, st statement.Statement, r execution.Request) Response {
	tx := s.tx
	r.Mode, r.Target = execution.Continue, tx.choice.Target
	deadline := s.services.Now() + r.Timeout
	s.running.Store(&tx.choice)
	for {
		sentAt := s.services.Now()
		r.Timeout = deadline - sentAt
		r.AcquireTimeout, r.TargetLeft = r.Timeout, targetLeft(&tx.grant, tx.beganAt, sentAt)
		result := tx.choice.Executor.Execute(ctx, r)
		s.services.Router.Observe(tx.choice, r.Writes || r.EndsTransaction && !tx.readOnly, sentAt, result)
		tx.open = result.TransactionOpen
		trace := newTrace(&tx.grant, tx.choice, result)
		if result.Outcome == execution.Done {
			return s.succeed(st, result).withTrace(trace)
		}
		if result.TransactionOpen && s.services.Now()+busyRetryDelay < deadline && clock.Sleep(ctx, busyRetryDelay) {
			continue // the upstream's queue was full and the transaction is still open
		}
		return s.failOrClose(st, transactionError(st, result)).withTrace(trace)
	}
}

// targetLeft returns what is left of the latency target of an operation. It is not zero,
// which means unknown in a request.
func targetLeft(grant *Grant, beganAt, now time.Duration) time.Duration {
	left := beganAt + grant.Route.LatencyTarget - now
	if left == 0 {
		return -1
	}
	return left
}

// busyRetryDelay is the delay before a statement is sent again to an upstream whose queue
// was full. Statements occupy a slot for some milliseconds.
const busyRetryDelay = 15 * time.Millisecond

// transactionError returns the error for a failed statement of a transaction. Unless the
// statement is a commit that may have taken effect, the transaction has no effect, because
// the upstream rolls back a transaction when its connection closes.
func transactionError(st statement.Statement, result execution.Result) error {
	switch {
	case result.Outcome == execution.Unknown && st.Kind == statement.Commit:
		return resultcode.New(resultcode.OutcomeUnknown, "the commit was sent and not answered")
	case result.Outcome == execution.Failed && st.Kind == statement.Commit:
		return upstreamError(result)
	}
	return resultcode.New(resultcode.RolledBack, "the transaction is rolled back: %s", describe(result))
}

// succeed returns the response to a successful statement. A commit closes the
// transaction.
func (s *Session) succeed(st statement.Statement, result execution.Result) Response {
	if st.Kind == statement.Commit {
		if !s.tx.readOnly || !result.Position.IsZero() {
			s.commits.record(s.tx.grant.Route.Group, result.Position)
		}
		s.closeTransaction()
	}
	return Response{Rows: result.Rows, Tag: result.Tag}
}

// failOrClose returns the response to a failed statement. A failed commit closes the
// transaction; any other statement puts the session in the failed state.
func (s *Session) failOrClose(st statement.Statement, err error) Response {
	if st.Kind == statement.Commit {
		s.closeTransaction()
		return Response{Err: err}
	}
	return s.fail(err)
}

func (a Response) withTrace(t Trace) Response {
	a.Trace = t
	return a
}

// grantTrace returns the trace of a response for which no upstream was used.
func grantTrace(grant *Grant) Trace {
	return Trace{Version: grant.Version, ProofAge: grant.ProofAge, Organisation: grant.Organisation.Name, Group: grant.Route.Group,
		LatencyTarget: grant.Route.LatencyTarget}
}

func newTrace(grant *Grant, choice Choice, result execution.Result) Trace {
	t := grantTrace(grant)
	t.Primary, t.Upstream, t.ExecutingVM, t.Attempts = choice.VerifyLeadership, choice.Target.Upstream, choice.ExecutingVM, 1
	t.MinPosition, t.LastResult = choice.MinPosition, result
	return t
}
