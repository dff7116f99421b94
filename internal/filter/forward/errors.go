package forward

import (
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// handleErrorResponse forwards an error, or keeps it if the request can be retried.
func (x *exchange) handleErrorResponse(e *expectedResponse) error {
	_, frame, err := x.conn.Reader.ReadFrame()
	if err != nil {
		return err
	}
	body := frame[minFrame:]
	code := wire.ErrorField(body, 'C')
	if isFatal(body) {
		return errClosedByUpstream
	}
	if x.handleProxyMessageError(e, body, code) {
		return nil
	}
	x.errored = true
	x.held = x.held[:0]
	x.conn.UnnamedStatement = upstream.StatementKey{}
	if code == "0A000" || code == "26000" {
		x.conn.InvalidateStatements()
	}
	if !x.prepareRetry(code, frame) {
		if err := x.writeToClient(x.translateReadOnlyError(code, frame)); err != nil {
			return err
		}
	}
	x.skipToReadyForQuery()
	if x.needSync {
		x.needSync = false
		if err := x.flushClient(); err != nil {
			return err
		}
		return x.skipToSync()
	}
	return nil
}

// handleProxyMessageError handles an error in response to a message that the proxy
// itself sent. It reports whether the error is not to be forwarded to the client.
func (x *exchange) handleProxyMessageError(e *expectedResponse, body []byte, code string) bool {
	switch {
	case e.settings:
		x.dropResponses(settingsRefusedError(body))
	case x.prefixErr != nil:
	case e.begin && x.writes:
		x.dropResponses(resultcode.New(resultcode.OutcomeUnknown, "the upstream refused BEGIN with SQLSTATE %s", code))
	case e.begin:
		x.dropResponses(resultcode.New(resultcode.RolledBack, "the upstream refused BEGIN with SQLSTATE %s", code))
	case e.drop && e.kind == 'Q' && !x.commits: // BEGIN or ROLLBACK around a request
		x.mayHaveCommitted = true
	default:
		return false
	}
	x.skipToReadyForQuery()
	return true
}

// translateReadOnlyError replaces SQLSTATE 25006 of a former primary if the client did
// not request a read-only transaction.
func (x *exchange) translateReadOnlyError(code string, frame []byte) []byte {
	if code != "25006" || !x.s.OnPrimary || x.selfCommitting || x.readOnlyRequested() {
		return frame
	}
	err := resultcode.New(resultcode.RolledBack, "the upstream is no longer the primary")
	x.h.cfg.Counters.RecordRefusal(err.Code)
	return filter.ErrorFrame(filter.SeverityError, err)
}

// skipToReadyForQuery advances to the expected response that ends with the ReadyForQuery
// after an error.
func (x *exchange) skipToReadyForQuery() {
	for x.next < len(x.expected) && x.expected[x.next].kind != 'S' && x.expected[x.next].kind != 'Q' {
		x.next++
	}
}

// prepareRetry sets x.retry if the request can be retried after an error, and reports
// whether it did. A request can be retried if the upstream has rolled everything back
// and the client has received no response.
func (x *exchange) prepareRetry(code string, frame []byte) bool {
	if !x.fresh || x.r.EndsWithFlush || x.priorEffect || x.selfCommitting || x.responseSent() {
		return false
	}
	var reason filter.RetryReason
	switch {
	case code == "25006" && !x.readOnlyRequested():
		reason = filter.ReasonReadOnly
	case code == "40001" && x.wrapped:
		reason = filter.ReasonSerialization
	default:
		return false
	}
	x.w.Truncate(x.pendingMark)
	x.retry = &filter.RetryableError{Reason: reason, Response: append([]byte(nil), frame...)}
	return true
}

// readOnlyRequested reports whether the client itself requested a read-only transaction,
// so that SQLSTATE 25006 is the correct response.
func (x *exchange) readOnlyRequested() bool {
	if x.s.ReadOnlyTransaction || x.s.Settings.IsOn(filter.ReadOnlySetting) {
		return true
	}
	for i := range x.r.Messages {
		for _, s := range x.r.Messages[i].Statements {
			if s.Kind == sqltext.Set && s.Name == filter.ReadOnlySetting {
				return true
			}
		}
	}
	return false
}
