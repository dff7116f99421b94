package upstream

import (
	"context"
	"database/sql/driver"
	"fmt"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// writerTimeout bounds the wait for another write transaction, like a lock timeout.
const writerTimeout = 30 * time.Second

// transaction is a write transaction that holds the member's writer.
type transaction struct {
	member *Member
	id     string
	term   ident.Term

	// mu serialises the session's use of the writer with abandon.
	mu         sync.Mutex
	ended      bool
	statements []loggedStatement
	savepoints []savepoint
	schema     bool
}

type savepoint struct {
	name string
	// statements is the number of logged statements before the savepoint.
	statements int
}

// errMoved reports a write transaction that a fence has rolled back.
var errMoved = &sqlError{"40001", "transaction was rolled back because this member is no longer the primary"}

// errReadOnlyMember reports a write on a replica, fenced or former primary.
var errReadOnlyMember = &sqlError{"25006", "cannot execute a write on a member that is not the primary"}

// beginWrite waits for the writer and opens a write transaction.
func (m *Member) beginWrite(ctx context.Context) (*transaction, error) {
	if !m.takesWrites() {
		return nil, errReadOnlyMember
	}
	waiting, cancel := context.WithTimeout(ctx, writerTimeout)
	defer cancel()
	if err := m.writer.Acquire(waiting, 1); err != nil {
		if ctx.Err() != nil {
			return nil, errCancelled
		}
		return nil, &sqlError{"55P03", "timed out waiting for another write transaction"}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.takesWritesLocked() {
		m.writer.Release(1)
		return nil, errReadOnlyMember
	}
	if _, err := m.store.writer.exec(context.Background(), "BEGIN IMMEDIATE", nil); err != nil {
		m.writer.Release(1)
		return nil, convertError(err)
	}
	m.transactions++
	id := fmt.Sprintf("%d-%s-%d-%d", m.term, m.name, m.incarnation, m.transactions)
	t := &transaction{member: m, id: id, term: m.term}
	m.writing = t
	return t, nil
}

func (m *Member) takesWrites() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.takesWritesLocked()
}

func (m *Member) takesWritesLocked() bool {
	return m.alive && m.role == group.RolePrimary && !m.fenced && !m.handover
}

// use runs a function on the writer while the transaction is open.
func (t *transaction) use(run func(conn *sqliteConn) error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return errMoved
	}
	return run(t.member.store.writer)
}

// record adds an executed statement to the future log entry.
func (t *transaction) record(s *statement, arguments []driver.NamedValue) {
	t.statements = append(t.statements, loggedStatement{sql: s.sqlite, arguments: arguments, marker: s.marker, schema: s.schema})
	t.schema = t.schema || s.schema
}

// abandon rolls back a transaction that can no longer commit.
func (t *transaction) abandon() { t.rollback() }

// rollback ends the transaction without effect; it may be repeated.
func (t *transaction) rollback() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	_ = t.endLocked("ROLLBACK")
	if t.schema {
		t.member.catalog.reset()
	}
}

// endLocked ends the SQLite transaction and frees the writer; the caller holds
// the mutexes of the transaction and of the member.
func (t *transaction) endLocked(sql string) error {
	_, err := t.member.store.writer.exec(context.Background(), sql, nil)
	if err != nil && sql != "ROLLBACK" {
		_, _ = t.member.store.writer.exec(context.Background(), "ROLLBACK", nil)
	}
	t.ended = true
	t.member.writing = nil
	t.member.writer.Release(1)
	return err
}

// commit commits and appends the log entry, or rolls back with an error. The
// point is zero when the transaction changed nothing.
func (t *transaction) commit(ctx context.Context) (ident.LogPoint, error) {
	m := t.member
	if err := m.waitRunning(ctx); err != nil {
		t.rollback()
		return ident.LogPoint{}, errMoved
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return ident.LogPoint{}, errMoved
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive || m.role != group.RolePrimary || m.fenced || m.term != t.term {
		_ = t.endLocked("ROLLBACK")
		return ident.LogPoint{}, errMoved
	}
	if err := t.endLocked("COMMIT"); err != nil {
		return ident.LogPoint{}, convertError(err)
	}
	if t.schema {
		m.catalog.reset()
	}
	if len(t.statements) == 0 {
		return ident.LogPoint{}, nil
	}
	return m.appendLocked(t.id, t.statements), nil
}

// savepoint opens a savepoint.
func (t *transaction) savepoint(name string) error {
	return t.use(func(conn *sqliteConn) error {
		t.savepoints = append(t.savepoints, savepoint{name, len(t.statements)})
		_, err := conn.exec(context.Background(), "SAVEPOINT "+quoteName(name), nil)
		return err
	})
}

// rollbackTo undoes the statements after a savepoint, which stays open.
func (t *transaction) rollbackTo(name string) error {
	return t.use(func(conn *sqliteConn) error {
		at := t.find(name)
		if at < 0 {
			return errNoSavepoint
		}
		t.statements = t.statements[:t.savepoints[at].statements]
		t.savepoints = t.savepoints[:at+1]
		_, err := conn.exec(context.Background(), "ROLLBACK TO "+quoteName(name), nil)
		return err
	})
}

// release forgets a savepoint and those after it.
func (t *transaction) release(name string) error {
	return t.use(func(conn *sqliteConn) error {
		at := t.find(name)
		if at < 0 {
			return errNoSavepoint
		}
		t.savepoints = t.savepoints[:at]
		_, err := conn.exec(context.Background(), "RELEASE "+quoteName(name), nil)
		return err
	})
}

var errNoSavepoint = &sqlError{"3B001", "savepoint does not exist"}

func (t *transaction) find(name string) int {
	for i := len(t.savepoints) - 1; i >= 0; i-- {
		if t.savepoints[i].name == name {
			return i
		}
	}
	return -1
}
