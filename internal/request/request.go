package request

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Grant is the permission of a caller, made when its key is accepted. It holds
// the hash of the key, never the key.
type Grant struct {
	Organisation ident.OrganisationName
	Database     ident.GroupName
	KeyHash      [32]byte
	// Open is true for databases that need no key.
	Open bool
	// Weight is the organisation's share in fair queues.
	Weight int
}

// Authoriser decides whether a caller may run requests now.
type Authoriser interface {
	// Authorise checks the key of a new caller. Errors carry KeyRejected,
	// UnknownDatabase, DatabaseNotAllowed, ConfigurationNotFresh or ZoneOut.
	Authorise(organisation ident.OrganisationName, database ident.GroupName, key string) (Grant, error)
	// Check repeats the decision for a connected caller before each request. Errors
	// carry KeyWithdrawn, DatabaseNotAllowed, ConfigurationNotFresh or ZoneOut.
	Check(grant Grant) error
}

// Limiter spends the tokens of organisations.
type Limiter interface {
	// Take spends n tokens, waiting up to a short bound for tokens of other VMs. The
	// error carries RateExceeded.
	Take(ctx context.Context, organisation ident.OrganisationName, n int) error
}

// Target is an upstream chosen for a request.
type Target struct {
	Group    ident.GroupName
	Upstream ident.UpstreamName
	Zone     ident.AvailabilityZone
	// Address is the PostgreSQL address, IP:port.
	Address string
	// Term is the group's term when the target was chosen.
	Term ident.Term
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// ConnectionLimit is this VM's connection limit for the upstream.
	ConnectionLimit int
	// StatusStale says that the upstream's agent has been silent for longer than usual, so
	// that it may have failed.
	StatusStale bool
	// Primary says that the upstream was the group's primary when it was chosen.
	Primary bool
}

// ReadRequirement states what a read requires.
type ReadRequirement struct {
	// MinLogPoint is the newest point that the session has written or carries in its
	// token; zero when it has none.
	MinLogPoint ident.LogPoint
	// Strict asks for a read index, because the session may have written through
	// another VM without a token.
	Strict bool
	// MaxAge, when positive, allows replicas whose state is at most this old.
	MaxAge time.Duration
}

// Router chooses upstreams and knows positions.
type Router interface {
	// Primary returns the primary, waiting until one is known or ctx ends. The error
	// carries NoPrimary.
	Primary(ctx context.Context, database ident.GroupName) (Target, error)
	// Read returns an upstream that satisfies the need: a replica where possible,
	// else the primary. The error carries NoUpstream.
	Read(ctx context.Context, database ident.GroupName, need ReadRequirement) (Target, error)
	// Confirm waits until a replica has received the point in the term of the
	// target, so that the write survives a promotion. It fails when the term has
	// moved on or ctx ends; the outcome must then be resolved with Transaction.
	Confirm(ctx context.Context, target Target, point ident.LogPoint) error
	// Transaction asks the group's current primary for the state of a transaction.
	Transaction(ctx context.Context, database ident.GroupName, id string) (group.TransactionState, error)
	// ReportFailure tells the router that a connection to the target failed.
	ReportFailure(target Target, err error)
}
