package upstream

import (
	"context"
	"database/sql/driver"
	"io"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushThreshold is the number of buffered row bytes that triggers a flush, so
// that large results are streamed.
const flushThreshold = 64 << 10

// rowSource yields the rows of a running statement. Rows of the writer are
// gathered, so that a transaction can be abandoned while its portal is open.
type rowSource struct {
	rows     driver.Rows
	finish   func()
	gathered [][]driver.Value
	row      []driver.Value
}

func (r *rowSource) next() ([]driver.Value, error) {
	if r.rows != nil {
		err := r.rows.Next(r.row)
		return r.row, err
	}
	if len(r.gathered) == 0 {
		return nil, io.EOF
	}
	row := r.gathered[0]
	r.gathered = r.gathered[1:]
	return row, nil
}

// close releases the statement; it may be called on nil and repeated.
func (r *rowSource) close() {
	if r == nil || r.rows == nil {
		return
	}
	_ = r.rows.Close()
	r.rows = nil
	r.finish()
}

// execute runs a portal up to a number of rows, zero meaning all, and completes
// or suspends it.
func (s *session) execute(p *portal, maxRows int) error {
	if p.query.statement == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	tag, err := s.run(p, maxRows)
	if err != nil {
		p.rows.close()
		return err
	}
	if p.rows != nil {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// run executes a statement and returns its command tag. The portal keeps its
// rows when maxRows stopped it.
func (s *session) run(p *portal, maxRows int) (string, error) {
	st := p.query.statement
	if s.tx != nil && s.tx.failed && !st.endsTransaction() {
		return "", errFailed
	}
	if p.complete {
		if st.kind == kindRead {
			return "SELECT 0", nil
		}
		return "", &sqlError{"55000", "portal cannot be run again"}
	}
	ctx := s.begin()
	defer s.finish()
	if err := s.member.waitRunning(ctx); err != nil {
		return "", err
	}
	s.member.statements.Add(1)
	switch st.kind {
	case kindRead:
		return s.runRead(ctx, p, maxRows)
	case kindWrite:
		return s.runWrite(ctx, p, maxRows)
	case kindSleep:
		return s.runSleep(ctx, st)
	case kindCopyIn:
		return s.copyIn(ctx, st)
	case kindCopyOut:
		return s.copyOut(ctx, st)
	}
	return s.control(ctx, st)
}

// slot waits for one of the member's execution slots, in order of arrival.
func (s *session) slot(ctx context.Context) error {
	if s.member.slots.Acquire(ctx, 1) != nil {
		return errCancelled
	}
	return nil
}

func (s *session) runRead(ctx context.Context, p *portal, maxRows int) (string, error) {
	if err := s.slot(ctx); err != nil {
		return "", err
	}
	defer s.member.slots.Release(1)
	if p.rows == nil {
		rows, err := s.open(ctx, p)
		if err != nil {
			return "", err
		}
		p.rows = rows
		s.member.countMarker(p.query.statement)
	}
	return s.stream(ctx, p, maxRows)
}

// open starts a read on the writer inside a write transaction, else on a reader.
func (s *session) open(ctx context.Context, p *portal) (*rowSource, error) {
	if s.tx != nil && s.tx.write != nil {
		var gathered [][]driver.Value
		err := s.tx.write.use(func(conn *sqliteConn) (err error) {
			gathered, err = gather(ctx, conn, p.query.statement.sqlite, p.arguments)
			return err
		})
		return &rowSource{gathered: gathered}, err
	}
	store := s.member.store
	reader, err := store.reader()
	if err != nil {
		return nil, err
	}
	if !p.query.statement.long {
		// Cancellation by context costs the driver a goroutine per statement; rows of
		// short statements are checked in stream.
		ctx = context.Background()
	}
	rows, done, err := reader.query(ctx, p.query.statement.sqlite, p.arguments)
	if err != nil {
		store.release(reader)
		return nil, err
	}
	finish := func() {
		done()
		store.release(reader)
	}
	return &rowSource{rows: rows, finish: finish, row: make([]driver.Value, len(rows.Columns()))}, nil
}

// gather runs a statement and returns all its rows.
func gather(ctx context.Context, conn *sqliteConn, sql string, arguments []driver.NamedValue) ([][]driver.Value, error) {
	rows, done, err := conn.query(ctx, sql, arguments)
	if err != nil {
		return nil, err
	}
	defer done()
	defer rows.Close()
	var gathered [][]driver.Value
	for {
		row := make([]driver.Value, len(rows.Columns()))
		switch err := rows.Next(row); err {
		case nil:
			gathered = append(gathered, row)
		case io.EOF:
			return gathered, nil
		default:
			return nil, err
		}
	}
}

// stream sends rows until the end or the limit.
func (s *session) stream(ctx context.Context, p *portal, maxRows int) (string, error) {
	fields := p.query.description.fields
	for sent := 0; ; sent++ {
		if maxRows > 0 && sent == maxRows {
			return "", nil
		}
		row, err := p.rows.next()
		if err == nil {
			err = ctx.Err()
		}
		if err == io.EOF {
			p.rows.close()
			p.rows, p.complete = nil, true
			return "SELECT " + strconv.Itoa(sent), nil
		}
		if err != nil {
			p.rows.close()
			return "", err
		}
		if err := s.sendRow(row, fields, p.formats); err != nil {
			return "", err
		}
	}
}

func (s *session) sendRow(row []driver.Value, fields []pgproto3.FieldDescription, formats []int16) error {
	if len(row) > len(fields) {
		return &sqlError{"0A000", "cached plan must not change result type"}
	}
	s.values, s.scratch = s.values[:0], s.scratch[:0]
	for i, value := range row {
		start := len(s.scratch)
		scratch, present, err := appendValue(s.scratch, value, fields[i].DataTypeOID, formatAt(formats, i))
		if err != nil {
			return &sqlError{"22P03", err.Error()}
		}
		s.scratch = scratch
		if present {
			s.values = append(s.values, scratch[start:len(scratch):len(scratch)])
		} else {
			s.values = append(s.values, nil)
		}
	}
	s.backend.Send(&pgproto3.DataRow{Values: s.values})
	s.buffered += len(s.scratch)
	if s.buffered < flushThreshold {
		return nil
	}
	return s.flush()
}

func (s *session) runSleep(ctx context.Context, st *statement) (string, error) {
	if err := s.slot(ctx); err != nil {
		return "", err
	}
	defer s.member.slots.Release(1)
	timer := time.NewTimer(time.Duration(st.sleep * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return "", errCancelled
	}
	s.backend.Send(&pgproto3.DataRow{Values: [][]byte{{}}})
	return "SELECT 1", nil
}

func (s *session) runWrite(ctx context.Context, p *portal, maxRows int) (string, error) {
	if p.rows != nil {
		return s.stream(ctx, p, maxRows)
	}
	write, err := s.writeTransaction(ctx)
	if err != nil {
		return "", err
	}
	if err := s.slot(ctx); err != nil {
		return "", err
	}
	defer s.member.slots.Release(1)
	st := p.query.statement.withoutVolatile()
	affected, err := s.applyWrite(ctx, write, p, st)
	if err != nil {
		return "", err
	}
	s.member.countMarker(st)
	if p.rows != nil {
		if _, err := s.stream(ctx, p, maxRows); err != nil {
			return "", err
		}
	} else {
		p.complete = true
	}
	return writeTag(st, affected), nil
}

// applyWrite runs a statement on the writer and records it for the log. It
// returns the number of changed or returned rows.
func (s *session) applyWrite(ctx context.Context, write *transaction, p *portal, st *statement) (affected int64, err error) {
	err = write.use(func(conn *sqliteConn) error {
		if st.rows {
			rows, err := gather(ctx, conn, st.sqlite, p.arguments)
			if err != nil {
				return err
			}
			p.rows, affected = &rowSource{gathered: rows}, int64(len(rows))
		} else if affected, err = conn.exec(ctx, st.sqlite, p.arguments); err != nil {
			return err
		}
		if st.tag != "SELECT" {
			write.record(st, p.arguments)
		}
		if st.schema {
			s.member.catalog.reset()
		}
		return nil
	})
	return affected, err
}

func writeTag(st *statement, affected int64) string {
	switch st.tag {
	case "INSERT":
		return "INSERT 0 " + strconv.FormatInt(affected, 10)
	case "UPDATE", "DELETE", "SELECT":
		return st.tag + " " + strconv.FormatInt(affected, 10)
	}
	return st.tag
}

// writeTransaction returns the session's write transaction, opening it at the
// first write, and announces its identifier.
func (s *session) writeTransaction(ctx context.Context) (*transaction, error) {
	readOnly := s.tx != nil && s.tx.readOnly || s.tx == nil && s.settings["default_transaction_read_only"] == "on"
	if readOnly {
		return nil, errReadOnly
	}
	if s.tx != nil && s.tx.write != nil {
		return s.tx.write, nil
	}
	write, err := s.member.beginWrite(ctx)
	if err != nil {
		return nil, err
	}
	if s.tx == nil {
		s.tx = &sessionTransaction{}
	}
	s.tx.write = write
	s.backend.Send(&pgproto3.ParameterStatus{Name: "group_transaction", Value: write.id})
	s.announced = true
	for _, name := range s.tx.savepoints {
		if err := write.savepoint(name); err != nil {
			return nil, err
		}
	}
	return write, nil
}
