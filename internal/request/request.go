package request

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Grant is the permission of a client. It is created when the client's key is accepted
// and contains the hash of the key, never the key.
type Grant struct {
	Organisation ident.OrganisationName
	Database     ident.GroupName
	KeyHash      [32]byte
	// Open reports whether the database needs no key.
	Open bool
	// Weight is the weight of the organisation in fair queuing.
	Weight int
}

// Authoriser decides whether a client may run requests now.
type Authoriser interface {
	// Authorise checks the key of a new client. Errors carry KeyRejected,
	// UnknownDatabase, DatabaseNotAllowed, ConfigurationNotFresh or ZoneOut.
	Authorise(organisation ident.OrganisationName, database ident.GroupName, key string) (Grant, error)
	// Check repeats the decision for a connected client before each request. Errors
	// carry KeyWithdrawn, DatabaseNotAllowed, ConfigurationNotFresh or ZoneOut.
	Check(grant Grant) error
}

// Limiter enforces the rate limits of organisations.
type Limiter interface {
	// Take takes n tokens and waits for a short, limited time for tokens of other VMs.
	// The error carries RateExceeded.
	Take(ctx context.Context, organisation ident.OrganisationName, n int) error
}

// Target is the upstream selected for a request.
type Target struct {
	Group    ident.GroupName
	Upstream ident.UpstreamName
	Zone     ident.AvailabilityZone
	// Address is the PostgreSQL address, IP:port.
	Address string
	// Term is the term of the group when the target was selected.
	Term ident.Term
	// Slots is the maximum number of concurrent requests on the upstream.
	Slots int
	// ConnectionLimit is the maximum number of connections of this VM to the upstream.
	ConnectionLimit int
	// StatusStale reports whether the agent of the upstream has not sent its status for
	// longer than usual, so that the upstream may have failed.
	StatusStale bool
	// Primary reports whether the upstream was the primary of the group when it was
	// selected.
	Primary bool
}

// ReadRequirement is the freshness that a read requires.
type ReadRequirement struct {
	// MinLogPoint is the newest log position that the session has written or has
	// in its token; zero if there is none.
	MinLogPoint ident.LogPoint
	// Strict requests a read index, because the session may have written through
	// another VM without a token.
	Strict bool
	// MaxAge, when positive, allows replicas whose state is at most that old.
	MaxAge time.Duration
}

// Router selects upstreams and confirms log positions.
type Router interface {
	// Primary returns the primary. It waits until one is known or ctx is done. The error
	// carries NoPrimary.
	Primary(ctx context.Context, database ident.GroupName) (Target, error)
	// Read returns an upstream that satisfies the requirement: a replica if possible,
	// otherwise the primary. The error carries NoUpstream.
	Read(ctx context.Context, database ident.GroupName, requirement ReadRequirement) (Target, error)
	// Confirm waits until a replica has received the log up to point in the term of the
	// target, so that the write survives a promotion. It fails if the term has changed
	// or ctx is done; the outcome must then be determined with Transaction.
	Confirm(ctx context.Context, target Target, point ident.LogPoint) error
	// Transaction queries the current primary of the group for the state of a
	// transaction.
	Transaction(ctx context.Context, database ident.GroupName, id string) (group.TransactionState, error)
	// ReportFailure notifies the router that a connection to the target failed.
	ReportFailure(target Target, err error)
}
