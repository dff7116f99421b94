package load

import (
	"context"
	"fmt"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// Rows are not unique, so that a write that runs twice leaves two.
	createRecords = "create table load_record (session bigint, number bigint, id text); " +
		"create index load_record_session on load_record (session, number)"
	createFixed = "create table load_fixed (number bigint primary key)"
	// fixedRows is the number of rows that a scan returns.
	fixedRows = 40
)

var errNoVM = errors.New("no VM is ready")

// send runs the request and checks the form of its answer.
func (s *session) send(ctx context.Context, conn *pgconn.PgConn, r *Record) error {
	switch r.Kind {
	case Write:
		return s.write(ctx, conn, r)
	case Transaction:
		return s.transaction(ctx, conn, r)
	case Scan:
		return s.scan(ctx, conn, r)
	}
	return s.read(ctx, conn, r)
}

// exec runs one statement in the simple or the extended protocol, in turn.
func (s *session) exec(ctx context.Context, conn *pgconn.PgConn, r *Record, sql string) ([][][]byte, pgconn.CommandTag, error) {
	r.Statements++
	sql = fmt.Sprintf("%s /* request:%s */", sql, r.ID)
	if s.requests%2 == 0 {
		result := conn.ExecParams(ctx, sql, nil, nil, nil, nil).Read()
		return result.Rows, result.CommandTag, result.Err
	}
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, pgconn.CommandTag{}, err
	}
	if len(results) != 1 {
		r.Fault = fmt.Sprintf("answer has %d results instead of 1", len(results))
		return nil, pgconn.CommandTag{}, nil
	}
	return results[0].Rows, results[0].CommandTag, nil
}

func (s *session) insert(ctx context.Context, conn *pgconn.PgConn, r *Record) error {
	sql := fmt.Sprintf("insert into load_record values (%d, %d, '%s') returning id", s.number, r.Number, r.ID)
	rows, tag, err := s.exec(ctx, conn, r, sql)
	if err != nil || r.Fault != "" {
		return err
	}
	r.Rows, r.Whole = len(rows), 1
	r.Echo = cell(rows, 0, 0)
	if tag.String() != "INSERT 0 1" {
		r.Fault = fmt.Sprintf("command tag %q", tag)
	}
	return nil
}

func (s *session) write(ctx context.Context, conn *pgconn.PgConn, r *Record) error {
	return s.insert(ctx, conn, r)
}

func (s *session) read(ctx context.Context, conn *pgconn.PgConn, r *Record) error {
	rows, _, err := s.exec(ctx, conn, r, fmt.Sprintf("select '%s', coalesce(max(number), 0) from load_record where session = %d", r.ID, s.number))
	if err != nil || r.Fault != "" {
		return err
	}
	r.Rows, r.Whole = len(rows), 1
	r.Echo = cell(rows, 0, 0)
	if r.Seen, err = strconv.ParseInt(cell(rows, 0, 1), 10, 64); err != nil {
		r.Fault = fmt.Sprintf("answer holds %q instead of a number", cell(rows, 0, 1))
	}
	return nil
}

func (s *session) scan(ctx context.Context, conn *pgconn.PgConn, r *Record) error {
	rows, _, err := s.exec(ctx, conn, r, fmt.Sprintf("select '%s', number from load_fixed order by number", r.ID))
	if err != nil || r.Fault != "" {
		return err
	}
	r.Rows, r.Whole = len(rows), fixedRows
	for i := range rows {
		if r.Echo = cell(rows, i, 0); r.Echo != r.ID {
			return nil
		}
		if cell(rows, i, 1) != strconv.Itoa(i) {
			r.Fault = fmt.Sprintf("row %d holds %q", i, cell(rows, i, 1))
			return nil
		}
	}
	return nil
}

// transaction inserts a row, reads it inside the block and commits.
func (s *session) transaction(ctx context.Context, conn *pgconn.PgConn, r *Record) error {
	if err := conn.Exec(ctx, "begin").Close(); err != nil {
		return errors.Wrap(err, "begin")
	}
	r.Statements++
	if err := s.insert(ctx, conn, r); err != nil {
		return abort(ctx, conn, errors.Wrap(err, "insert"))
	}
	sql := fmt.Sprintf("select coalesce(max(number), 0) from load_record where session = %d", s.number)
	rows, _, err := s.exec(ctx, conn, r, sql)
	if err != nil {
		return abort(ctx, conn, errors.Wrap(err, "select"))
	}
	if seen := cell(rows, 0, 0); r.Fault == "" && seen != strconv.FormatInt(r.Number, 10) {
		r.Fault = fmt.Sprintf("transaction that inserted row %d reads %q", r.Number, seen)
	}
	r.Statements++
	tags, err := conn.Exec(ctx, "commit").ReadAll()
	if err != nil {
		return errors.Wrap(err, "commit")
	}
	if len(tags) != 1 || tags[0].CommandTag.String() != "COMMIT" {
		return errors.Newf("commit answered %v", tags)
	}
	return nil
}

// abort ends a transaction block after an error and returns the error. Without
// COMMIT the transaction has no effect whatever the error said.
func abort(ctx context.Context, conn *pgconn.PgConn, err error) error {
	if !conn.IsClosed() {
		_ = conn.Exec(ctx, "rollback").Close()
	}
	return err
}

func cell(rows [][][]byte, row, column int) string {
	if row >= len(rows) || column >= len(rows[row]) {
		return ""
	}
	return string(rows[row][column])
}

// asRefusal returns the ErrorResponse that err holds.
func asRefusal(err error) (*pgconn.PgError, bool) {
	var refusal *pgconn.PgError
	return refusal, errors.As(err, &refusal)
}

// codeOf reads the result code at the start of the detail of a refusal.
func codeOf(detail string) resultcode.Code {
	if len(detail) < len("RW1000") || detail[:2] != "RW" {
		return 0
	}
	n, err := strconv.ParseUint(detail[2:6], 10, 16)
	if err != nil {
		return 0
	}
	return resultcode.Code(n)
}

func splitAddress(address string) (string, uint16) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return address, 0
	}
	n, _ := strconv.ParseUint(port, 10, 16)
	return host, uint16(n)
}
