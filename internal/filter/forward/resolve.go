package forward

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// resolveInterval is the delay between queries for the outcome of a transaction.
const resolveInterval = 10 * time.Millisecond

// confirm waits until the pending commit is guaranteed to survive a promotion.
func (x *exchange) confirm() error {
	x.h.cfg.Counters.CommitsHeld.Add(1)
	ctx, cancel := context.WithTimeout(x.s.ProcessContext(), x.h.cfg.ConfirmTimeout)
	defer cancel()
	if err := x.h.cfg.Router.Confirm(ctx, x.lease.Target(), x.point); err != nil {
		x.broken = true
		return x.resolve(ctx)
	}
	x.advanceLogPoint(x.point)
	return nil
}

// advanceLogPoint advances the log position of the session after a confirmed commit.
func (x *exchange) advanceLogPoint(point ident.LogPoint) {
	if point.Compare(x.s.LogPoint) > 0 {
		x.s.LogPoint = point
	}
	x.r.LogPointAdvanced = true
	x.point = ident.LogPoint{}
}

// resolve determines the outcome of the transaction. It returns nil if the transaction
// committed and a replica has received it in the current term.
func (x *exchange) resolve(ctx context.Context) error {
	id := x.lease.TransactionID
	if id == "" {
		if x.s.InTransaction && !x.mayHaveWritten() && x.point.IsZero() {
			return resultcode.New(resultcode.RolledBack, "the connection to the upstream failed; the transaction had written nothing")
		}
		return outcomeUnknownError("the upstream did not report a transaction identifier")
	}
	for {
		state, err := x.h.cfg.Router.Transaction(ctx, x.s.Grant.Database, id)
		switch {
		case err != nil || state == group.TransactionInProgress:
		case state == group.TransactionAborted:
			x.h.cfg.Counters.CommitsResolved.Add(1)
			return resultcode.New(resultcode.RolledBack, "the group reports the transaction as aborted")
		case state == group.TransactionCommitted:
			if x.confirmResolved(ctx, id) {
				x.h.cfg.Counters.CommitsResolved.Add(1)
				return nil
			}
		default:
			return outcomeUnknownError("the group does not know the transaction")
		}
		if !clock.Sleep(ctx, resolveInterval) {
			return outcomeUnknownError("the group did not tell the outcome before the deadline")
		}
	}
}

// mayHaveWritten reports whether the segment contains a statement that may write, so that
// the identifier of its transaction may have been lost with the response.
func (x *exchange) mayHaveWritten() bool {
	for i := range x.expected {
		if msg := x.expected[i].message; msg != nil {
			for _, s := range msg.Statements {
				if s.Kind == sqltext.Write || s.Kind == sqltext.CopyIn || s.Kind == sqltext.Read {
					return true
				}
			}
		}
	}
	return false
}

func outcomeUnknownError(detail string) error {
	return resultcode.New(resultcode.OutcomeUnknown, "%s", detail)
}

// PointSource is implemented by routers that can query the end of the primary's log.
// Without it, the outcome of a commit stays unknown until the term changes if the
// connection broke before the upstream reported the log position. The filter finds the
// interface by a type assertion, so the compiler does not check that a router implements
// it.
type PointSource interface {
	// PrimaryPoint queries the primary for the position of its last log entry.
	PrimaryPoint(ctx context.Context, database ident.GroupName) (request.Target, ident.LogPoint, error)
}

// confirmResolved confirms a committed transaction in the current term. It queries the
// state of the transaction again in that term, because the earlier response may come
// from a primary whose log was truncated when the term changed.
func (x *exchange) confirmResolved(ctx context.Context, id string) bool {
	router, database := x.h.cfg.Router, x.s.Grant.Database
	target, point, ok := x.commitPoint(ctx)
	if !ok || router.Confirm(ctx, target, point) != nil {
		return false
	}
	if state, err := router.Transaction(ctx, database, id); err != nil || state != group.TransactionCommitted {
		return false
	}
	if now, err := router.Primary(ctx, database); err != nil || now.Term != target.Term {
		return false
	}
	x.advanceLogPoint(point)
	return true
}

// commitPoint returns a log position of the current term at or after the commit. If the
// connection broke before the position was reported, that is the first entry of a newer
// term, because its log includes everything committed before, or the current end of the
// primary's log if the term is unchanged.
func (x *exchange) commitPoint(ctx context.Context) (request.Target, ident.LogPoint, bool) {
	target, err := x.h.cfg.Router.Primary(ctx, x.s.Grant.Database)
	switch {
	case err != nil:
		return target, ident.LogPoint{}, false
	case !x.point.IsZero():
		return target, x.point, true
	case target.Term > x.lease.Target().Term:
		return target, ident.LogPoint{Term: target.Term}, true
	}
	source, ok := x.h.cfg.Router.(PointSource)
	if !ok {
		return target, ident.LogPoint{}, false
	}
	target, point, err := source.PrimaryPoint(ctx, x.s.Grant.Database)
	return target, point, err == nil
}

// handleFailure ends a request that did not complete and returns the error for the
// client.
func (x *exchange) handleFailure(err error) error {
	x.stopPolling()
	var lost *filter.ClientConnError
	var retry *filter.RetryableError
	switch {
	case errors.As(err, &lost):
		x.closeLease()
		return err
	case errors.As(err, &retry):
		lease := x.lease
		clean := x.status == 'I' && !x.broken
		dirty := x.s.Dirty
		x.s.EndLease()
		switch {
		case clean:
			lease.Release(dirty)
		case x.status == 'E' && !x.broken:
			lease.ResetWith("ROLLBACK")
		default:
			lease.Close()
		}
		return err
	case resultcode.Of(err) != 0:
		x.closeLease()
		return err
	}
	return x.handleConnectionLoss(err)
}

// closeLease ends the lease and closes its connection.
func (x *exchange) closeLease() {
	lease := x.lease
	x.s.EndLease()
	lease.Close()
}

// handleConnectionLoss determines the response to the client after the connection to the
// upstream failed.
func (x *exchange) handleConnectionLoss(cause error) error {
	if x.mayHaveCommitted {
		return x.resolveAfterConnectionLoss(cause)
	}
	inTransaction := !x.fresh || x.s.InTransaction || x.wrapped
	rolledBack := !x.fresh && x.s.InTransaction && x.synthesiseResponses(sqltext.Rollback, rollbackComplete)
	x.closeLease()
	switch {
	case rolledBack:
		x.r.Status = 'I'
		return x.releaseHeld()
	case x.errored && !x.responseSent() && x.retry != nil:
		return x.retry
	case x.errored:
		x.r.Failed, x.r.Status = true, 'I'
		if inTransaction && !x.wrapped {
			x.r.Status = 'E'
		}
		return nil
	case x.fresh && !x.priorEffect && !x.r.EndsWithFlush && !x.responseSent():
		x.w.Truncate(x.pendingMark)
		if errors.Is(cause, errStaleResponse) {
			return &filter.RetryableError{Reason: filter.ReasonStaleResponse, Cause: cause}
		}
		return &filter.RetryableError{Reason: filter.ReasonNotSent, Cause: cause}
	}
	x.reportFailure(cause)
	reason := "the connection to the upstream failed"
	if x.s.Stopped.Load() {
		reason = "the VM stops"
	}
	if inTransaction {
		return resultcode.New(resultcode.RolledBack, "%s before the commit was sent", reason)
	}
	return resultcode.New(resultcode.AnswerIncomplete, "%s", reason)
}

// reportFailure reports the loss of the connection, unless a planned stop has closed it.
func (x *exchange) reportFailure(cause error) {
	if !x.s.Stopped.Load() {
		x.h.cfg.Router.ReportFailure(x.lease.Target(), cause)
	}
}

// resolveAfterConnectionLoss determines the outcome of a request that may have committed
// without a response. It acknowledges a commit only if the rest of the response is
// known.
func (x *exchange) resolveAfterConnectionLoss(cause error) error {
	x.reportFailure(cause)
	x.broken = true
	x.lease.Close()
	ctx, cancel := context.WithTimeout(x.s.ProcessContext(), x.h.cfg.ConfirmTimeout)
	defer cancel()
	err := x.resolve(ctx)
	if err == nil && !x.synthesiseResponses(sqltext.Commit, commitComplete) {
		err = outcomeUnknownError("the transaction committed, but the response was lost")
	}
	if err != nil {
		x.s.EndLease()
		return err
	}
	x.status = 'I'
	if err := x.releaseHeld(); err != nil {
		x.s.EndLease()
		return err
	}
	x.finish()
	return nil
}

// CommandComplete messages for COMMIT and ROLLBACK.
var (
	commitComplete   = append([]byte{'C', 0, 0, 0, 11}, "COMMIT\x00"...)
	rollbackComplete = append([]byte{'C', 0, 0, 0, 13}, "ROLLBACK\x00"...)
)

// synthesiseResponses appends the lost responses to the held messages if all of them
// belong to a statement of the given kind. It reports whether the responses could be
// determined.
func (x *exchange) synthesiseResponses(kind sqltext.Kind, complete []byte) bool {
	for i := x.next; i < len(x.expected); i++ {
		e := &x.expected[i]
		switch {
		case e.drop || e.kind == 'S':
		case e.isLocal:
			x.held = append(x.held, e.local...)
		case e.kind == 'D' && e.message != nil && e.message.Prepared == nil:
			x.held = append(x.held, noData...)
		case e.message == nil || !isSingleStatement(e.message, kind):
			return e.kind == 'Q' && x.statement == len(x.statements) && i == len(x.expected)-1 &&
				(kind == sqltext.Commit || endsWithRollback(x.statements))
		case e.kind == 'Q':
			if x.statement == 0 {
				x.held = append(x.held, complete...)
			}
		case e.kind == 'E':
			x.held = append(x.held, complete...)
		case e.kind == 'P':
			x.held = append(x.held, parseComplete...)
		case e.kind == 'B':
			x.held = append(x.held, bindComplete...)
		case e.kind == 'D':
			x.held = append(append(x.held, noParameterTypes...), noData...)
		default:
			return false
		}
	}
	return true
}

// endsWithRollback reports whether the last statement ends the transaction without a commit.
func endsWithRollback(list []sqltext.Statement) bool {
	return len(list) > 0 && list[len(list)-1].Kind == sqltext.Rollback && !list[len(list)-1].Chain
}

// isSingleStatement reports whether the message belongs to a single statement of the
// given kind.
func isSingleStatement(msg *filter.Message, kind sqltext.Kind) bool {
	list := msg.Statements
	if msg.Prepared != nil {
		list = msg.Prepared.Statements
	}
	return len(list) == 1 && list[0].Kind == kind && !list[0].Chain
}
