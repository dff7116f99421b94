// Package statement holds the statements, commands and replies of a caller
// session in a form that does not depend on a wire protocol. Codecs translate
// between it and their messages.
package statement

import "github.com/rosemarywall/rosemarywall/internal/ident"

// Kind is the type of a caller's statement.
type Kind uint8

// Kinds of statements.
const (
	// Begin opens a transaction.
	Begin Kind = iota + 1
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and drops its writes.
	Rollback
	// Read reads data.
	Read
	// Write changes data.
	Write
	// SetValue sets a value of the session.
	SetValue
	// Prepare gives a statement a name in the session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
)

var kindNames = [...]string{"", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// Statement is one statement of a caller.
type Statement struct {
	// ID is the caller's identifier of the request. Upstreams receive it unchanged.
	ID string
	// Text is the statement as the caller sent it. Upstreams receive it unchanged.
	Text string
	Kind Kind
	// ReadOnly is set for a read-only Begin and for a Prepare of a read.
	ReadOnly bool
	// Name is the session value of SetValue, or the prepared statement of Prepare,
	// Execute and Deallocate.
	Name string
	// Value is the new value of SetValue.
	Value string
}

// CommandKind is the type of a command to an upstream.
type CommandKind uint8

// Kinds of commands.
const (
	// RunCommand runs the text of a caller.
	RunCommand CommandKind = iota + 1
	// BeginCommand opens a transaction that may write.
	BeginCommand
	// BeginReadOnlyCommand opens a read-only transaction.
	BeginReadOnlyCommand
	// RollbackCommand ends a transaction without effect.
	RollbackCommand
	// DiscardCommand drops the session values and prepared statements.
	DiscardCommand
	// SetCommand sets a session value.
	SetCommand
	// PrepareCommand sends the caller's text of a Prepare.
	PrepareCommand
	// DeallocateCommand drops a prepared statement.
	DeallocateCommand
	// StatusCommand asks for the replication status.
	StatusCommand
	// PauseCommand stops a replica from receiving the log, at a term above the newest.
	PauseCommand
	// ResumeCommand lets a paused replica receive again.
	ResumeCommand
	// StepDownCommand makes the primary of a lower term a replica, which confirms nothing.
	StepDownCommand
)

// Command is one command to an upstream.
type Command struct {
	Kind CommandKind
	// ID is the caller's identifier; empty for commands of the proxy itself.
	ID   string
	Text string
	// MinPosition makes RunCommand of a read, and the two begin commands, fail with
	// Lagging where the upstream's log lacks the point.
	MinPosition ident.LogPoint
	Name, Value string
	// Term belongs to PauseCommand and StepDownCommand.
	Term ident.Term
}

// Code is the result of a command.
type Code uint8

// Codes of replies. The upstream did not run the command for Busy, NoStatement,
// Lagging and ReadOnly; it did for Failed and Timeout.
const (
	OK Code = iota
	// Busy means that no slot was free and the upstream's queue was full.
	Busy
	// NoStatement means that the prepared name is unknown.
	NoStatement
	// Lagging means that the log lacks the required position.
	Lagging
	// ReadOnly means that the upstream is not, or no longer, the primary.
	ReadOnly
	// WrongUpstream means that another upstream answers at the address.
	WrongUpstream
	// TooManyConnections means that the upstream's connection limit is reached.
	TooManyConnections
	// Failed means that the statement ran and failed.
	Failed
	// Timeout means that the statement ran for too long.
	Timeout
	// Malformed means that the upstream could not read the command.
	Malformed
	// Rejected stands for every other code.
	Rejected
)

var codeNames = [...]string{"ok", "busy", "no_statement", "lagging", "read_only", "wrong_upstream",
	"too_many_connections", "failed", "timeout", "malformed", "rejected"}

// String returns the name used in logs and metrics.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unknown"
}

// NotRun reports whether the code promises that the command had no effect.
func (c Code) NotRun() bool {
	switch c {
	case Busy, NoStatement, Lagging, ReadOnly, WrongUpstream, TooManyConnections, Malformed:
		return true
	}
	return false
}

// TransactionState is the state of a session after a command.
type TransactionState uint8

// Transaction states.
const (
	Idle TransactionState = iota
	InTransaction
	// FailedTransaction accepts only the end of the transaction.
	FailedTransaction
)

// Reply is the complete answer to one command.
type Reply struct {
	Code   Code
	Detail string
	// Rows are passed on unchanged.
	Rows []string
	// Tag is the completion proof of the upstream; empty when it sent none.
	Tag   string
	State TransactionState
	// Position is the end of the log that readers of the upstream see.
	Position ident.LogPoint
}

// Status is the replication status of an upstream.
type Status struct {
	Primary bool
	// Term is the newest term that the upstream knows.
	Term ident.Term
	// PausedTerm is the term at which the upstream was stopped from receiving; zero when
	// it receives.
	PausedTerm ident.Term
	// ReceivedPosition is the end of the log that the upstream holds, applied or not.
	ReceivedPosition ident.LogPoint
}
