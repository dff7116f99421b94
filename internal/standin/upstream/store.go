package upstream

import (
	"context"
	"database/sql/driver"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
	"modernc.org/sqlite"
)

// cachedStatements bounds the prepared statements of one SQLite connection.
const cachedStatements = 256

// store is the SQLite database of one member: one writer and a pool of readers.
type store struct {
	directory  string
	generation int
	path       string
	writer     *sqliteConn

	mu      sync.Mutex
	readers []*sqliteConn // idle, most recently used last
}

func openStore(directory string) (*store, error) {
	s := &store{directory: directory}
	return s, s.rebuild()
}

// rebuild replaces the database by an empty one. The caller owns the writer.
func (s *store) rebuild() error {
	s.closeConns()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.path != "" {
		removeDatabase(s.path)
	}
	s.generation++
	s.path = filepath.Join(s.directory, fmt.Sprintf("data-%d.db", s.generation))
	writer, err := openConn(s.path, s.generation)
	s.writer = writer
	return err
}

func removeDatabase(path string) {
	for _, suffix := range []string{"", "-wal", "-shm"} {
		_ = os.Remove(path + suffix)
	}
}

func (s *store) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, reader := range s.readers {
		reader.close()
	}
	s.readers = nil
	if s.writer != nil {
		s.writer.close()
		s.writer = nil
	}
}

// reader takes an idle reader or opens one.
func (s *store) reader() (*sqliteConn, error) {
	s.mu.Lock()
	if n := len(s.readers); n > 0 {
		reader := s.readers[n-1]
		s.readers = s.readers[:n-1]
		s.mu.Unlock()
		return reader, nil
	}
	path, generation := s.path, s.generation
	s.mu.Unlock()
	return openConn(path, generation)
}

// release returns a reader; readers of a replaced database are closed.
func (s *store) release(reader *sqliteConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reader.generation != s.generation || s.writer == nil {
		reader.close()
		return
	}
	s.readers = append(s.readers, reader)
}

// sqliteConn is one SQLite connection with its prepared statements. It is used
// by one goroutine at a time.
type sqliteConn struct {
	conn       driver.Conn
	generation int
	statements map[string]*preparedStatement
}

type preparedStatement struct {
	driver.StmtQueryContext
	exec   driver.StmtExecContext
	closer driver.Stmt
	busy   bool
}

func openConn(path string, generation int) (*sqliteConn, error) {
	dsn := "file:" + path + "?_pragma=journal_mode(WAL)&_pragma=synchronous(OFF)&_pragma=busy_timeout(5000)&_pragma=foreign_keys(1)"
	connector, err := sqlite.NewConnector(dsn)
	if err != nil {
		return nil, errors.Wrap(err, "open SQLite database")
	}
	conn, err := connector.Connect(context.Background())
	if err != nil {
		return nil, errors.Wrap(err, "open SQLite database")
	}
	return &sqliteConn{conn: conn, generation: generation, statements: map[string]*preparedStatement{}}, nil
}

func (c *sqliteConn) close() {
	c.forget()
	_ = c.conn.Close()
}

// forget closes the idle prepared statements.
func (c *sqliteConn) forget() {
	for sql, statement := range c.statements {
		if !statement.busy {
			_ = statement.closer.Close()
		}
		delete(c.statements, sql)
	}
}

// prepare returns a cached statement that is not in use, or a new one.
func (c *sqliteConn) prepare(sql string) (*preparedStatement, error) {
	cached, ok := c.statements[sql]
	if ok && !cached.busy {
		return cached, nil
	}
	if len(c.statements) >= cachedStatements {
		c.forget()
	}
	statement, err := c.conn.Prepare(sql)
	if err != nil {
		return nil, err
	}
	prepared := &preparedStatement{
		StmtQueryContext: statement.(driver.StmtQueryContext),
		exec:             statement.(driver.StmtExecContext),
		closer:           statement,
	}
	if !ok {
		c.statements[sql] = prepared
	}
	return prepared, nil
}

// exec runs a statement and returns the number of changed rows.
func (c *sqliteConn) exec(ctx context.Context, sql string, arguments []driver.NamedValue) (int64, error) {
	statement, err := c.prepare(sql)
	if err != nil {
		return 0, err
	}
	result, err := statement.exec.ExecContext(ctx, arguments)
	if err != nil {
		return 0, err
	}
	return result.RowsAffected()
}

// query runs a statement; done must be called after the rows are closed.
func (c *sqliteConn) query(ctx context.Context, sql string, arguments []driver.NamedValue) (rows driver.Rows, done func(), err error) {
	statement, err := c.prepare(sql)
	if err != nil {
		return nil, nil, err
	}
	rows, err = statement.QueryContext(ctx, arguments)
	if err != nil {
		return nil, nil, err
	}
	statement.busy = true
	return rows, func() { c.finish(sql, statement) }, nil
}

// finish frees a statement; one that is not in the cache is closed.
func (c *sqliteConn) finish(sql string, statement *preparedStatement) {
	statement.busy = false
	if c.statements[sql] != statement {
		_ = statement.closer.Close()
	}
}

// columns describes the result of a statement without running it.
func (c *sqliteConn) columns(sql string) ([]sqlite.ColumnInfo, error) {
	describer, ok := c.conn.(interface {
		ColumnInfo(query string) ([]sqlite.ColumnInfo, error)
	})
	if !ok {
		return nil, errors.New("SQLite driver cannot describe columns")
	}
	return describer.ColumnInfo(sql)
}

// apply runs logged transactions in one SQLite transaction.
func (c *sqliteConn) apply(entries []entry) error {
	ctx := context.Background()
	if _, err := c.exec(ctx, "BEGIN IMMEDIATE", nil); err != nil {
		return err
	}
	for _, e := range entries {
		for _, statement := range e.statements {
			if _, err := c.exec(ctx, statement.sql, statement.arguments); err != nil {
				_, _ = c.exec(ctx, "ROLLBACK", nil)
				return errors.Wrapf(err, "apply entry %s", e.point)
			}
		}
	}
	_, err := c.exec(ctx, "COMMIT", nil)
	return err
}

// clientParameters builds the numbered arguments ?1, ?2 and so on.
func clientParameters(values []driver.Value) []driver.NamedValue {
	if len(values) == 0 {
		return nil
	}
	arguments := make([]driver.NamedValue, len(values))
	for i, value := range values {
		arguments[i] = driver.NamedValue{Ordinal: i + 1, Value: value}
	}
	return arguments
}
