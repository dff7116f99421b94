package frontend

import "github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"

// A BEGIN outside a transaction block is answered at once and sent to the upstream
// together with the first statement of the block. That saves an exchange, leaves
// the slot to others while the caller prepares its statement, and lets the request
// move to another upstream as long as the caller has seen nothing of it.

// inBlock reports whether the caller is inside a transaction block that works.
func (s *session) inBlock() bool { return s.shared.InTransaction || s.begin != nil }

// deferrable reports whether the statement is a BEGIN that can be sent later.
func (s *session) deferrable(statement sqltext.Statement) bool {
	return statement.Kind == sqltext.Begin && statement.Value != "" && !s.inBlock() && !s.aborted &&
		s.shared.Lease.Load() == nil && !s.batch.remote
}

// endsDeferred reports whether the statement ends a block that no upstream knows.
func (s *session) endsDeferred(statement sqltext.Statement) bool {
	return s.begin != nil && endsBlock(statement) && !statement.Chain && !s.batch.remote
}

// answerBlock carries out a statement that deferrable or endsDeferred accepts. A
// block begins only if the caller may run requests now.
func (s *session) answerBlock(statement sqltext.Statement) ([]byte, error) {
	switch statement.Kind {
	case sqltext.Begin:
		if err := s.server.cfg.Authoriser.Check(s.shared.Grant); err != nil {
			return nil, err
		}
		s.begin = &statement
		return tagFrame("BEGIN"), nil
	case sqltext.Commit:
		s.begin = nil
		return tagFrame("COMMIT"), nil
	}
	s.begin = nil
	return tagFrame("ROLLBACK"), nil
}
