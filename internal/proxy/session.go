package proxy

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/shutdown"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// Grant is the authorisation of an operation. It is derived from a single version of the
// configuration.
type Grant struct {
	Version ident.ConfigurationVersion
	// ProofAge is the time since the version was last proved to be current.
	ProofAge     time.Duration
	Route        catalog.Route
	Organisation catalog.Organisation // zero for a public route without a known key
	Group        catalog.Group
	// IdleTransactionTimeout is how long a transaction may stay idle before it is rolled
	// back.
	IdleTransactionTimeout time.Duration
}

// Authoriser checks whether a client may run statements.
type Authoriser interface {
	// Authorise returns the grant of a key for a database. The code of its error is
	// UnknownDatabase, KeyRejected or ConfigurationNotFresh.
	Authorise(database string, key catalog.KeyHash) (Grant, error)
}

// Limiter enforces the rate limits of organisations.
type Limiter interface {
	// Take consumes one operation of an organisation's rate for a route of a priority, of
	// which 0 is the highest. The code of its error is RateExceeded.
	Take(ctx context.Context, organisation ident.OrganisationName, priority int) error
}

// Requirement states which upstreams may run a statement.
type Requirement struct {
	Grant *Grant
	// Primary requires the group's primary.
	Primary bool
	// SessionPosition is the log position of the session's last commit.
	SessionPosition ident.LogPoint
	// Exclude lists upstreams that have already failed to run this statement.
	Exclude []ident.UpstreamName
}

// Choice is the upstream that runs a statement and the VM that executes it.
type Choice struct {
	Target   execution.Target
	Executor execution.Executor
	// ConnectionLimit is the maximum number of connections of the executing VM to the
	// target.
	ConnectionLimit int
	// DialLimit is the maximum number of its concurrent connection attempts.
	DialLimit int
	// Slots is the number of statements that the target runs concurrently, and SlotShare the
	// number that the executing VM may always have in flight there.
	Slots, SlotShare int
	MinPosition      ident.LogPoint
	// VerifyLeadership is set if the target must prove that it is the primary. For a read
	// this replaces a minimum log position when none is known.
	VerifyLeadership bool
	// ExecutingVM is the name of the VM that executes the statement.
	ExecutingVM ident.VMName
	// ExecutingShare is the part of all statements on the target that this VM executes, or
	// zero if that is not known.
	ExecutingShare float64
}

// Router chooses upstreams and adapts to the results of statements.
type Router interface {
	// Choose returns an upstream that meets the requirement, or false if none is known.
	Choose(requirement Requirement) (Choice, bool)
	// Observe records the result of a statement that was sent no earlier than sentAt on
	// the process clock. writes is set if the statement needed a working primary: a
	// write, or the commit of a read-write transaction.
	Observe(choice Choice, writes bool, sentAt time.Duration, result execution.Result)
}

// Admission decides whether work is begun while the VM stops. The code of its errors is
// ShuttingDown.
type Admission interface {
	// AdmitStatement decides on a session or a single statement of a route whose statements
	// may take up to timeout.
	AdmitStatement(timeout time.Duration) error
	// AdmitTransaction decides on a transaction.
	AdmitTransaction(timeout time.Duration) error
}

// Services holds the dependencies of sessions.
type Services struct {
	Admission  Admission
	Authoriser Authoriser
	Limiter    Limiter
	Router     Router
	// Now returns the time since the start of the process.
	Now func() time.Duration
	// NewTransactionID returns an identifier that is unique across VMs and restarts.
	NewTransactionID func() string
	// Started is closed once the VM can authorise clients, or no longer lets them wait for
	// that. Nil means that it is closed.
	Started <-chan struct{}
}

// awaitStart waits until Started is closed or ctx is done.
func (s *Services) awaitStart(ctx context.Context) {
	if s.Started == nil {
		return
	}
	select {
	case <-s.Started:
	case <-ctx.Done():
	}
}

// Response is the complete response to one statement.
type Response struct {
	Rows []string
	// Tag is the upstream's completion proof. It is empty for a statement that ran
	// without an upstream.
	Tag   string
	Err   error
	State statement.TransactionState
	Trace Trace
}

// Trace describes how a response was produced, for logs and metrics.
type Trace struct {
	// Version is the configuration version that the decision was based on.
	Version       ident.ConfigurationVersion
	ProofAge      time.Duration
	Organisation  ident.OrganisationName
	Group         ident.GroupName
	LatencyTarget time.Duration
	// Primary reports whether the statement was sent to the group's primary.
	Primary bool
	// Upstream and ExecutingVM belong to the last attempt.
	Upstream    ident.UpstreamName
	ExecutingVM ident.VMName
	Attempts    int
	// MinPosition is the log position that a replica had to have reached.
	MinPosition ident.LogPoint
	LastResult  execution.Result
}

// Session is the session of one client. It is not safe for concurrent use.
type Session struct {
	services *Services
	database string
	key      catalog.KeyHash
	values   map[string]string // shared with executors, so replaced rather than modified
	prepared map[string]statement.Statement
	state    statement.TransactionState
	tx       *transaction
	commits  commitPositions
	// running is the choice of the current attempt, which other goroutines may read.
	running atomic.Pointer[Choice]
}

// transaction is an open transaction of a client.
type transaction struct {
	grant      Grant
	readOnly   bool
	id         string
	choice     Choice
	open       bool // open at an upstream
	rolledBack bool // by the proxy while the client was idle
	beganAt    time.Duration
}

// OpenSession authorises a client and starts a session. Errors are those of Authorise and
// AdmitStatement.
func OpenSession(services *Services, database, key string) (*Session, Trace, error) {
	s := &Session{services: services, database: database, key: catalog.HashKey(key), prepared: map[string]statement.Statement{}}
	grant, err := s.authorise()
	if err == nil {
		err = services.Admission.AdmitStatement(grant.Route.StatementTimeout)
	}
	if err != nil {
		return nil, grantTrace(&grant), err
	}
	return s, Trace{}, nil
}

func (s *Session) State() statement.TransactionState { return s.state }

// IdleTimeout returns how long the client may stay idle in its transaction. Zero means
// no limit.
func (s *Session) IdleTimeout() time.Duration {
	if s.tx == nil || !s.tx.open || s.tx.rolledBack {
		return 0
	}
	return s.tx.grant.IdleTransactionTimeout
}

// RollbackTransaction rolls back the open transaction. The client is informed in the
// response to its next statement.
func (s *Session) RollbackTransaction() {
	if s.state == statement.InTransaction {
		s.rollback()
		s.tx.rolledBack = true
	}
}

// abandonTransaction rolls back the open transaction of a client whose message was rejected.
func (s *Session) abandonTransaction() {
	if s.state == statement.InTransaction {
		s.rollback()
		s.state = statement.FailedTransaction
	}
}

// waiting describes the session while it waits for the next message.
func (s *Session) waiting() shutdown.Session {
	return shutdown.Session{
		InTransaction: s.state == statement.InTransaction, IdleLimit: s.IdleTimeout(), RolledBack: s.tx != nil && s.tx.rolledBack,
	}
}

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() { s.rollback() }

// rollback rolls back the transaction at its upstream.
func (s *Session) rollback() {
	if s.tx != nil && s.tx.open {
		s.tx.choice.Executor.Rollback(s.tx.choice.Target, s.tx.id)
		s.tx.open = false
	}
}

// authorise checks the client's key.
func (s *Session) authorise() (Grant, error) {
	return s.services.Authoriser.Authorise(s.database, s.key)
}

// Handle runs one statement.
func (s *Session) Handle(ctx context.Context, st statement.Statement) Response {
	defer s.running.Store(nil)
	a := s.dispatch(ctx, st)
	a.State = s.state
	return a
}

func (s *Session) dispatch(ctx context.Context, st statement.Statement) Response {
	switch {
	case s.state == statement.FailedTransaction:
		return s.handleFailed(st)
	case st.Kind == statement.SetValue, st.Kind == statement.Prepare, st.Kind == statement.Deallocate:
		return s.handleSessionStatement(st)
	case s.state == statement.InTransaction:
		return s.handleInTransaction(ctx, st)
	case st.Kind == statement.Begin:
		return s.begin(ctx, st)
	case st.Kind == statement.Commit, st.Kind == statement.Rollback:
		return Response{Err: resultcode.New(resultcode.MalformedMessage, "no transaction is open")}
	}
	return s.runSingle(ctx, st)
}

// handleFailed handles a statement in a failed transaction. Only Rollback and Commit are
// accepted.
func (s *Session) handleFailed(st statement.Statement) Response {
	switch st.Kind {
	case statement.Rollback:
		s.closeTransaction()
		return Response{}
	case statement.Commit:
		s.closeTransaction()
		return Response{Err: resultcode.New(resultcode.RolledBack, "the transaction had failed and is rolled back")}
	}
	return Response{Err: resultcode.New(resultcode.TransactionFailed, "the transaction has failed")}
}

// handleSessionStatement handles a statement that changes only the session state.
func (s *Session) handleSessionStatement(st statement.Statement) Response {
	switch st.Kind {
	case statement.SetValue:
		if err := s.setValue(st.Name, st.Value); err != nil {
			if s.state == statement.InTransaction {
				return s.fail(err)
			}
			return Response{Err: err}
		}
	case statement.Prepare:
		s.prepared[st.Name] = st
	case statement.Deallocate:
		delete(s.prepared, st.Name)
	}
	return Response{}
}

const (
	// maxValueBytes is the maximum size in bytes of the values that a session sets, with their
	// names and valueOverhead for each of them. A request to another VM holds them next to a
	// statement and a prepared statement of at most 1 MiB each, see relay.MaxFrameBytes. Without
	// the limit it would depend on the executing VM whether a statement runs.
	maxValueBytes = 3 << 19
	// valueOverhead is the maximum size in bytes of what the encoding adds to a name and a value.
	valueOverhead = 10
)

// setValue sets a value of the session. The error carries MessageTooLarge, and the values are
// then as before.
func (s *Session) setValue(name, value string) error {
	values := maps.Clone(s.values)
	if values == nil {
		values = map[string]string{}
	}
	values[name] = value
	size := 0
	for name, value := range values {
		size += len(name) + len(value) + valueOverhead
	}
	if size > maxValueBytes {
		return resultcode.New(resultcode.MessageTooLarge, "the values of the session exceed %d bytes", maxValueBytes)
	}
	s.values = values
	return nil
}

func (s *Session) begin(ctx context.Context, st statement.Statement) Response {
	grant, err := s.admit(ctx, s.services.Admission.AdmitTransaction)
	if err != nil {
		return Response{Err: err}.withTrace(grantTrace(&grant))
	}
	s.tx = &transaction{grant: grant, readOnly: st.ReadOnly, id: s.services.NewTransactionID(), beganAt: s.services.Now()}
	s.state = statement.InTransaction
	return Response{}
}

// admit authorises the client, lets begin decide on the work, and consumes one operation of
// the organisation's rate.
func (s *Session) admit(ctx context.Context, begin func(timeout time.Duration) error) (Grant, error) {
	grant, err := s.authorise()
	if err == nil {
		err = begin(grant.Route.StatementTimeout)
	}
	if err != nil {
		return grant, err
	}
	if grant.Organisation.Name != "" {
		err = s.services.Limiter.Take(ctx, grant.Organisation.Name, grant.Route.Priority)
	}
	return grant, err
}

// closeTransaction rolls back the transaction if it is open at an upstream, and returns
// the session to the idle state.
func (s *Session) closeTransaction() {
	s.rollback()
	s.tx, s.state = nil, statement.Idle
}

// fail rolls back the transaction and puts the session in the failed state.
func (s *Session) fail(err error) Response {
	s.rollback()
	s.state = statement.FailedTransaction
	return Response{Err: err}
}

// resolve reports whether a statement writes, and returns the prepared statement that it
// executes, if any.
func (s *Session) resolve(st statement.Statement) (writes bool, prepared *execution.Prepared, err error) {
	if st.Kind != statement.Execute {
		return st.Kind == statement.Write, nil, nil
	}
	p, ok := s.prepared[st.Name]
	if !ok {
		return false, nil, resultcode.New(resultcode.UnknownStatement, "no prepared statement of this name")
	}
	return !p.ReadOnly, &execution.Prepared{Name: p.Name, Text: p.Text}, nil
}

// newRequest returns the execution request for a statement.
func (s *Session) newRequest(grant *Grant, st statement.Statement, prepared *execution.Prepared) execution.Request {
	return execution.Request{
		Organisation: grant.Organisation.Name, Weight: 1, ID: st.ID, Text: st.Text, SessionValues: s.values, Prepared: prepared,
		Timeout: grant.Route.StatementTimeout, Priority: grant.Route.Priority,
	}
}

// runSingle runs a statement outside a transaction.
func (s *Session) runSingle(ctx context.Context, st statement.Statement) Response {
	writes, prepared, err := s.resolve(st)
	if err != nil {
		return Response{Err: err}
	}
	grant, err := s.admit(ctx, s.services.Admission.AdmitStatement)
	if err != nil {
		return Response{Err: err}.withTrace(grantTrace(&grant))
	}
	r := s.newRequest(&grant, st, prepared)
	r.Mode, r.Writes = execution.Single, writes
	requirement := s.requirement(&grant, writes)
	a := attempt{session: s, requirement: requirement, request: r, beganAt: s.services.Now(), writes: writes, hasEffect: writes, allowLeaderRead: !writes}
	result, _, err := a.run(ctx)
	if err != nil {
		return Response{Err: err, Trace: a.trace}
	}
	if writes {
		s.commits.record(grant.Route.Group, result.Position)
	}
	return Response{Rows: result.Rows, Tag: result.Tag, Trace: a.trace}
}

// requirement returns which upstreams may run a statement. The position is that of the group
// of the grant: the route may have moved since the session's last statement.
func (s *Session) requirement(grant *Grant, primary bool) Requirement {
	position, known := s.commits.position(grant.Route.Group)
	readsOwnWrites := grant.Route.Consistency == catalog.ReadYourWrites
	return Requirement{
		Grant: grant, SessionPosition: position,
		Primary: primary || grant.Route.Consistency == catalog.Primary || readsOwnWrites && !known,
	}
}
