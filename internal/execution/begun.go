package execution

import (
	"container/list"
	"context"
	"sync"
	"time"
)

// Begun describes a statement of a client that an upstream began or may have begun to run.
type Begun struct {
	Request Request
	// SentAt is when the statement was sent, and AnsweredAt when its reply was received or
	// the wait for it ended, both on the clock of the Local.
	SentAt, AnsweredAt time.Duration
	Result             Result
}

// begunStatements passes statements to a function once their result is known.
type begunStatements struct {
	report func(Begun)

	mu sync.Mutex
	// running holds the times at which the statements without a result were sent, in order.
	running *list.List
}

// OnBegun sets a function that is called once for each statement of a client that an
// upstream began or may have begun to run. It must be set before the first statement, and f
// must not block.
func (l *Local) OnBegun(f func(Begun)) {
	l.begun = &begunStatements{report: f, running: list.New()}
}

// OldestRunning returns when the oldest statement was sent whose result is not known yet. It
// is false if there is none, or if OnBegun was not called.
func (l *Local) OldestRunning() (sentAt time.Duration, ok bool) {
	if l.begun == nil {
		return 0, false
	}
	l.begun.mu.Lock()
	defer l.begun.mu.Unlock()
	oldest := l.begun.running.Front()
	if oldest == nil {
		return 0, false
	}
	return oldest.Value.(time.Duration), true
}

// runStatement runs the client's statement on a connection and reports it if the upstream
// may have begun it. A panic leaves it unknown whether the statement was sent.
func (l *Local) runStatement(ctx context.Context, c *pooledConn, r Request) Result {
	if l.begun == nil {
		return runStatement(ctx, c, r)
	}
	result := Result{Outcome: Unknown}
	l.begun.mu.Lock()
	sentAt := l.now()
	entry := l.begun.running.PushBack(sentAt)
	l.begun.mu.Unlock()
	defer func() {
		if result.Outcome != NotRun {
			l.begun.report(Begun{Request: r, SentAt: sentAt, AnsweredAt: l.now(), Result: result})
		}
		l.begun.mu.Lock()
		l.begun.running.Remove(entry)
		l.begun.mu.Unlock()
	}()
	result = runStatement(ctx, c, r)
	return result
}
