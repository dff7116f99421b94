// Package execution runs statements on upstreams. A VM executes statements for its
// own clients and for those of other VMs, so that the limited connections of an
// upstream are shared by a few VMs.
//
// Each connection belongs to one organisation, because the organisation's name is
// sent when the connection is opened. A pool keeps the number of connections to one
// upstream within this VM's share of the upstream's limit. It closes an idle
// connection of another organisation to make room for a new one.
//
// Invariants:
//   - A connection with an open transaction serves only that transaction.
//   - When a client's statement runs, the connection has exactly the client's session
//     values, and the prepared statement that it uses has the client's definition.
//   - A connection whose state is uncertain is closed, never reused.
package execution

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// Target identifies an upstream.
type Target struct {
	Group    ident.GroupName    `cbor:"1,keyasint"`
	Upstream ident.UpstreamName `cbor:"2,keyasint"`
	// Address has the form IP:port.
	Address string `cbor:"3,keyasint"`
}

// TargetOf returns the target of a registered upstream.
func TargetOf(u catalog.Upstream) Target {
	return Target{Group: u.Group, Upstream: u.Name, Address: u.Address}
}

// Conn is an open connection to an upstream. It is not safe for concurrent use.
type Conn interface {
	// Exchange pipelines commands and returns their replies in order. If it fails, it
	// returns the error with the replies received before.
	Exchange(ctx context.Context, commands ...statement.Command) ([]statement.Reply, error)
	// Status runs a command whose reply contains the upstream's replication status.
	Status(ctx context.Context, command statement.Command) (statement.Status, statement.Reply, error)
	// Alive reports whether an idle connection is still usable.
	Alive() bool
	Close()
}

// Dial opens a connection to target for an organisation.
type Dial func(ctx context.Context, target Target, organisation ident.OrganisationName) (Conn, error)

// RefusedError is returned by Dial when the upstream refuses the connection.
type RefusedError struct{ Code statement.Code }

// ErrWithdrawn is returned by a Conn that did not send a command, because nothing may reach
// the upstream any more.
var ErrWithdrawn = errors.New("the zone of the upstream is evacuated")

// ErrUnusable is returned by a Conn that did not send a command, because the upstream has sent
// messages over the connection that nothing had asked for.
var ErrUnusable = errors.New("the connection cannot be used any more")

// UnsendableError is returned by a Conn that did not send any of its commands, because one of them
// cannot be encoded. The connection is as before.
type UnsendableError struct{ Cause error }

// Error implements error.
func (e *UnsendableError) Error() string { return "command not sent: " + e.Cause.Error() }

// Unwrap returns the reason.
func (e *UnsendableError) Unwrap() error { return e.Cause }

// Error implements error.
func (e *RefusedError) Error() string { return "upstream refused the connection: " + e.Code.String() }

// Mode is the way in which a statement takes part in a transaction.
type Mode uint8

const (
	// Single runs a statement outside a transaction.
	Single Mode = iota + 1
	// LeaderRead runs a read that succeeds only on the current primary. It runs the
	// read in a read-write transaction, which a replaced primary refuses, and rolls the
	// transaction back.
	LeaderRead
	// Begin opens the client's transaction and runs its first statement.
	Begin
	// Continue runs a later statement of an open transaction.
	Continue
)

// Prepared is a prepared statement of a client session.
type Prepared struct {
	Name string `cbor:"1,keyasint"`
	// Text is the complete text of the client's Prepare statement.
	Text string `cbor:"2,keyasint"`
}

// Request is a request to execute one statement.
type Request struct {
	Target Target `cbor:"1,keyasint"`
	// ConnectionLimit is the maximum number of connections to the target that the
	// executing VM may hold.
	ConnectionLimit int                    `cbor:"2,keyasint"`
	Organisation    ident.OrganisationName `cbor:"3,keyasint"`
	// Weight is the organisation's weight in the fair queue for connections.
	Weight int  `cbor:"4,keyasint"`
	Mode   Mode `cbor:"5,keyasint"`
	// TransactionID identifies the transaction. It is unique across VMs and restarts.
	TransactionID string `cbor:"6,keyasint,omitempty"`
	// ReadOnly makes Begin open a read-only transaction.
	ReadOnly bool `cbor:"7,keyasint,omitempty"`
	// EndsTransaction is set for a statement that ends the transaction if it succeeds.
	EndsTransaction bool `cbor:"8,keyasint,omitempty"`
	// Writes is set for a statement that modifies data.
	Writes bool `cbor:"16,keyasint,omitempty"`
	// MinPosition is the log position that the target must have reached.
	MinPosition   ident.LogPoint    `cbor:"9,keyasint"`
	ID            string            `cbor:"10,keyasint"`
	Text          string            `cbor:"11,keyasint"`
	SessionValues map[string]string `cbor:"12,keyasint,omitempty"`
	Prepared      *Prepared         `cbor:"13,keyasint,omitempty"`
	// AcquireTimeout limits the wait for a slot and a connection.
	AcquireTimeout time.Duration `cbor:"14,keyasint"`
	// Timeout limits the wait and the execution of the statement together.
	Timeout time.Duration `cbor:"15,keyasint"`
	// DialLimit is the maximum number of concurrent connection attempts to the target.
	DialLimit int `cbor:"17,keyasint,omitempty"`
	// Priority orders the statements that wait; 0 is the highest.
	Priority int `cbor:"18,keyasint,omitempty"`
	// TargetLeft is what is left of the operation's latency target at sending; negative if
	// the target has been missed. Zero means unknown.
	TargetLeft time.Duration `cbor:"19,keyasint,omitempty"`
	// Slots is the number of statements that the target runs concurrently; zero means unknown.
	Slots int `cbor:"20,keyasint,omitempty"`
	// SlotShare is the number of statements that the executing VM may always have in flight
	// there; zero means unknown.
	SlotShare int `cbor:"21,keyasint,omitempty"`
}

// Valid reports whether the request of another VM states what to run and where. A body of another
// kind may decode as a request without these fields.
func (r Request) Valid() bool {
	inTransaction := r.Mode == Begin || r.Mode == Continue
	return r.Mode >= Single && r.Mode <= Continue && r.Target.Address != "" && r.Text != "" && inTransaction == (r.TransactionID != "")
}

// Repeatable reports whether the request may run more than once: a read outside a
// transaction of the client.
func (r Request) Repeatable() bool {
	return !r.Writes && (r.Mode == Single || r.Mode == LeaderRead)
}

// Outcome is the known result of a statement.
type Outcome uint8

const (
	// Done means that the upstream reported success.
	Done Outcome = iota + 1
	// NotRun means that the statement had no effect. An open transaction is rolled
	// back unless Result.TransactionOpen is set.
	NotRun
	// Failed means that the upstream ran the statement and returned an error.
	Failed
	// Unknown means that the statement was sent and no reply was received.
	Unknown
)

var outcomeNames = [...]string{"", "done", "not_run", "failed", "unknown"}

// String returns the name used in log entries.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprint("outcome ", uint8(o))
}

// Reason is the reason why a statement was not run.
type Reason uint8

const (
	// NoReason is set for outcomes that need no reason.
	NoReason Reason = iota
	// Refused means that the upstream refused the statement with Result.Code.
	Refused
	// NoConnection means that no connection became available in time.
	NoConnection
	// Unreachable means that no connection could be opened, or that the connection
	// failed before the statement was sent.
	Unreachable
	// NoTransaction means that the executing VM has no such open transaction.
	NoTransaction
	// PeerLost means that the executing VM could not be reached.
	PeerLost
	// Stopping means that the executing VM is shutting down.
	Stopping
	// Withdrawn means that the executing VM sends nothing to the upstream, because its zone
	// is evacuated.
	Withdrawn
	// Malformed means that the statement or its session values cannot be encoded for the
	// upstream, and TooLarge that the message would exceed the maximum size. No upstream runs
	// such a statement.
	Malformed
	TooLarge
	// InvalidAnswer means that the upstream answered with messages that cannot be read. With the
	// outcome NotRun it did so before the statement was sent.
	InvalidAnswer
	// AnswerLost means that the result of the executing VM exceeds the maximum size of a message
	// between VMs or cannot be read. It is set for the outcome Unknown.
	AnswerLost
)

var reasonNames = [...]string{"none", "refused", "no_connection", "unreachable", "no_transaction", "peer_lost", "stopping", "withdrawn", "malformed", "too_large", "invalid_answer", "answer_lost"}

// String returns the name used in log entries. A newer VM may know other reasons.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprint("reason ", uint8(r))
}

// Result is the result of a Request.
type Result struct {
	Outcome Outcome        `cbor:"1,keyasint"`
	Reason  Reason         `cbor:"2,keyasint,omitempty"`
	Code    statement.Code `cbor:"3,keyasint,omitempty"`
	Detail  string         `cbor:"4,keyasint,omitempty"`
	Rows    []string       `cbor:"5,keyasint,omitempty"`
	Tag     string         `cbor:"6,keyasint,omitempty"`
	// TransactionOpen reports whether the transaction is still open.
	TransactionOpen bool `cbor:"7,keyasint,omitempty"`
	// Position is the end of the part of the target's log that is visible to reads.
	Position ident.LogPoint `cbor:"8,keyasint,omitempty"`
	// LeadershipVerified reports whether the result proves that the target was the
	// primary when it ran the statement.
	LeadershipVerified bool `cbor:"9,keyasint,omitempty"`
	// Sent reports whether the statement, or the command that opens its transaction,
	// was sent to the upstream.
	Sent bool `cbor:"10,keyasint,omitempty"`
	// InFlight and Waiting are the recent means of the statements of the executing VM that
	// ran on the target and that waited for a connection to it.
	InFlight int `cbor:"11,keyasint,omitempty"`
	Waiting  int `cbor:"12,keyasint,omitempty"`
	// ServiceTime is the recent mean time from sending a statement to the target to its
	// response. It is zero if the executing VM has run none.
	ServiceTime time.Duration `cbor:"13,keyasint,omitempty"`
}

// Valid reports whether the result of another VM states an outcome. A body of another kind may
// decode as a result without one.
func (r Result) Valid() bool { return r.Outcome >= Done && r.Outcome <= Unknown }

// Unanswered reports whether the upstream has not answered a statement that was sent to it.
func (r Result) Unanswered() bool {
	return r.Outcome == Unknown && r.Reason != PeerLost && r.Reason != InvalidAnswer && r.Reason != AnswerLost
}

// Executor executes statements on this VM or on another one.
type Executor interface {
	// Execute runs one statement. It returns within the timeouts of the request.
	Execute(ctx context.Context, r Request) Result
	// Rollback rolls back an open transaction.
	Rollback(target Target, transaction string)
}
