package filter

import (
	"context"
	"time"
	"unique"

	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
)

// Handler serves requests. The context limits the wait before a request is sent to an
// upstream; it does not limit the execution of the statement.
type Handler interface {
	Serve(ctx context.Context, r *Request) error
}

// PreparedStatement is a prepared statement of a client.
type PreparedStatement struct {
	// Definition is the body of the Parse message after the statement name: the query
	// text and the parameter types. Equal definitions of all clients share memory.
	Definition unique.Handle[string]
	Key        upstream.StatementKey
	Statements []sqltext.Statement
}

// Message is one protocol message of a request.
type Message struct {
	// Kind is the message type: Q, P, B, D, E, C, S or H.
	Kind byte
	// Frame is the complete message as the client sent it.
	Frame []byte
	// Prepared is the statement to which P, B and a D of a statement refer, or the
	// statement of the portal that E executes.
	Prepared *PreparedStatement
	// Name is the name of the statement that P defines.
	Name string
	// Portal is the portal name of B. Rest is the part of B that follows the portal and
	// statement names.
	Portal []byte
	Rest   []byte
	// Statements are the statements that Q or E executes.
	Statements []sqltext.Statement
	// LocalResponse is the complete response if the proxy itself responds to the
	// message.
	LocalResponse []byte
	// IsLocal reports whether the proxy itself responds, possibly with no message at
	// all.
	IsLocal bool
}

// Request is a simple query, an extended-protocol batch up to Sync, or the messages of
// a batch up to a Flush.
type Request struct {
	Session  *Session
	Messages []Message
	// Begin is the text of a BEGIN that the client sent earlier and that the proxy
	// sends with this request; empty if there is none.
	Begin string
	// BeginReadOnly reports whether Begin starts a read-only transaction.
	BeginReadOnly bool
	// Write reports whether the request needs the primary.
	Write bool
	// EndsWithFlush reports whether the request ends with Flush, so that more messages
	// of its batch follow.
	EndsWithFlush bool
	// ReadsBeforeCommit reports whether a Write request returns data to the client
	// before its commit, so that the primary must be verified to satisfy Requirement.
	ReadsBeforeCommit bool
	// Counted reports whether the request is counted as a read or a write.
	Counted bool
	// Cost is the number of statements that count against the organisation's rate.
	Cost int
	// Requirement is the required freshness of a read.
	Requirement request.ReadRequirement
	// Deadline is the time at which the wait for an upstream ends.
	Deadline time.Time
	// Target is the selected upstream.
	Target request.Target

	// Status is the transaction status of the last ReadyForQuery: I, T or E. It
	// is set when Serve returns nil.
	Status byte
	// Failed reports whether the upstream sent an ErrorResponse, which was forwarded
	// to the client.
	Failed bool
	// LogPointAdvanced reports whether Session.LogPoint advanced.
	LogPointAdvanced bool
}

// Reset prepares r for the next request of the session and keeps its allocated memory.
func (r *Request) Reset(s *Session) {
	messages := r.Messages[:0]
	clear(r.Messages)
	*r = Request{Session: s, Messages: messages}
}
