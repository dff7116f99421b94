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

// Status is what a member agent reports.
type Status struct {
	Group       ident.GroupName    `json:"group"`
	Upstream    ident.UpstreamName `json:"upstream"`
	Incarnation ident.Incarnation  `json:"incarnation"`
	// Term is the highest term that the member has accepted.
	Term ident.Term `json:"term"`
	Role Role       `json:"role"`
	// Received is the point of the last log entry that the member holds.
	Received ident.LogPoint `json:"received"`
	// Applied is the point visible to readers.
	Applied ident.LogPoint `json:"applied"`
	// Fenced says that the member takes no write and no log entry of a lower term
	// and awaits promote or follow.
	Fenced bool `json:"fenced"`
	// Primary is the upstream that the member follows.
	Primary ident.UpstreamName `json:"primary"`
	// LagMilliseconds is the age of the applied state, as far as the member knows.
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

// Agent calls one member agent.
type Agent interface {
	// Status asks for the current status.
	Status(ctx context.Context) (Status, error)
	// Stream calls onStatus for each status line until ctx ends or the stream breaks.
	Stream(ctx context.Context, onStatus func(Status)) error
	// Fence raises the member's term on behalf of a proposer.
	Fence(ctx context.Context, term ident.Term, proposer string) (Status, error)
	// Promote makes a member that was fenced at the term its primary.
	Promote(ctx context.Context, term ident.Term, proposer string) (Status, error)
	// Follow makes the member a replica of the primary of the term.
	Follow(ctx context.Context, term ident.Term, primary ident.UpstreamName, primaryAgent string) (Status, error)
	// Handover stops new write transactions and waits for the running ones.
	Handover(ctx context.Context, term ident.Term) (Status, error)
	// Transaction returns the state of a transaction of the group.
	Transaction(ctx context.Context, id string) (TransactionState, error)
}
