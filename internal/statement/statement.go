// Package statement defines the statements of client sessions and the commands to
// upstreams and their replies, independent of a wire protocol. Codecs translate them to
// and from protocol messages.
package statement

import "github.com/rosemarywall/rosemarywall/internal/ident"

// Kind is the type of a client's statement.
type Kind uint8

const (
	// Begin opens a transaction.
	Begin Kind = iota + 1
	// Commit commits the transaction.
	Commit
	// Rollback rolls back the transaction.
	Rollback
	// Read is a statement that only reads data.
	Read
	// Write is a statement that modifies data.
	Write
	// SetValue sets a session value.
	SetValue
	// Prepare creates a prepared statement in the session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate removes a prepared statement.
	Deallocate
)

var kindNames = [...]string{"", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}

// String returns the name used in log entries.
func (k Kind) String() string { return kindNames[k] }

// Statement is a statement sent by a client.
type Statement struct {
	// ID is the request identifier set by the client. It is forwarded to upstreams
	// unchanged.
	ID string
	// Text is the statement as sent by the client. It is forwarded to upstreams
	// unchanged.
	Text string
	Kind Kind
	// ReadOnly is set for a read-only Begin and for a Prepare of a read.
	ReadOnly bool
	// Name is the name of the session value for SetValue, and of the prepared statement
	// for Prepare, Execute and Deallocate.
	Name string
	// Value is the new session value for SetValue.
	Value string
}

// CommandKind is the type of a command to an upstream.
type CommandKind uint8

const (
	// RunCommand runs the text of a client's statement.
	RunCommand CommandKind = iota + 1
	// BeginCommand opens a read-write transaction.
	BeginCommand
	// BeginReadOnlyCommand opens a read-only transaction.
	BeginReadOnlyCommand
	// RollbackCommand rolls back the transaction.
	RollbackCommand
	// DiscardCommand resets the session values and removes the prepared statements.
	DiscardCommand
	// SetCommand sets a session value.
	SetCommand
	// PrepareCommand runs the text of a client's Prepare statement.
	PrepareCommand
	// DeallocateCommand removes a prepared statement.
	DeallocateCommand
	// StatusCommand requests the replication status.
	StatusCommand
	// PauseCommand stops a replica from receiving the log. Its term must be above the
	// newest term.
	PauseCommand
	// ResumeCommand lets a paused replica receive the log again.
	ResumeCommand
	// StepDownCommand demotes the primary of a lower term to a replica, which
	// acknowledges no writes.
	StepDownCommand
)

// Command is a command to an upstream.
type Command struct {
	Kind CommandKind
	// ID is the request identifier set by the client. It is empty for commands that the
	// proxy itself issues.
	ID   string
	Text string
	// MinPosition makes a RunCommand of a read, and both begin commands, fail with
	// Lagging if the upstream's log has not reached the position.
	MinPosition ident.LogPoint
	Name, Value string
	// Term is the term of a PauseCommand or StepDownCommand.
	Term ident.Term
}

// Code is the result code of a command.
type Code uint8

// The upstream didn't run the command if the code is Busy, NoStatement, Lagging or
// ReadOnly. It did run it if the code is Failed or Timeout.
const (
	OK Code = iota
	// Busy means that all slots were in use and the upstream's queue was full.
	Busy
	// NoStatement means that the prepared statement doesn't exist.
	NoStatement
	// Lagging means that the log hasn't reached the required position.
	Lagging
	// ReadOnly means that the upstream isn't the primary, or has been replaced as the
	// primary.
	ReadOnly
	// WrongUpstream means that a different upstream responds at the address.
	WrongUpstream
	// TooManyConnections means that the upstream's connection limit is reached.
	TooManyConnections
	// Failed means that the statement ran and failed.
	Failed
	// Timeout means that the statement exceeded its time limit.
	Timeout
	// Malformed means that the upstream couldn't parse the command.
	Malformed
	// Rejected represents every code not listed above.
	Rejected
)

var codeNames = [...]string{"ok", "busy", "no_statement", "lagging", "read_only", "wrong_upstream",
	"too_many_connections", "failed", "timeout", "malformed", "rejected"}

// String returns the name used in log entries and metrics.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unknown"
}

// NotRun reports whether the code guarantees that the command had no effect.
func (c Code) NotRun() bool {
	switch c {
	case Busy, NoStatement, Lagging, ReadOnly, WrongUpstream, TooManyConnections, Malformed:
		return true
	}
	return false
}

// TransactionState is the state of a session after a command.
type TransactionState uint8

const (
	Idle TransactionState = iota
	InTransaction
	// FailedTransaction is the state after a failed statement. Only Commit and Rollback
	// are accepted.
	FailedTransaction
)

var stateNames = [...]string{"idle", "in_transaction", "failed_transaction"}

// String returns the name used in log entries.
func (s TransactionState) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Reply is the complete reply to a command.
type Reply struct {
	Code   Code
	Detail string
	// Rows are forwarded unchanged.
	Rows []string
	// Tag is the upstream's completion proof. It is empty if the upstream sent none.
	Tag   string
	State TransactionState
	// Position is the end of the part of the upstream's log that is visible to reads.
	Position ident.LogPoint
}

// Status is the replication status of an upstream.
type Status struct {
	Primary bool
	// Term is the highest term known to the upstream.
	Term ident.Term
	// PausedTerm is the term of the PauseCommand that stopped the upstream from receiving
	// the log. It is zero if the upstream isn't paused.
	PausedTerm ident.Term
	// ReceivedPosition is the end of the upstream's log, including entries that are not
	// yet applied.
	ReceivedPosition ident.LogPoint
}
