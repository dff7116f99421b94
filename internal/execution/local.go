package execution

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/admission"
	"github.com/rosemarywall/rosemarywall/internal/core/queue"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

const (
	// rollbackTimeout limits a rollback. A rollback occupies no slot of the upstream.
	rollbackTimeout = 500 * time.Millisecond
	// sessionSetupTimeout limits the commands that precede the client's statement. They
	// occupy no slot either, so an upstream that takes longer is treated as unreachable.
	sessionSetupTimeout = 300 * time.Millisecond
)

// Local executes statements over the connections of this VM.
type Local struct {
	dial Dial
	now  func() time.Duration
	// begun is nil if nobody counts the statements.
	begun *begunStatements

	mu sync.Mutex
	// startupEnds is the end of the time in which former connections of this fleet may still
	// be open at upstreams; zero without one.
	startupEnds  time.Duration
	pools        map[Target]*pool
	transactions map[string]*transaction
	removed      admission.Counts // of pools that are no longer used
}

// transaction is an open transaction of a client.
type transaction struct {
	pool              *pool
	conn              *pooledConn
	readOnly          bool
	wrote             bool
	begun             bool // the upstream began to run a statement
	busy              bool // a statement is running
	rollbackRequested bool // Rollback was called; the running statement closes the transaction
}

// NewLocal returns an executor that opens connections with dial. now returns the time
// since the start of the process.
func NewLocal(dial Dial, now func() time.Duration) *Local {
	return &Local{dial: dial, now: now, pools: map[Target]*pool{}, transactions: map[string]*transaction{}}
}

func (l *Local) pool(r Request) *pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pools[r.Target]
	if !ok {
		p = newPool(r.Target, r.ConnectionLimit, l.dial, l.now)
		l.pools[r.Target] = p
	}
	return p
}

// Execute implements Executor.
func (l *Local) Execute(ctx context.Context, r Request) Result {
	result := l.execute(ctx, r)
	l.mu.Lock()
	p := l.pools[r.Target]
	l.mu.Unlock()
	if p != nil {
		p.meter.addTo(&result)
	}
	return result
}

func (l *Local) execute(ctx context.Context, r Request) Result {
	if r.Mode == Continue {
		return l.continueTransaction(ctx, r)
	}
	r.ConnectionLimit = l.connectionLimit(r.ConnectionLimit)
	p := l.pool(r)
	began := l.now()
	c, s, err := p.acquire(ctx, r)
	if err != nil {
		return acquireFailure(err)
	}
	defer s.release()
	r.Timeout = max(minRunTimeout, r.Timeout-(l.now()-began))
	if r.Mode == Begin {
		return l.begin(ctx, c, s, r)
	}
	reusable := false
	defer func() { p.release(c, reusable) }()
	var result Result
	result, reusable = l.runSingle(ctx, c, s, r)
	return result
}

// minRunTimeout is the minimum time limit of a statement that has waited, so that it is not
// cut off as soon as it is sent.
const minRunTimeout = 50 * time.Millisecond

// startupPercent is the percentage of its connection limit that a VM uses while upstreams may
// still count the connections of the fleet's former processes. These have up to 60% of what
// an upstream accepts; 35 of the other 40 leaves some for status requests.
const startupPercent = 100 * 35 / 60

// LimitConnectionsUntil makes Local use a part of each connection limit until the time ends.
func (l *Local) LimitConnectionsUntil(end time.Duration) { l.startupEnds = end }

// connectionLimit returns the part of a connection limit that may be used now.
func (l *Local) connectionLimit(limit int) int {
	if l.now() >= l.startupEnds {
		return limit
	}
	return (limit*startupPercent + 99) / 100
}

func acquireFailure(err error) Result {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		return Result{Outcome: NotRun, Reason: Refused, Code: refused.Code}
	case errors.Is(err, errNoConnection):
		return Result{Outcome: NotRun, Reason: NoConnection}
	}
	return notSent(err)
}

// notSent returns the result of a statement before which a connection failed or refused a
// command.
func notSent(err error) Result {
	reason := Unreachable
	var unsendable *UnsendableError
	switch {
	case errors.Is(err, ErrWithdrawn):
		reason = Withdrawn
	case errors.Is(err, ErrUnusable):
		reason = InvalidAnswer
	case errors.As(err, &unsendable) && framing.ReasonOf(err) == framing.TooLarge:
		reason = TooLarge
	case errors.As(err, &unsendable):
		reason = Malformed
	case invalidAnswer(err):
		reason = InvalidAnswer
	}
	return Result{Outcome: NotRun, Reason: reason, Detail: err.Error()}
}

// invalidAnswer reports whether an error of a Conn means that the upstream has answered with
// messages that cannot be read.
func invalidAnswer(err error) bool {
	code := resultcode.Of(err)
	return code == resultcode.MalformedMessage || code == resultcode.MessageTooLarge
}

// errState is the error of a reply that tells another transaction state than the commands before
// it have led to. It is not the reply to its command, or not the only one.
var errState = resultcode.New(resultcode.MalformedMessage, "the upstream answered with an unexpected transaction state")

// runSingle runs a statement outside a client transaction.
func (l *Local) runSingle(ctx context.Context, c *pooledConn, s *slot, r Request) (result Result, reusable bool) {
	if failed, ok := syncSession(ctx, c, r); !ok {
		return failed, false
	}
	if r.Mode == LeaderRead {
		if failed, ok := beginTransaction(ctx, c, r, false); !ok {
			return failed, failed.Reason == Refused
		}
	}
	result = s.run(ctx, c, r, l.runStatement)
	if result.Outcome == Unknown || result.Reason == InvalidAnswer {
		return result, false
	}
	result.LeadershipVerified = r.Writes && result.Outcome == Done
	if r.Mode == LeaderRead {
		result.LeadershipVerified = result.Outcome == Done
		result.TransactionOpen = false
		return result, rollback(c)
	}
	return result, true
}

// syncSession sets the client's session values and prepared statement on the
// connection.
func syncSession(ctx context.Context, c *pooledConn, r Request) (Result, bool) {
	var commands []statement.Command
	if !maps.Equal(c.values, r.SessionValues) {
		if len(c.values) > 0 || len(c.prepared) > 0 {
			commands = append(commands, statement.Command{Kind: statement.DiscardCommand})
			clear(c.prepared)
		}
		for name, value := range r.SessionValues {
			commands = append(commands, statement.Command{Kind: statement.SetCommand, Name: name, Value: value})
		}
	}
	return c.sendSetup(ctx, commands, r, statement.Idle)
}

// sendSetup sends commands, followed by those that prepare the statement of the request,
// and records the new session state of the connection, whose transaction state is state.
func (c *pooledConn) sendSetup(ctx context.Context, commands []statement.Command, r Request, state statement.TransactionState) (Result, bool) {
	if r.Prepared != nil && c.prepared[r.Prepared.Name] != r.Prepared.Text {
		if c.prepared[r.Prepared.Name] != "" {
			commands = append(commands, statement.Command{Kind: statement.DeallocateCommand, Name: r.Prepared.Name})
		}
		commands = append(commands, statement.Command{Kind: statement.PrepareCommand, Text: r.Prepared.Text})
	}
	if len(commands) == 0 {
		return Result{}, true
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.Timeout, sessionSetupTimeout))
	defer cancel()
	replies, err := c.conn.Exchange(ctx, commands...)
	for _, reply := range replies {
		if reply.Code != statement.OK {
			return Result{Outcome: NotRun, Reason: Refused, Code: reply.Code, Detail: reply.Detail}, false
		}
		if reply.State != state {
			return notSent(errState), false
		}
	}
	if err != nil {
		return notSent(err), false
	}
	c.values = maps.Clone(r.SessionValues)
	if r.Prepared != nil {
		c.prepared[r.Prepared.Name] = r.Prepared.Text
	}
	return Result{}, true
}

// beginTransaction opens a transaction on a connection.
func beginTransaction(ctx context.Context, c *pooledConn, r Request, readOnly bool) (Result, bool) {
	command := statement.Command{Kind: statement.BeginCommand}
	if readOnly {
		command = statement.Command{Kind: statement.BeginReadOnlyCommand, MinPosition: r.MinPosition}
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.Timeout, sessionSetupTimeout))
	defer cancel()
	replies, err := c.conn.Exchange(ctx, command)
	if err != nil {
		return notSent(err), false
	}
	if replies[0].Code != statement.OK {
		return Result{Outcome: NotRun, Reason: Refused, Code: replies[0].Code, Detail: replies[0].Detail,
			Position: replies[0].Position, Sent: true}, false
	}
	if replies[0].State != statement.InTransaction {
		return notSent(errState), false
	}
	return Result{}, true
}

// runStatement runs the client's statement on a connection.
func runStatement(ctx context.Context, c *pooledConn, r Request) Result {
	command := statement.Command{Kind: statement.RunCommand, ID: r.ID, Text: r.Text}
	if r.Mode == Single {
		command.MinPosition = r.MinPosition
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	ran := true
	sentAt := c.meter.begin()
	defer func() { c.meter.end(sentAt, ran) }()
	replies, err := c.conn.Exchange(ctx, command)
	var unsendable *UnsendableError
	if errors.IsAny(err, ErrWithdrawn, ErrUnusable) || errors.As(err, &unsendable) {
		ran = false
		return notSent(err)
	}
	if err != nil {
		result := Result{Outcome: Unknown, Detail: err.Error(), Sent: true}
		if invalidAnswer(err) {
			result.Reason = InvalidAnswer
		}
		return result
	}
	reply := replies[0]
	if reply.Code == statement.OK && reply.State != r.stateAfter() {
		return Result{Outcome: Unknown, Reason: InvalidAnswer, Detail: errState.Error(), Sent: true}
	}
	result := Result{
		Outcome: Done, Code: reply.Code, Detail: reply.Detail, Rows: reply.Rows, Tag: reply.Tag,
		Position: reply.Position, TransactionOpen: reply.State == statement.InTransaction, Sent: true,
	}
	switch {
	case reply.Code.NotRun():
		result.Outcome, result.Reason = NotRun, Refused
		ran = false
	case reply.Code != statement.OK:
		result.Outcome = Failed
	}
	return result
}

// stateAfter returns the transaction state after the success of a request's statement.
func (r Request) stateAfter() statement.TransactionState {
	if r.Mode == Single || r.EndsTransaction {
		return statement.Idle
	}
	return statement.InTransaction
}

// rollback rolls back the transaction on a connection and reports whether the upstream
// confirmed it.
func rollback(c *pooledConn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	replies, err := c.conn.Exchange(ctx, statement.Command{Kind: statement.RollbackCommand})
	return err == nil && replies[0].State == statement.Idle
}

// begin opens a client's transaction and runs its first statement.
func (l *Local) begin(ctx context.Context, c *pooledConn, s *slot, r Request) Result {
	p := s.pool
	opened, reusable := false, false
	defer func() {
		if !opened {
			p.release(c, reusable)
		}
	}()
	if failed, ok := syncSession(ctx, c, r); !ok {
		return failed
	}
	if failed, ok := beginTransaction(ctx, c, r, r.ReadOnly); !ok {
		reusable = failed.Reason == Refused
		return failed
	}
	opened = true
	t := &transaction{pool: p, conn: c, readOnly: r.ReadOnly, busy: true}
	l.mu.Lock()
	l.transactions[r.TransactionID] = t
	l.mu.Unlock()
	return l.runInTransaction(ctx, t, s, r)
}

// continueTransaction runs a later statement of an open transaction.
func (l *Local) continueTransaction(ctx context.Context, r Request) Result {
	l.mu.Lock()
	t, ok := l.transactions[r.TransactionID]
	if ok {
		ok = !t.busy && !t.rollbackRequested
		t.busy = true
	}
	l.mu.Unlock()
	if !ok {
		return Result{Outcome: NotRun, Reason: NoTransaction}
	}
	began := l.now()
	g, err := t.pool.wait(ctx, r, queue.Continuation, began+r.AcquireTimeout)
	if err != nil {
		return l.endWithoutSlot(t, r)
	}
	s := g.slot
	defer s.release()
	r.Timeout = max(minRunTimeout, r.Timeout-(l.now()-began))
	return l.runInTransaction(ctx, t, s, r)
}

// endWithoutSlot returns the result of a statement of a transaction for which no slot became
// free in time. The transaction stays open unless its rollback was requested meanwhile.
func (l *Local) endWithoutSlot(t *transaction, r Request) Result {
	open := l.endStatement(t)
	if !open {
		l.closeTransaction(r.TransactionID, t, rollback(t.conn))
	}
	return Result{Outcome: NotRun, Reason: NoConnection, TransactionOpen: open}
}

// syncSession applies what the client has set or prepared since its last statement.
func (t *transaction) syncSession(ctx context.Context, r Request) (Result, bool) {
	var commands []statement.Command
	for name, value := range r.SessionValues {
		if old, ok := t.conn.values[name]; !ok || old != value {
			commands = append(commands, statement.Command{Kind: statement.SetCommand, Name: name, Value: value})
		}
	}
	return t.conn.sendSetup(ctx, commands, r, statement.InTransaction)
}

// runInTransaction runs a statement. It closes the transaction if the upstream ended it,
// the statement failed or a panic left its state uncertain.
func (l *Local) runInTransaction(ctx context.Context, t *transaction, s *slot, r Request) Result {
	open, reusable := false, false
	defer func() {
		if !open {
			l.closeTransaction(r.TransactionID, t, reusable)
		}
	}()
	if r.Mode == Continue {
		if failed, ok := t.syncSession(ctx, r); !ok {
			return failed
		}
	}
	if !t.begun {
		r.Mode = Begin // also after a first statement that the upstream refused to run
	}
	result := s.run(ctx, t.conn, r, l.runStatement)
	t.begun = t.begun || result.Outcome != NotRun
	t.wrote = t.wrote || r.Writes
	// A commit without writes doesn't verify leadership, because a replaced primary
	// accepts it.
	result.LeadershipVerified = !t.readOnly && result.Outcome == Done && (!r.EndsTransaction || t.wrote)
	retryable := result.Outcome == NotRun && result.Code == statement.Busy && result.TransactionOpen
	if result.Outcome == Done && result.TransactionOpen || retryable {
		if open = l.endStatement(t); !open {
			reusable = rollback(t.conn)
		}
		return result
	}
	reusable = result.Outcome != Unknown
	if reusable && !(result.Outcome == Done && !result.TransactionOpen) {
		reusable = rollback(t.conn)
	}
	result.TransactionOpen = false
	return result
}

// endStatement allows the next statement of a transaction. It returns false if the
// transaction is to be rolled back.
func (l *Local) endStatement(t *transaction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.busy = false
	return !t.rollbackRequested
}

func (l *Local) closeTransaction(id string, t *transaction, reusable bool) {
	l.mu.Lock()
	delete(l.transactions, id)
	l.mu.Unlock()
	t.pool.release(t.conn, reusable)
}

// Rollback implements Executor.
func (l *Local) Rollback(_ Target, id string) {
	l.mu.Lock()
	t, ok := l.transactions[id]
	idle := ok && !t.busy
	if ok {
		t.rollbackRequested = true
		t.busy = true
	}
	l.mu.Unlock()
	if idle {
		l.closeTransaction(id, t, rollback(t.conn))
	}
}

// Drain frees the connections for other VMs. It closes the idle ones at once and the
// others when their statement or transaction ends.
func (l *Local) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pools {
		p.drain()
	}
}

// ApplyLimits sets the connection limit of each pool. A pool for which limit returns
// false is drained and removed.
func (l *Local) ApplyLimits(limit func(Target) (connections int, keep bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for target, p := range l.pools {
		if n, keep := limit(target); keep {
			p.setLimit(l.connectionLimit(n))
		} else {
			p.drain()
			l.removed.Add(p.admissionCounts())
			delete(l.pools, target)
		}
	}
}

// Connections returns the number of open connections to upstreams.
func (l *Local) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.pools {
		n += p.connections()
	}
	return n
}

// AdmissionCounts returns the decisions on statements that had to wait for a slot or a
// connection.
func (l *Local) AdmissionCounts() admission.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.removed
	for _, p := range l.pools {
		counts.Add(p.admissionCounts())
	}
	return counts
}

// Transactions returns the number of open client transactions.
func (l *Local) Transactions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.transactions)
}
