package frontend

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"gotest.tools/v3/assert"
)

// once returns a hook that closes the connection at the first statement that
// begins with the prefix.
func once(prefix string) func(string) bool {
	var done atomic.Bool
	return func(sql string) bool { return !strings.HasPrefix(sql, prefix) || done.Swap(true) }
}

// wantCode asserts SQLSTATE and result code of an error, and that the code is in
// the message and the detail.
func wantCode(t *testing.T, err error, state, code string) {
	t.Helper()
	var pg *pgconn.PgError
	assert.Assert(t, errors.As(err, &pg), "%v", err)
	assert.Equal(t, pg.Code, state, pg.Message)
	assert.Assert(t, strings.HasPrefix(pg.Message, code+" "), pg.Message)
	assert.Assert(t, strings.HasPrefix(pg.Detail, code+" "), pg.Detail)
}

func states(list ...group.TransactionState) func(string) (group.TransactionState, error) {
	return func(string) (group.TransactionState, error) {
		s := list[0]
		if len(list) > 1 {
			list = list[1:]
		}
		return s, nil
	}
}

// nextTerm makes the group have a newer primary, which every later question sees.
func (r *rig) nextTerm() {
	r.control.set(func() { r.control.primary.Term++ })
}

// Guards against writes that run twice, false acknowledgements and false "not run"
// answers when the upstream connection breaks around a write.
func TestBrokenConnectionAroundWrites(t *testing.T) {
	type result struct{ state, code string }
	ok := result{}
	cases := []struct {
		name          string
		before, after string // statement before or after which the connection breaks
		plain, quiet  bool
		promoted      bool
		answer        []group.TransactionState
		sql           string
		want          result
		inserts       int
	}{
		{name: "before a wrapped write", before: "INSERT", want: ok, inserts: 2},
		{name: "before a wrapped commit, aborted", before: "COMMIT", answer: []group.TransactionState{"in_progress", "aborted"}, want: result{"40001", "RW1013"}, inserts: 1},
		{name: "after a wrapped commit, committed", after: "COMMIT", promoted: true, answer: []group.TransactionState{"committed"}, want: ok, inserts: 1},
		{name: "after a wrapped commit, unknown", after: "COMMIT", answer: []group.TransactionState{"unknown"}, want: result{"08007", "RW1012"}, inserts: 1},
		{name: "plain write that was sent", before: "INSERT", plain: true, want: result{"08007", "RW1012"}, inserts: 1},
		{name: "several statements that commit", after: "INSERT", sql: "BEGIN; INSERT a; COMMIT", want: result{"08007", "RW1012"}, inserts: 1},
		{name: "wrapped without identifier", after: "COMMIT", quiet: true, want: result{"08007", "RW1012"}, inserts: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, false, func(cfg *Config) { cfg.PlainWrites, cfg.ConfirmTimeout = c.plain, testTimeout })
			r.primary.quiet = c.quiet
			conn := r.connect("default_query_exec_mode=simple_protocol")
			assert.Equal(t, queryText(t, conn, "SELECT 1"), "1")
			hook := once(c.before + c.after)
			broken := func(sql string) bool {
				alive := hook(sql)
				if !alive && c.promoted {
					r.nextTerm()
				}
				return alive
			}
			if c.answer != nil {
				r.control.set(func() { r.control.transaction = states(c.answer...) })
			}
			if c.before != "" {
				r.primary.setHook(broken)
			} else {
				r.primary.setAfter(broken)
			}
			sql := c.sql
			if sql == "" {
				sql = "INSERT a"
			}
			tag, err := conn.Exec(t.Context(), sql)
			if c.want == ok {
				assert.NilError(t, err)
				assert.Equal(t, tag.String(), "INSERT 0 1")
			} else {
				wantCode(t, err, c.want.state, c.want.code)
			}
			assert.Equal(t, r.primary.count("INSERT"), c.inserts)
			assert.Equal(t, queryText(t, conn, "SELECT 2"), "2")
		})
	}
}

// Guards against a wrong answer to COMMIT, and a session that is unusable after
// its transaction was lost.
func TestBrokenConnectionInTransaction(t *testing.T) {
	for _, mode := range []string{"simple_protocol", "cache_statement"} {
		r := newRig(t, false, nil)
		conn := r.connect("default_query_exec_mode=" + mode)
		ctx := t.Context()
		tx, err := conn.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT a")
		assert.NilError(t, err)
		r.primary.setHook(once("INSERT b"))
		_, err = tx.Exec(ctx, "INSERT b")
		wantCode(t, err, "40001", "RW1013")
		_, err = tx.Exec(ctx, "SELECT 1")
		assert.ErrorContains(t, err, "25P02")
		assert.NilError(t, tx.Rollback(ctx))

		tx, err = conn.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT c")
		assert.NilError(t, err)
		r.primary.setHook(once("rollback"))
		assert.NilError(t, tx.Rollback(ctx))

		tx, err = conn.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT c")
		assert.NilError(t, err)
		r.control.set(func() { r.control.transaction = states("committed") })
		commit := once("commit")
		r.primary.setHook(nil)
		r.primary.setAfter(func(sql string) bool {
			alive := commit(sql)
			if !alive {
				r.nextTerm()
			}
			return alive
		})
		assert.NilError(t, tx.Commit(ctx))
		last := r.control.confirmed[len(r.control.confirmed)-1]
		assert.Equal(t, last, ident.LogPoint{Term: 2})
		assert.Equal(t, queryText(t, conn, "SELECT 1"), "1")
	}
}

// Guards against an acknowledgement before a replica has the write, and against a
// confirmation that fails being taken for success.
func TestAcknowledgementWaitsForConfirmation(t *testing.T) {
	r := newRig(t, false, nil)
	conn := r.connect("")
	release := make(chan error)
	entered := make(chan ident.LogPoint)
	r.control.set(func() {
		r.control.confirm = func(_ context.Context, _ request.Target, p ident.LogPoint) error {
			entered <- p
			return <-release
		}
	})
	done := make(chan error, 1)
	run := func() {
		_, err := conn.Exec(context.Background(), "INSERT a")
		done <- err
	}
	go run()
	assert.Equal(t, <-entered, ident.LogPoint{Term: 1, Position: 1})
	select {
	case <-done:
		t.Fatal("acknowledged before the confirmation")
	default:
	}
	// The upstream is free for others meanwhile.
	assert.Equal(t, r.server.Outstanding("orders", "one"), 0)
	assert.Equal(t, r.server.cfg.Pools.Dump()[0].Idle, 1)
	release <- nil
	assert.NilError(t, <-done)

	// The term moves on: the outcome comes from the newer primary.
	r.control.set(func() { r.control.transaction = states("aborted") })
	go run()
	<-entered
	release <- errors.New("term moved on")
	wantCode(t, <-done, "40001", "RW1013")

	// Committed there: acknowledged after the confirmation in that term.
	r.control.set(func() { r.control.transaction = states("committed") })
	go run()
	<-entered
	release <- errors.New("term moved on")
	assert.Equal(t, <-entered, ident.LogPoint{Term: 1, Position: 3})
	release <- nil
	assert.NilError(t, <-done)
}

// Guards against a hang when the primary stops answering without closing its
// connections.
func TestSilentPrimaryIsResolvedAfterPromotion(t *testing.T) {
	r := newRig(t, false, nil)
	conn := r.connect("default_query_exec_mode=simple_protocol")
	stop := make(chan struct{})
	defer close(stop)
	r.control.set(func() { r.control.transaction = states("aborted") })
	r.primary.setHook(func(sql string) bool {
		if sql == "COMMIT" {
			r.nextTerm()
			<-stop
		}
		return true
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := conn.Exec(ctx, "INSERT a")
	wantCode(t, err, "40001", "RW1013")
}

// Guards against callers that leave during a statement keeping their slot, and
// against cancelling anything else.
func TestCallerLeavesDuringStatement(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	running, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	r.primary.setHook(func(sql string) bool {
		if sql == "SELECT slow" {
			close(running)
			<-release
		}
		return true
	})
	x.send(&pgproto3.Query{String: "SELECT slow"})
	<-running
	x.c.Close()
	for r.server.Outstanding("orders", "one") > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, r.primary.cancelled(), 1)
	r.raw().query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
}

// Guards against callers seeing an error because pooled connections died while
// idle, and against writes running twice in that case.
func TestDeadIdleConnectionsAreReplaced(t *testing.T) {
	r := newRig(t, false, nil)
	conn := r.connect("default_query_exec_mode=simple_protocol")
	for range 3 {
		_, err := conn.Exec(t.Context(), "INSERT a")
		assert.NilError(t, err)
		r.primary.closeAll()
	}
	assert.Equal(t, r.primary.count("INSERT"), 3)
}

// Guards against 25006 reaching callers whose statement only looked read-only, or
// whose primary was fenced a moment ago.
func TestReadOnlyRefusalMovesToThePrimary(t *testing.T) {
	for _, mode := range []string{"simple_protocol", "cache_statement"} {
		r := newRig(t, true, nil)
		conn := r.connect("default_query_exec_mode=" + mode)
		r.replica.setHook(func(sql string) bool { return true })
		assert.Equal(t, queryText(t, conn, "SELECT 1"), "1")
		assert.Equal(t, r.replica.count("SELECT"), 1)
		old := r.control.primary
		r.control.set(func() { r.control.primary = *r.control.replica })
		go func() {
			for r.replica.count("INSERT") == 0 {
				time.Sleep(time.Millisecond)
			}
			r.control.set(func() { r.control.primary = old })
		}()
		tag, err := conn.Exec(t.Context(), "INSERT a")
		assert.NilError(t, err)
		assert.Equal(t, tag.String(), "INSERT 0 1")
		assert.Equal(t, r.primary.count("INSERT"), 1)
	}
}

// Guards against a function that writes being run unconfirmed or twice because its
// statement looks like a read.
func TestReadsThatWriteAreTreatedAsWrites(t *testing.T) {
	for _, withReplica := range []bool{false, true} {
		r := newRig(t, withReplica, nil)
		x := r.raw()
		x.query("SELECT touch()", "RowDescription D:touch() C:SELECT_1 Z:I")
		assert.Equal(t, len(r.control.confirmed), 1)
		x.send(prepare("", "SELECT touch()"), bindTo(""), executeIt, syncIt)
		x.want("ParseComplete BindComplete D:touch() C:SELECT_1 Z:I")
		assert.Equal(t, len(r.control.confirmed), 2)
		x.query("BEGIN READ ONLY; SELECT touch(); COMMIT", "C:BEGIN E:25006 Z:E")
		x.query("ROLLBACK", "C:ROLLBACK Z:I")
	}
	r := newRig(t, false, func(c *Config) { c.PlainWrites = true })
	x := r.raw()
	r.primary.setHook(func(string) bool { return r.primary.count("SELECT touch()") < 2 })
	x.query("SELECT touch()", "E:08007 Z:I")
	assert.Equal(t, r.primary.count("SELECT touch()"), 2) // the first was refused with 25006
}

// Guards against the 25006 of a former primary being passed on when no newer primary
// is known before the deadline.
func TestReadOnlyRefusalUntilTheDeadline(t *testing.T) {
	r := newRig(t, true, func(cfg *Config) { cfg.QueueTimeout = 100 * time.Millisecond })
	conn := r.connect("")
	r.control.set(func() { r.control.primary = *r.control.replica })
	_, err := conn.Exec(t.Context(), "INSERT a")
	wantCode(t, err, "57P03", "RW1010")
	assert.Equal(t, r.primary.count("INSERT"), 0)
}

// Guards against a lost read being answered with an error although another
// upstream could serve it, and against half answers passed off as complete.
func TestBrokenReads(t *testing.T) {
	r := newRig(t, true, nil)
	conn := r.connect("default_query_exec_mode=simple_protocol")
	r.replica.setHook(once("SELECT 1"))
	assert.Equal(t, queryText(t, conn, "SELECT 1"), "1")
	assert.Equal(t, r.replica.count("SELECT 1"), 2)
	assert.Equal(t, r.server.Counters().Retries.Load(), int64(1))

	r.replica.setHook(nil)
	r.replica.setAfter(once("SELECT rows"))
	rows, err := conn.Query(t.Context(), "SELECT rows 2000")
	assert.NilError(t, err)
	n := 0
	for rows.Next() {
		n++
	}
	assert.Assert(t, n <= 2000)
	wantCode(t, rows.Err(), "08006", "RW1021")
	assert.Equal(t, queryText(t, conn, "SELECT 3"), "3")
}
