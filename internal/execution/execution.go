// Package execution runs statements on upstreams. A VM executes for its own
// callers and for those of other VMs, so that few VMs hold the scarce connections
// of an upstream.
//
// Connections belong to one organisation, because upstreams are told the
// organisation's name when a connection opens. A pool keeps the connections of one
// upstream under this VM's part of the upstream's limit; an idle connection of
// another organisation is closed to make room.
//
// Invariants: a connection with an open transaction serves only that transaction.
// Before a caller's statement the connection has exactly the session values of the
// caller, and a prepared name that the statement uses has the caller's definition.
// A connection whose state is uncertain is closed, never reused.
package execution

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// Target names an upstream.
type Target struct {
	Group    ident.GroupName    `cbor:"1,keyasint"`
	Upstream ident.UpstreamName `cbor:"2,keyasint"`
	// Address is IP:port.
	Address string `cbor:"3,keyasint"`
}

// TargetOf returns the target of a registered upstream.
func TargetOf(u catalog.Upstream) Target {
	return Target{Group: u.Group, Upstream: u.Name, Address: u.Address}
}

// Conn is an open connection to an upstream. It is used by one goroutine at a time.
type Conn interface {
	// Exchange sends commands together and returns their replies in order. With an
	// error it returns the replies that came before.
	Exchange(ctx context.Context, commands ...statement.Command) ([]statement.Reply, error)
	// Status runs a command that is answered by the upstream's status.
	Status(ctx context.Context, command statement.Command) (statement.Status, statement.Reply, error)
	// Alive reports whether an idle connection can be used.
	Alive() bool
	Close()
}

// Dial opens a connection for an organisation.
type Dial func(ctx context.Context, target Target, organisation ident.OrganisationName) (Conn, error)

// RefusedError says that an upstream refused a connection.
type RefusedError struct{ Code statement.Code }

// Error names the code.
func (e *RefusedError) Error() string { return "upstream refused the connection: " + e.Code.String() }

// Mode says how a statement relates to transactions.
type Mode uint8

// Modes.
const (
	// Single runs one statement outside a transaction.
	Single Mode = iota + 1
	// LeaderRead runs one read that only the present primary answers: it stands inside a
	// transaction that may write, which a replaced primary refuses, and which is
	// rolled back afterwards.
	LeaderRead
	// Begin begins the caller's transaction and runs its first statement.
	Begin
	// Continue runs a further statement of an open transaction.
	Continue
)

// Prepared is a prepared statement of the caller.
type Prepared struct {
	Name string `cbor:"1,keyasint"`
	// Text is the caller's whole Prepare.
	Text string `cbor:"2,keyasint"`
}

// Request is one statement to execute.
type Request struct {
	Target Target `cbor:"1,keyasint"`
	// ConnectionLimit is the number of connections that this VM may hold to the target.
	ConnectionLimit int                    `cbor:"2,keyasint"`
	Organisation    ident.OrganisationName `cbor:"3,keyasint"`
	// Weight is the organisation's share while requests wait for connections.
	Weight int  `cbor:"4,keyasint"`
	Mode   Mode `cbor:"5,keyasint"`
	// TransactionID identifies an open transaction; unique over all VMs and restarts.
	TransactionID string `cbor:"6,keyasint,omitempty"`
	// ReadOnly says that Open begins a read-only transaction.
	ReadOnly bool `cbor:"7,keyasint,omitempty"`
	// EndsTransaction says that the statement ends the transaction when it succeeds.
	EndsTransaction bool `cbor:"8,keyasint,omitempty"`
	// Writes says that the statement changes data.
	Writes bool `cbor:"16,keyasint,omitempty"`
	// MinPosition is the point that the target's log must contain.
	MinPosition   ident.LogPoint    `cbor:"9,keyasint"`
	ID            string            `cbor:"10,keyasint"`
	Text          string            `cbor:"11,keyasint"`
	SessionValues map[string]string `cbor:"12,keyasint,omitempty"`
	Prepared      *Prepared         `cbor:"13,keyasint,omitempty"`
	// AcquireTimeout bounds the wait for a connection.
	AcquireTimeout time.Duration `cbor:"14,keyasint"`
	// Timeout bounds the statement once it is sent.
	Timeout time.Duration `cbor:"15,keyasint"`
	// DialLimit is the number of connections to the target that may be opened at once.
	DialLimit int `cbor:"17,keyasint,omitempty"`
}

// Outcome is what is known about a statement.
type Outcome uint8

// Outcomes.
const (
	// Done means that the upstream answered with success.
	Done Outcome = iota + 1
	// NotRun means that the statement had no effect. Its open transaction, if any, is
	// rolled back unless Result.Open is set.
	NotRun
	// Failed means that the upstream ran the statement and answered with an error.
	Failed
	// Unknown means that the statement was sent and not answered.
	Unknown
)

var outcomeNames = [...]string{"", "done", "not_run", "failed", "unknown"}

// String returns the name used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Reason says why a statement was not run.
type Reason uint8

// Reasons.
const (
	// NoReason belongs to other outcomes.
	NoReason Reason = iota
	// Refused means that the upstream answered with Result.Code.
	Refused
	// NoConnection means that no connection became free in time.
	NoConnection
	// Unreachable means that no connection could be opened, or that it ended before
	// the statement was sent.
	Unreachable
	// NoTransaction means that the transaction is not open here any more.
	NoTransaction
	// PeerLost means that the VM that executes could not be reached.
	PeerLost
	// Stopping means that the VM that executes is leaving.
	Stopping
)

var reasonNames = [...]string{"none", "refused", "no_connection", "unreachable", "no_transaction", "peer_lost", "stopping"}

// String returns the name used in logs.
func (r Reason) String() string { return reasonNames[r] }

// Result is the result of one statement.
type Result struct {
	Outcome Outcome        `cbor:"1,keyasint"`
	Reason  Reason         `cbor:"2,keyasint,omitempty"`
	Code    statement.Code `cbor:"3,keyasint,omitempty"`
	Detail  string         `cbor:"4,keyasint,omitempty"`
	Rows    []string       `cbor:"5,keyasint,omitempty"`
	Tag     string         `cbor:"6,keyasint,omitempty"`
	// TransactionOpen says that the transaction is still open.
	TransactionOpen bool `cbor:"7,keyasint,omitempty"`
	// Position is the end of the target's log as its readers see it.
	Position ident.LogPoint `cbor:"8,keyasint,omitempty"`
	// LeadershipVerified says that the target was proved to be the primary while it answered.
	LeadershipVerified bool `cbor:"9,keyasint,omitempty"`
	// Sent says that the statement was offered to the upstream.
	Sent bool `cbor:"10,keyasint,omitempty"`
}

// Executor executes statements, here or on another VM.
type Executor interface {
	// Execute runs one statement. It returns within the request's times.
	Execute(ctx context.Context, r Request) Result
	// Rollback rolls an open transaction back.
	Rollback(target Target, transaction string)
}
