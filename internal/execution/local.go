package execution

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/statement"
)

const (
	// rollbackTimeout bounds a rollback, which takes no slot of the upstream.
	rollbackTimeout = 500 * time.Millisecond
	// prepareTimeout bounds the commands before the caller's statement, which take no
	// slot either. An upstream that is silent for longer is taken for lost.
	prepareTimeout = 300 * time.Millisecond
)

// Local executes statements over this VM's own connections.
type Local struct {
	dial Dial
	now  func() time.Duration

	mu    sync.Mutex
	pools map[Target]*pool
	open  map[string]*transaction
}

// transaction is an open transaction of a caller.
type transaction struct {
	pool     *pool
	conn     *pooled
	readOnly bool
	wrote    bool
	busy     bool // a statement runs
	ended    bool // Abandon came while a statement ran
}

// NewLocal returns an executor; now is the time since process start.
func NewLocal(dial Dial, now func() time.Duration) *Local {
	return &Local{dial: dial, now: now, pools: map[Target]*pool{}, open: map[string]*transaction{}}
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
	if r.Mode == Continue {
		return l.advance(ctx, r)
	}
	p := l.pool(r)
	c, err := p.acquire(ctx, r)
	if err != nil {
		return connectFailure(err)
	}
	if r.Mode == Begin {
		return l.begin(ctx, p, c, r)
	}
	result, reusable := runSingle(ctx, c, r)
	p.release(c, reusable)
	return result
}

func connectFailure(err error) Result {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		return Result{Outcome: NotRun, Reason: Refused, Code: refused.Code}
	case errors.Is(err, errNoConnection):
		return Result{Outcome: NotRun, Reason: NoConnection}
	}
	return Result{Outcome: NotRun, Reason: Unreachable, Detail: err.Error()}
}

// runSingle runs a statement outside a transaction of the caller.
func runSingle(ctx context.Context, c *pooled, r Request) (result Result, reusable bool) {
	if failed, ok := adopt(ctx, c, r); !ok {
		return failed, false
	}
	if r.Mode == LeaderRead {
		if failed, ok := beginOn(ctx, c, r, false); !ok {
			return failed, failed.Reason == Refused
		}
	}
	result = run(ctx, c, r)
	if result.Outcome == Unknown {
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

// adopt gives the connection the session values and the prepared statement of the
// caller.
func adopt(ctx context.Context, c *pooled, r Request) (Result, bool) {
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
	return c.apply(ctx, commands, r)
}

// apply sends the commands that change the state of the connection.
func (c *pooled) apply(ctx context.Context, commands []statement.Command, r Request) (Result, bool) {
	if r.Prepared != nil && c.prepared[r.Prepared.Name] != r.Prepared.Text {
		if c.prepared[r.Prepared.Name] != "" {
			commands = append(commands, statement.Command{Kind: statement.DeallocateCommand, Name: r.Prepared.Name})
		}
		commands = append(commands, statement.Command{Kind: statement.PrepareCommand, Text: r.Prepared.Text})
	}
	if len(commands) == 0 {
		return Result{}, true
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.Timeout, prepareTimeout))
	defer cancel()
	replies, err := c.conn.Exchange(ctx, commands...)
	for _, reply := range replies {
		if reply.Code != statement.OK {
			return Result{Outcome: NotRun, Reason: Refused, Code: reply.Code, Detail: reply.Detail}, false
		}
	}
	if err != nil {
		return Result{Outcome: NotRun, Reason: Unreachable, Detail: err.Error()}, false
	}
	c.values = maps.Clone(r.SessionValues)
	if r.Prepared != nil {
		c.prepared[r.Prepared.Name] = r.Prepared.Text
	}
	return Result{}, true
}

// beginOn opens a transaction on the connection.
func beginOn(ctx context.Context, c *pooled, r Request, readOnly bool) (Result, bool) {
	command := statement.Command{Kind: statement.BeginCommand}
	if readOnly {
		command = statement.Command{Kind: statement.BeginReadOnlyCommand, MinPosition: r.MinPosition}
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.Timeout, prepareTimeout))
	defer cancel()
	replies, err := c.conn.Exchange(ctx, command)
	if err != nil {
		return Result{Outcome: NotRun, Reason: Unreachable, Detail: err.Error()}, false
	}
	if replies[0].Code != statement.OK {
		return Result{Outcome: NotRun, Reason: Refused, Code: replies[0].Code, Detail: replies[0].Detail,
			Position: replies[0].Position, Sent: true}, false
	}
	return Result{}, true
}

// run sends the caller's statement.
func run(ctx context.Context, c *pooled, r Request) Result {
	command := statement.Command{Kind: statement.RunCommand, ID: r.ID, Text: r.Text}
	if r.Mode == Single {
		command.MinPosition = r.MinPosition
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	replies, err := c.conn.Exchange(ctx, command)
	if err != nil {
		return Result{Outcome: Unknown, Detail: err.Error(), Sent: true}
	}
	reply := replies[0]
	result := Result{
		Outcome: Done, Code: reply.Code, Detail: reply.Detail, Rows: reply.Rows, Tag: reply.Tag,
		Position: reply.Position, TransactionOpen: reply.State == statement.InTransaction, Sent: true,
	}
	switch {
	case reply.Code.NotRun():
		result.Outcome, result.Reason = NotRun, Refused
	case reply.Code != statement.OK:
		result.Outcome = Failed
	}
	return result
}

// rollback ends the transaction on a connection; false when that is not certain.
func rollback(c *pooled) bool {
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	replies, err := c.conn.Exchange(ctx, statement.Command{Kind: statement.RollbackCommand})
	return err == nil && replies[0].State == statement.Idle
}

// begin opens the caller's transaction with its first statement.
func (l *Local) begin(ctx context.Context, p *pool, c *pooled, r Request) Result {
	if failed, ok := adopt(ctx, c, r); !ok {
		p.release(c, false)
		return failed
	}
	if failed, ok := beginOn(ctx, c, r, r.ReadOnly); !ok {
		p.release(c, failed.Reason == Refused)
		return failed
	}
	t := &transaction{pool: p, conn: c, readOnly: r.ReadOnly, busy: true}
	l.mu.Lock()
	l.open[r.TransactionID] = t
	l.mu.Unlock()
	return l.step(ctx, t, r)
}

// advance runs a further statement of an open transaction.
func (l *Local) advance(ctx context.Context, r Request) Result {
	l.mu.Lock()
	t, ok := l.open[r.TransactionID]
	if ok {
		ok = !t.busy && !t.ended
		t.busy = true
	}
	l.mu.Unlock()
	if !ok {
		return Result{Outcome: NotRun, Reason: NoTransaction}
	}
	if failed, ok := t.adopt(ctx, r); !ok {
		l.finish(r.TransactionID, t, false)
		return failed
	}
	return l.step(ctx, t, r)
}

// adopt applies what the caller has set or prepared since the last statement.
func (t *transaction) adopt(ctx context.Context, r Request) (Result, bool) {
	var commands []statement.Command
	for name, value := range r.SessionValues {
		if old, ok := t.conn.values[name]; !ok || old != value {
			commands = append(commands, statement.Command{Kind: statement.SetCommand, Name: name, Value: value})
		}
	}
	return t.conn.apply(ctx, commands, r)
}

// step runs the statement and ends the transaction when the upstream ended it or
// the statement failed.
func (l *Local) step(ctx context.Context, t *transaction, r Request) Result {
	result := run(ctx, t.conn, r)
	t.wrote = t.wrote || r.Writes
	// A replaced primary still commits a transaction that wrote nothing.
	result.LeadershipVerified = !t.readOnly && result.Outcome == Done && (!r.EndsTransaction || t.wrote)
	retryable := result.Outcome == NotRun && result.Code == statement.Busy && result.TransactionOpen
	if result.Outcome == Done && result.TransactionOpen || retryable {
		l.mu.Lock()
		t.busy = false
		ended := t.ended
		l.mu.Unlock()
		if ended {
			l.finish(r.TransactionID, t, rollback(t.conn))
		}
		return result
	}
	reusable := result.Outcome != Unknown
	if reusable && !(result.Outcome == Done && !result.TransactionOpen) {
		reusable = rollback(t.conn)
	}
	result.TransactionOpen = false
	l.finish(r.TransactionID, t, reusable)
	return result
}

func (l *Local) finish(name string, t *transaction, reusable bool) {
	l.mu.Lock()
	delete(l.open, name)
	l.mu.Unlock()
	t.pool.release(t.conn, reusable)
}

// Rollback implements Executor.
func (l *Local) Rollback(_ Target, name string) {
	l.mu.Lock()
	t, ok := l.open[name]
	idle := ok && !t.busy
	if ok {
		t.ended = true
		t.busy = true
	}
	l.mu.Unlock()
	if idle {
		l.finish(name, t, rollback(t.conn))
	}
}

// Drain gives the connections up to the other VMs: idle ones are closed now, the
// others when their statement or transaction ends.
func (l *Local) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pools {
		p.retire()
	}
}

// ApplyLimits closes the pools of upstreams that keep does not name, and fits the others
// to their limits.
func (l *Local) ApplyLimits(limit func(Target) (connections int, keep bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for target, p := range l.pools {
		if n, keep := limit(target); keep {
			p.shrink(n)
		} else {
			p.retire()
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

// Transactions returns the number of open transactions of callers.
func (l *Local) Transactions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
