package filter

import (
	"context"
	"time"
	"unique"

	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
)

// Handler serves requests. The context bounds waiting before the request is sent;
// it does not bound the running statement.
type Handler interface {
	Serve(ctx context.Context, r *Request) error
}

// PreparedStatement is a prepared statement of a caller.
type PreparedStatement struct {
	// Definition is the body of the Parse message after the statement name: the
	// text and the parameter types. Equal definitions of all callers share memory.
	Definition unique.Handle[string]
	Key        upstream.StatementKey
	Statements []sqltext.Statement
}

// Message is one message of a request.
type Message struct {
	// Kind is the message type: Q, P, B, D, E, C, S or H.
	Kind byte
	// Frame is the whole message as the caller sent it.
	Frame []byte
	// Prepared is the statement that P, B and D of a statement refer to, and the
	// statement whose portal E runs.
	Prepared *PreparedStatement
	// Name is the name of the statement that P defines.
	Name string
	// Portal is the portal name of B, and Rest what follows the names.
	Portal []byte
	Rest   []byte
	// Statements are the statements that Q or E runs.
	Statements []sqltext.Statement
	// LocalResponse holds the complete answer when the proxy itself answers the message.
	LocalResponse []byte
	// IsLocal says that the proxy itself answers, possibly with nothing.
	IsLocal bool
}

// Request is a simple query, an extended batch up to Sync, or a part of a batch
// that ends with Flush.
type Request struct {
	Session  *Session
	Messages []Message
	// Begin is the text of a BEGIN that the caller has sent before and that is sent
	// with this request; empty when there is none.
	Begin string
	// BeginReadOnly says that Begin starts a read-only transaction.
	BeginReadOnly bool
	// Write says that the request needs the primary.
	Write bool
	// EndsWithFlush says that the request ends with Flush, so that more of its batch
	// follows.
	EndsWithFlush bool
	// ReadsBeforeCommit says that a Write request shows the caller data before its commit, so
	// that the primary must be proved to satisfy Need.
	ReadsBeforeCommit bool
	// Counted says that the request counts as a read or a write.
	Counted bool
	// Cost is the number of statements that count against the rate.
	Cost int
	// Requirement states the required freshness of a read.
	Requirement request.ReadRequirement
	// Deadline is the time at which waiting for an upstream ends.
	Deadline time.Time
	// Target is the chosen upstream.
	Target request.Target

	// Status is the transaction status of the last ReadyForQuery: I, T or E. It
	// is set when Serve returns nil.
	Status byte
	// Failed says that the upstream answered with an ErrorResponse, which was
	// passed on.
	Failed bool
	// LogPointAdvanced says that the session point advanced.
	LogPointAdvanced bool
}

// Reset prepares r for the next request of the session, keeping its memory.
func (r *Request) Reset(s *Session) {
	ops := r.Messages[:0]
	clear(r.Messages)
	*r = Request{Session: s, Messages: ops}
}
