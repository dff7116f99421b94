package group

import (
	"context"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Role is the replication role of an upstream.
type Role string

// Roles of an upstream.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Status is the status that a member agent reports.
type Status struct {
	Group       ident.GroupName    `json:"group"`
	Upstream    ident.UpstreamName `json:"upstream"`
	Incarnation ident.Incarnation  `json:"incarnation"`
	// Term is the highest term that the member has accepted.
	Term ident.Term `json:"term"`
	Role Role       `json:"role"`
	// Received is the position of the last log entry that the member has stored.
	Received ident.LogPoint `json:"received"`
	// Applied is the log position up to which readers see the data.
	Applied ident.LogPoint `json:"applied"`
	// Fenced is set if the member rejects all writes, and log entries of lower terms,
	// until promote or follow.
	Fenced bool `json:"fenced"`
	// Primary is the upstream from which the member replicates.
	Primary ident.UpstreamName `json:"primary"`
	// LagMilliseconds is the age of the applied state as estimated by the member.
	LagMilliseconds int64 `json:"lag_ms"`
}

// TransactionState is the state of a transaction of a group.
type TransactionState string

// States of a transaction.
const (
	TransactionCommitted  TransactionState = "committed"
	TransactionAborted    TransactionState = "aborted"
	TransactionInProgress TransactionState = "in_progress"
	TransactionUnknown    TransactionState = "unknown"
)

// Agent is the client of one member agent.
type Agent interface {
	// Status returns the current status.
	Status(ctx context.Context) (Status, error)
	// Stream calls onStatus for each status line until ctx ends or the stream breaks.
	Stream(ctx context.Context, onStatus func(Status)) error
	// Fence raises the member's term on behalf of a proposer.
	Fence(ctx context.Context, term ident.Term, proposer string) (Status, error)
	// Promote makes a member that was fenced for the term its primary.
	Promote(ctx context.Context, term ident.Term, proposer string) (Status, error)
	// Follow makes the member a replica of the primary of the term.
	Follow(ctx context.Context, term ident.Term, primary ident.UpstreamName, primaryAgent string) (Status, error)
	// Handover stops accepting write transactions and waits for the open ones to end.
	Handover(ctx context.Context, term ident.Term) (Status, error)
	// Transaction returns the state of a transaction of the group.
	Transaction(ctx context.Context, id string) (TransactionState, error)
}
