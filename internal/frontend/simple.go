package frontend

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// simpleQuery serves a Query message.
func (s *session) simpleQuery(frame []byte) error {
	text, rest, err := wire.CutCString(frame[minFrame:])
	if err != nil || len(rest) != 0 {
		return malformed("query text")
	}
	if s.batch.open() {
		// A Query inside a batch that was not synchronised ends the batch.
		if err := s.sync(syncFrame); err != nil {
			return err
		}
	}
	delete(s.statements, "")
	list := sqltext.Parse(string(text))
	if s.aborted {
		s.simpleAborted(list)
		return nil
	}
	if err := s.check(list); err != nil {
		s.refuse(err)
		return nil
	}
	if len(list) == 1 && (list[0].Kind == sqltext.Empty || s.isLocal(list[0])) {
		s.simpleLocal(list[0])
		return nil
	}
	s.request.Reset(&s.shared)
	s.request.Messages = append(s.request.Messages, filter.Message{Kind: 'Q', Frame: frame, Statements: list})
	if _, err := s.serve(); err != nil {
		return err
	}
	s.ready()
	return nil
}

// simpleAborted answers in a transaction that the proxy has rolled back.
func (s *session) simpleAborted(list []sqltext.Statement) {
	if len(list) == 1 && endsBlock(list[0]) {
		s.aborted = false
		_ = s.conn.writer.WriteStringFrame('C', "ROLLBACK")
	} else {
		s.writeError(filter.SeverityError, errAborted)
	}
	s.ready()
}

// simpleLocal answers a statement that needs no upstream.
func (s *session) simpleLocal(statement sqltext.Statement) {
	if statement.Kind == sqltext.Empty {
		_ = s.conn.writer.WriteFrame('I')
		s.ready()
		return
	}
	answer, err := s.answerLocal(statement, true)
	if err != nil {
		s.refuse(err)
		return
	}
	_, _ = s.conn.writer.Write(answer)
	s.ready()
}

func endsBlock(statement sqltext.Statement) bool {
	return statement.Kind == sqltext.Commit || statement.Kind == sqltext.Rollback
}

// endsTransaction reports whether the request was to end the transaction.
func endsTransaction(r *filter.Request) bool {
	for i := range r.Messages {
		for _, statement := range r.Messages[i].Statements {
			if endsBlock(statement) {
				return true
			}
		}
	}
	return false
}

// check refuses statements that pooled connections cannot serve.
func (s *session) check(list []sqltext.Statement) error {
	for _, statement := range list {
		switch {
		case statement.Kind == sqltext.Unsupported:
			return resultcode.New(resultcode.FeatureNotSupported, "%s", statement.Reason)
		case statement.Kind == sqltext.Set && s.shared.Settings.Full():
			return resultcode.New(resultcode.InvalidSetting, "too many session settings")
		case len(list) > 1 && (isOwnSetting(statement) || statement.Kind == sqltext.Deallocate):
			return resultcode.New(resultcode.FeatureNotSupported, "settings of the proxy and DEALLOCATE in a query of several statements")
		}
	}
	return nil
}

// prepareRequest fills in what the filters need to know.
func (s *session) prepareRequest() {
	r := &s.request
	var all []sqltext.Statement
	executes := false
	for i := range r.Messages {
		op := &r.Messages[i]
		if op.Kind == 'Q' || op.Kind == 'E' {
			executes = true
			if all == nil {
				all = op.Statements
			} else {
				all = append(all[:len(all):len(all)], op.Statements...)
			}
		}
	}
	if !executes {
		all = parsedStatements(r.Messages)
	}
	if s.begin != nil && s.shared.Lease.Load() == nil {
		r.Begin, r.BeginReadOnly = s.begin.Value, s.begin.ReadOnly
		all = append([]sqltext.Statement{*s.begin}, all...)
	}
	r.Write = r.EndsWithFlush || !sqltext.AllReadOnly(all)
	r.ReadsBeforeCommit, r.Counted = r.EndsWithFlush, false
	for _, statement := range all {
		switch statement.Kind {
		case sqltext.Read, sqltext.CopyOut, sqltext.Begin:
			r.ReadsBeforeCommit, r.Counted = true, executes
		case sqltext.Write, sqltext.CopyIn:
			r.Counted = executes
		case sqltext.Reset:
			if statement.Name == "" && executes {
				s.resetOwn()
			}
		}
	}
	r.Deadline = time.Now().Add(s.server.cfg.QueueTimeout)
	r.Requirement = s.need(all)
	if executes {
		r.Cost = cost(all)
	}
}

// parsedStatements returns the statements of the Parse and Describe messages.
func parsedStatements(ops []filter.Message) []sqltext.Statement {
	var all []sqltext.Statement
	for i := range ops {
		if p := ops[i].Prepared; p != nil {
			all = append(all, p.Statements...)
		}
	}
	return all
}

// cost counts the statements that spend a token.
func cost(list []sqltext.Statement) int {
	n := 0
	for _, statement := range list {
		switch statement.Kind {
		case sqltext.Read, sqltext.Write, sqltext.CopyIn, sqltext.CopyOut:
			n++
		}
	}
	return n
}

// need returns the freshness that the statements require.
func (s *session) need(list []sqltext.Statement) request.ReadRequirement {
	for _, statement := range list {
		switch statement.Kind {
		case sqltext.Set, sqltext.Reset, sqltext.Empty:
		default:
			return request.ReadRequirement{MinLogPoint: s.shared.LogPoint, Strict: !s.carries && s.acceptedAge == 0, MaxAge: s.acceptedAge}
		}
	}
	return request.ReadRequirement{}
}
