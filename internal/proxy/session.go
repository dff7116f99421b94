package proxy

import (
	"context"
	"maps"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// Grant is the permission to run an operation, made from one configuration.
type Grant struct {
	Version ident.ConfigurationVersion
	// ProofAge is the age of the proof that the version was current.
	ProofAge     time.Duration
	Route        catalog.Route
	Organisation catalog.Organisation // zero on public routes without a known key
	Group        catalog.Group
	// IdleTransactionTimeout is the time after which an idle transaction is ended.
	IdleTransactionTimeout time.Duration
}

// Authoriser decides whether a caller may run statements now.
type Authoriser interface {
	// Authorise returns the permission of a key for a database. The error carries
	// UnknownDatabase, KeyRejected or ConfigurationNotFresh.
	Authorise(database string, key catalog.KeyHash) (Grant, error)
}

// Limiter spends the operations of organisations.
type Limiter interface {
	// Take spends one operation. The error carries RateExceeded.
	Take(ctx context.Context, organisation ident.OrganisationName) error
}

// Requirement states where a statement may run.
type Requirement struct {
	Grant *Grant
	// Primary asks for the group's primary.
	Primary bool
	// SessionPosition is the newest point that the session has committed.
	SessionPosition ident.LogPoint
	// Exclude are upstreams that have failed this statement.
	Exclude []ident.UpstreamName
}

// Choice is where a statement runs.
type Choice struct {
	Target          execution.Target
	Executor        execution.Executor
	ConnectionLimit int
	// DialLimit is the number of them that may be opened at the same time.
	DialLimit   int
	MinPosition ident.LogPoint
	// VerifyLeadership says that freshness must be proved by the upstream's leadership.
	VerifyLeadership bool
	// ExecutingVM names the VM that executes, for logs.
	ExecutingVM ident.VMName
}

// Router chooses upstreams and learns from their answers.
type Router interface {
	// Choose returns where to run; false when no upstream is known to fit.
	Choose(need Requirement) (Choice, bool)
	// Observe takes the result of a statement that was sent after sentAt on the
	// process clock. writes says that it needed a working primary: a write, or the
	// commit of a transaction that may write.
	Observe(choice Choice, writes bool, sentAt time.Duration, result execution.Result)
}

// Services are what sessions use.
type Services struct {
	Authoriser Authoriser
	Limiter    Limiter
	Router     Router
	// Now is the time since process start.
	Now func() time.Duration
	// NewTransactionID returns a name that no other transaction of any VM has.
	NewTransactionID func() string
}

// Response is the complete answer to one statement.
type Response struct {
	Rows []string
	// Tag is the upstream's completion proof; empty for statements answered here.
	Tag   string
	Err   error
	State statement.TransactionState
	Trace Trace
}

// Trace says how an answer came about.
type Trace struct {
	// Version is the configuration that the decision was based on.
	Version      ident.ConfigurationVersion
	ProofAge     time.Duration
	Organisation ident.OrganisationName
	Group        ident.GroupName
	// LatencyTarget is the latency target of the route.
	LatencyTarget time.Duration
	// Primary says that the statement was meant for the group's primary.
	Primary bool
	// Upstream and Via are the last upstream asked and the VM that executed.
	Upstream    ident.UpstreamName
	ExecutingVM ident.VMName
	Attempts    int
	// MinPosition is the point that a replica had to hold.
	MinPosition ident.LogPoint
	// LastResult is the result of the last attempt.
	LastResult execution.Result
}

// Session is the session of one caller. Its methods are called by one goroutine.
type Session struct {
	services *Services
	database string
	key      catalog.KeyHash
	values   map[string]string // replaced as a whole, because executors share it
	prepared map[string]statement.Statement
	state    statement.TransactionState
	tx       *transaction
	last     ident.LogPoint // newest commit of this session
	group    ident.GroupName
}

// transaction is a caller's open transaction.
type transaction struct {
	grant    Grant
	readOnly bool
	name     string
	choice   Choice
	started  bool // open at an upstream
	ended    bool // ended by the proxy while the caller was idle
}

// OpenSession starts a session after checking the caller. Errors are those of Authorise.
func OpenSession(services *Services, database, key string) (*Session, Trace, error) {
	s := &Session{services: services, database: database, key: catalog.HashKey(key), prepared: map[string]statement.Statement{}}
	grant, err := s.authorise()
	if err != nil {
		return nil, grantTrace(&grant), err
	}
	return s, Trace{}, nil
}

// State returns the transaction state.
func (s *Session) State() statement.TransactionState { return s.state }

// IdleTimeout returns how long the caller may stay idle in its transaction; zero
// means no limit.
func (s *Session) IdleTimeout() time.Duration {
	if s.tx == nil || !s.tx.started || s.tx.ended {
		return 0
	}
	return s.tx.grant.IdleTransactionTimeout
}

// RollbackTransaction rolls the open transaction back. The caller learns of it with its next
// statement.
func (s *Session) RollbackTransaction() {
	if s.tx != nil && s.tx.started {
		s.abandon()
		s.tx.ended = true
	}
}

// Close ends the session and rolls an open transaction back.
func (s *Session) Close() { s.abandon() }

// abandon rolls the transaction back at its upstream.
func (s *Session) abandon() {
	if s.tx != nil && s.tx.started {
		s.tx.choice.Executor.Rollback(s.tx.choice.Target, s.tx.name)
		s.tx.started = false
	}
}

// authorise checks the caller and forgets the session's position when its route has
// moved to another group.
func (s *Session) authorise() (Grant, error) {
	grant, err := s.services.Authoriser.Authorise(s.database, s.key)
	if err == nil && grant.Route.Group != s.group {
		s.group, s.last = grant.Route.Group, ident.LogPoint{}
	}
	return grant, err
}

// Handle runs one statement.
func (s *Session) Handle(ctx context.Context, st statement.Statement) Response {
	a := s.dispatch(ctx, st)
	a.State = s.state
	return a
}

func (s *Session) dispatch(ctx context.Context, st statement.Statement) Response {
	switch {
	case s.state == statement.FailedTransaction:
		return s.handleFailed(st)
	case st.Kind == statement.SetValue, st.Kind == statement.Prepare, st.Kind == statement.Deallocate:
		return s.handleSession(st)
	case s.state == statement.InTransaction:
		return s.handleInTransaction(ctx, st)
	case st.Kind == statement.Begin:
		return s.begin(ctx, st)
	case st.Kind == statement.Commit, st.Kind == statement.Rollback:
		return Response{Err: resultcode.New(resultcode.MalformedMessage, "no transaction is open")}
	}
	return s.single(ctx, st)
}

// handleFailed accepts only the end of a failed transaction.
func (s *Session) handleFailed(st statement.Statement) Response {
	switch st.Kind {
	case statement.Rollback:
		s.end()
		return Response{}
	case statement.Commit:
		s.end()
		return Response{Err: resultcode.New(resultcode.RolledBack, "the transaction had failed and is rolled back")}
	}
	return Response{Err: resultcode.New(resultcode.TransactionFailed, "the transaction has failed")}
}

// handleSession changes the session; no upstream is involved.
func (s *Session) handleSession(st statement.Statement) Response {
	switch st.Kind {
	case statement.SetValue:
		values := maps.Clone(s.values)
		if values == nil {
			values = map[string]string{}
		}
		values[st.Name] = st.Value
		s.values = values
	case statement.Prepare:
		s.prepared[st.Name] = st
	case statement.Deallocate:
		delete(s.prepared, st.Name)
	}
	return Response{}
}

func (s *Session) begin(ctx context.Context, st statement.Statement) Response {
	grant, err := s.admit(ctx)
	if err != nil {
		return Response{Err: err}.with(grantTrace(&grant))
	}
	s.tx = &transaction{grant: grant, readOnly: st.ReadOnly, name: s.services.NewTransactionID()}
	s.state = statement.InTransaction
	return Response{}
}

// admit checks the caller and spends one operation of its organisation.
func (s *Session) admit(ctx context.Context) (Grant, error) {
	grant, err := s.authorise()
	if err != nil {
		return grant, err
	}
	if grant.Organisation.Name != "" {
		err = s.services.Limiter.Take(ctx, grant.Organisation.Name)
	}
	return grant, err
}

// end closes the transaction of the session.
func (s *Session) end() {
	s.abandon()
	s.tx, s.state = nil, statement.Idle
}

// fail rolls the transaction back and leaves the session in the failed state.
func (s *Session) fail(err error) Response {
	s.abandon()
	s.state = statement.FailedTransaction
	return Response{Err: err}
}

// resolve returns the kind of data access of a statement, and the prepared
// statement that it executes.
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

// request forms the request of a statement.
func (s *Session) request(grant *Grant, st statement.Statement, prepared *execution.Prepared) execution.Request {
	return execution.Request{
		Organisation: grant.Organisation.Name, Weight: 1, ID: st.ID, Text: st.Text, SessionValues: s.values, Prepared: prepared,
		Timeout: grant.Route.StatementTimeout,
	}
}

// single runs one statement outside a transaction.
func (s *Session) single(ctx context.Context, st statement.Statement) Response {
	writes, prepared, err := s.resolve(st)
	if err != nil {
		return Response{Err: err}
	}
	grant, err := s.admit(ctx)
	if err != nil {
		return Response{Err: err}.with(grantTrace(&grant))
	}
	r := s.request(&grant, st, prepared)
	r.Mode, r.Writes = execution.Single, writes
	need := Requirement{Grant: &grant, Primary: writes || grant.Route.Consistency == catalog.Primary, SessionPosition: s.last}
	a := attempt{session: s, need: need, request: r, writes: writes, effect: writes, leader: !writes}
	result, _, err := a.run(ctx)
	if err != nil {
		return Response{Err: err, Trace: a.trace}
	}
	if writes {
		s.committed(result.Position)
	}
	return Response{Rows: result.Rows, Tag: result.Tag, Trace: a.trace}
}

// committed records the position of an acknowledged commit.
func (s *Session) committed(p ident.LogPoint) {
	if p.Compare(s.last) > 0 {
		s.last = p
	}
}
