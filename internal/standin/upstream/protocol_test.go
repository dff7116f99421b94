package upstream

import (
	"bytes"
	"context"
	"crypto/tls"
	"database/sql"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/stdlib"
	"gotest.tools/v3/assert"
)

func exec(t testing.TB, conn *pgx.Conn, statements ...string) {
	t.Helper()
	for _, statement := range statements {
		_, err := conn.Exec(context.Background(), statement)
		assert.NilError(t, err, statement)
	}
}

func number(t testing.TB, conn *pgx.Conn, query string, arguments ...any) int64 {
	t.Helper()
	var n int64
	assert.NilError(t, conn.QueryRow(context.Background(), query, arguments...).Scan(&n), query)
	return n
}

// Every mode of pgx must scan the inferred types into the natural Go types.
func TestTypesInEveryMode(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	exec(t, conn, "CREATE TABLE v (i int, l bigint, s text, b bool, f float8, d bytea, n numeric(9,2), at timestamp)")
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		exec(t, conn, "DELETE FROM v")
		_, err := conn.Exec(t.Context(), "INSERT INTO v (i, l, s, b, f, d, n, at) VALUES ($1, $2, $3, $4, $5, $6, $7, $8)",
			mode, -3, int64(1)<<40, "it's", true, 2.5, []byte("\x00\xff"), "12.5", "2026-01-02 03:04:05")
		assert.NilError(t, err, mode)
		var i, count, sum, cast int64
		var l int64
		var s, n, at string
		var b, more bool
		var f float64
		var d []byte
		var missing *string
		err = conn.QueryRow(t.Context(), `SELECT i, l, s, b, f, d, n, at, count(*), sum(l), l > $1, $2::int, NULL
			FROM v WHERE s = $3 GROUP BY i, l, s, b, f, d, n, at`, mode, 5, 9, "it's").
			Scan(&i, &l, &s, &b, &f, &d, &n, &at, &count, &sum, &more, &cast, &missing)
		assert.NilError(t, err, mode)
		assert.DeepEqual(t, []any{i, l, s, b, f, d, n, at, count, sum, more, cast, missing},
			[]any{int64(-3), int64(1) << 40, "it's", true, 2.5, []byte("\x00\xff"), "12.5", "2026-01-02 03:04:05",
				int64(1), int64(1) << 40, true, int64(9), (*string)(nil)})
	}
}

// database/sql callers must work, including integer arguments whose type has to
// be inferred.
func TestDatabaseSQL(t *testing.T) {
	g := startGroup(t, nil)
	db, err := sql.Open("pgx", dsn(g, "a"))
	assert.NilError(t, err)
	defer db.Close()
	_, err = db.Exec("CREATE TABLE item (id BIGSERIAL PRIMARY KEY, name VARCHAR(20) NOT NULL UNIQUE, stock INTEGER DEFAULT 0)")
	assert.NilError(t, err)
	var id int64
	assert.NilError(t, db.QueryRow("INSERT INTO item (name) VALUES ($1) RETURNING id", "bolt").Scan(&id))
	result, err := db.Exec("UPDATE item SET stock = stock + $1 WHERE id = $2", 5, id)
	assert.NilError(t, err)
	affected, err := result.RowsAffected()
	assert.NilError(t, err)
	assert.Equal(t, affected, int64(1))
	var stock int
	assert.NilError(t, db.QueryRow("SELECT stock FROM item WHERE name = $1", "bolt").Scan(&stock))
	assert.Equal(t, stock, 5)
	_, err = db.Exec("INSERT INTO item (name) VALUES ('bolt')")
	assert.Equal(t, stateOf(err), "23505")
	_, err = db.Exec("SELECT * FROM missing")
	assert.Equal(t, stateOf(err), "42P01")
}

// Transaction states must be those of PostgreSQL, or a proxy would return a
// connection in the wrong state to its pool.
func TestTransactionStates(t *testing.T) {
	g := startGroup(t, nil)
	conn, other := connect(t, g, "a"), connect(t, g, "a")
	exec(t, conn, "CREATE TABLE v (i int PRIMARY KEY)", "BEGIN", "INSERT INTO v VALUES (1)")
	assert.Equal(t, conn.PgConn().TxStatus(), byte('T'))
	assert.Equal(t, number(t, conn, "SELECT count(*) FROM v"), int64(1))
	assert.Equal(t, number(t, other, "SELECT count(*) FROM v"), int64(0), "uncommitted rows are visible to others")
	exec(t, conn, "SAVEPOINT one", "INSERT INTO v VALUES (2)")
	_, err := conn.Exec(t.Context(), "INSERT INTO v VALUES (1)")
	assert.Equal(t, stateOf(err), "23505")
	assert.Equal(t, conn.PgConn().TxStatus(), byte('E'))
	_, err = conn.Exec(t.Context(), "SELECT 1")
	assert.Equal(t, stateOf(err), "25P02")
	exec(t, conn, "ROLLBACK TO SAVEPOINT one", "INSERT INTO v VALUES (3)", "COMMIT")
	assert.Equal(t, conn.PgConn().TxStatus(), byte('I'))
	assert.Equal(t, number(t, other, "SELECT sum(i) FROM v"), int64(4))
	waitApplied(t, g, "b", 3)
	assert.Equal(t, number(t, connect(t, g, "b"), "SELECT sum(i) FROM v"), int64(4), "the log holds rolled-back statements")

	exec(t, conn, "BEGIN")
	_, err = conn.Exec(t.Context(), "INSERT INTO v VALUES (1)")
	assert.Equal(t, stateOf(err), "23505")
	tag, err := conn.Exec(t.Context(), "COMMIT")
	assert.NilError(t, err)
	assert.Equal(t, tag.String(), "ROLLBACK")

	exec(t, conn, "BEGIN READ ONLY")
	_, err = conn.Exec(t.Context(), "INSERT INTO v VALUES (9)")
	assert.Equal(t, stateOf(err), "25006")
	exec(t, conn, "ROLLBACK")
	// The statements of one simple Query are one transaction.
	_, err = conn.Exec(t.Context(), "INSERT INTO v VALUES (10); INSERT INTO v VALUES (1)")
	assert.Equal(t, stateOf(err), "23505")
	assert.Equal(t, number(t, conn, "SELECT count(*) FROM v WHERE i = 10"), int64(0))
}

// rawClient sends messages that pgx does not let a test compose.
func rawClient(t *testing.T, g *Group) *pgproto3.Frontend {
	conn, err := connect(t, g, "a").PgConn().Hijack()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Conn.Close() })
	return conn.Frontend
}

// answer receives messages up to ReadyForQuery and names them.
func answer(t *testing.T, frontend *pgproto3.Frontend) string {
	t.Helper()
	var names []string
	for {
		message, err := frontend.Receive()
		assert.NilError(t, err)
		switch m := message.(type) {
		case *pgproto3.ReadyForQuery:
			return strings.Join(append(names, "ready "+string(m.TxStatus)), ", ")
		case *pgproto3.DataRow:
			names = append(names, "row "+string(m.Values[0]))
		case *pgproto3.ErrorResponse:
			names = append(names, "error "+m.Code)
		case *pgproto3.CommandComplete:
			names = append(names, string(m.CommandTag))
		case *pgproto3.PortalSuspended:
			names = append(names, "suspended")
		}
	}
}

// A portal must keep its place between limited Executes, and an error must skip
// the rest of the batch but not the next one.
func TestExtendedProtocol(t *testing.T) {
	g := startGroup(t, nil)
	seedAccounts(t, g)
	frontend := rawClient(t, g)
	send := func(messages ...pgproto3.FrontendMessage) string {
		for _, message := range append(messages, &pgproto3.Sync{}) {
			frontend.Send(message)
		}
		assert.NilError(t, frontend.Flush())
		return answer(t, frontend)
	}
	parse := &pgproto3.Parse{Name: "s", Query: "SELECT id FROM account WHERE id < $1 ORDER BY id"}
	bind := &pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "s", Parameters: [][]byte{[]byte("6")}}
	execute := &pgproto3.Execute{Portal: "p", MaxRows: 2}
	begin := &pgproto3.Parse{Query: "BEGIN"}
	assert.Equal(t, send(begin, &pgproto3.Bind{}, &pgproto3.Execute{}), "BEGIN, ready T")
	assert.Equal(t, send(parse, bind, execute, execute), "row 1, row 2, suspended, row 3, row 4, suspended, ready T")
	assert.Equal(t, send(execute), "row 5, SELECT 1, ready T")
	commit := &pgproto3.Parse{Query: "COMMIT"}
	assert.Equal(t, send(commit, &pgproto3.Bind{}, &pgproto3.Execute{}), "COMMIT, ready I")
	assert.Equal(t, send(execute), "error 34000, ready I", "the portal outlived its transaction")
	insert := &pgproto3.Parse{Query: "INSERT INTO account (id) VALUES (5000)"}
	broken := &pgproto3.Parse{Query: "SELECT absent FROM account"}
	assert.Equal(t, send(insert, &pgproto3.Bind{}, &pgproto3.Execute{}, broken, insert), "INSERT 0 1, error 42703, ready I")
	assert.Equal(t, send(bind, execute), "row 1, row 2, suspended, ready I")
	count := &pgproto3.Parse{Query: "SELECT count(*) FROM account WHERE id = 5000"}
	assert.Equal(t, send(count, &pgproto3.Bind{}, &pgproto3.Execute{}), "row 0, SELECT 1, ready I", "a failed batch left its insert")
}

// COPY must carry special characters and NULL unchanged, and fail as a whole.
func TestCopyText(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	exec(t, conn, "CREATE TABLE v (i int PRIMARY KEY, s text)")
	data := "1\ta\\tb\\\\\n2\t\\N\n3\tplain\n"
	tag, err := conn.PgConn().CopyFrom(t.Context(), strings.NewReader(data), "COPY v (i, s) FROM STDIN")
	assert.NilError(t, err)
	assert.Equal(t, tag.String(), "COPY 3")
	_, err = conn.PgConn().CopyFrom(t.Context(), strings.NewReader("4\tx\n1\ty\n"), "COPY v FROM STDIN")
	assert.Equal(t, stateOf(err), "23505")
	waitApplied(t, g, "c", 3)
	for _, member := range []string{"a", "c"} {
		var out bytes.Buffer
		_, err = connect(t, g, member).PgConn().CopyTo(t.Context(), &out, "COPY (SELECT i, s FROM v ORDER BY i) TO STDOUT")
		assert.NilError(t, err)
		assert.Equal(t, out.String(), data, member)
	}
}

// Session settings must be visible to SHOW and reset by DISCARD ALL.
func TestSettings(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	show := func() (value string) {
		assert.NilError(t, conn.QueryRow(t.Context(), "SHOW application_name").Scan(&value))
		return value
	}
	exec(t, conn, "SET application_name = 'tester'")
	assert.Equal(t, show(), "tester")
	assert.Equal(t, conn.PgConn().ParameterStatus("application_name"), "tester")
	exec(t, conn, "RESET application_name")
	assert.Equal(t, show(), "")
	exec(t, conn, "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY")
	_, err := conn.Exec(t.Context(), "CREATE TABLE v (i int)")
	assert.Equal(t, stateOf(err), "25006")
	assert.NilError(t, conn.PgConn().Exec(t.Context(), "DISCARD ALL").Close())
	exec(t, connect(t, g, "a"), "CREATE TABLE v (i int)")
}

// A CancelRequest must stop the statement that runs, wherever it waits, and leave
// the connection usable.
func TestCancelRequest(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	endless := "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n) SELECT count(*) FROM n"
	for _, statement := range []string{"SELECT pg_sleep(3600)", endless} {
		failed := make(chan error)
		go func() {
			_, err := conn.PgConn().Exec(context.Background(), statement).ReadAll()
			failed <- err
		}()
		eventually(t, "statement runs", func() bool { return isRunning(g) })
		assert.NilError(t, conn.PgConn().CancelRequest(t.Context()))
		assert.Equal(t, stateOf(<-failed), "57014")
		assert.Equal(t, number(t, conn, "SELECT 1"), int64(1))
	}
}

func isRunning(g *Group) bool {
	m := g.Member("a")
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.sessions {
		s.mu.Lock()
		running := s.running
		s.mu.Unlock()
		if running {
			return true
		}
	}
	return false
}

// A caller that falls silent in a write transaction must not block other writes
// for ever.
func TestIdleTransactionEnds(t *testing.T) {
	g := startGroup(t, func(cfg *Config) { cfg.Members[0].IdleTransaction = 10 * time.Millisecond })
	silent, other := connect(t, g, "a"), connect(t, g, "a")
	exec(t, silent, "CREATE TABLE v (i int)", "BEGIN; INSERT INTO v VALUES (1)")
	exec(t, other, "INSERT INTO v VALUES (2)")
	assert.Equal(t, number(t, other, "SELECT sum(i) FROM v"), int64(2))
	_, err := silent.Exec(t.Context(), "COMMIT")
	assert.Assert(t, err != nil)
}

// A caller that asks for TLS must get it.
func TestTLS(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	g := startGroup(t, func(cfg *Config) { cfg.TLS = &tls.Config{Certificates: certified.TLS.Certificates} })
	conn, err := pgx.Connect(t.Context(), strings.Replace(dsn(g, "a"), "sslmode=disable", "sslmode=require", 1))
	assert.NilError(t, err)
	defer conn.Close(t.Context())
	assert.Equal(t, number(t, conn, "SELECT 1"), int64(1))
	_, secured := conn.PgConn().Conn().(*tls.Conn)
	assert.Assert(t, secured)
}

// Functions without a fixed result must not make members differ.
func TestVolatileFunctions(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	exec(t, conn, "CREATE TABLE v (u text, at text, r float8)", "INSERT INTO v VALUES (gen_random_uuid(), now(), random())")
	waitApplied(t, g, "b", 3)
	rows := map[string]string{}
	for _, member := range []string{"a", "b"} {
		var u, at string
		var r float64
		assert.NilError(t, connect(t, g, member).QueryRow(t.Context(), "SELECT u, at, r FROM v").Scan(&u, &at, &r))
		rows[member] = fmt.Sprint(u, at, r)
	}
	assert.Equal(t, rows["a"], rows["b"])
}

// The connection limit must refuse with 53300 and a wrong password with 28P01.
func TestConnectionRefusals(t *testing.T) {
	g := startGroup(t, func(cfg *Config) { cfg.Members[0].Connections = 1 })
	_, err := pgconn.Connect(t.Context(), strings.Replace(dsn(g, "a"), "secret", "wrong", 1))
	assert.Equal(t, stateOf(err), "28P01")
	eventually(t, "the refused connection is gone", func() bool { return g.Member("a").Counters().Open == 0 })
	conn := connect(t, g, "a")
	_, err = pgconn.Connect(t.Context(), dsn(g, "a"))
	assert.Equal(t, stateOf(err), "53300")
	assert.NilError(t, conn.Close(t.Context()))
	eventually(t, "the connection is gone", func() bool { return g.Member("a").Counters().Open == 0 })
	connect(t, g, "a")
}

// A new connection must cost the configured delay.
func TestConnectDelay(t *testing.T) {
	g := startGroup(t, func(cfg *Config) { cfg.Members[0].ConnectDelay = time.Hour })
	_, err := pgconn.Connect(brief(t), dsn(g, "a"))
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	assert.Equal(t, number(t, connect(t, g, "b"), "SELECT 1"), int64(1))
}

// Statements above the slots must wait for one, in order of arrival.
func TestSlots(t *testing.T) {
	g := startGroup(t, func(cfg *Config) { cfg.Members[0].Slots = 1 })
	holder, first, second := connect(t, g, "a"), connect(t, g, "a"), connect(t, g, "a")
	order := make(chan string, 3)
	run := func(name string, conn *pgx.Conn, statement string) {
		_, err := conn.Exec(context.Background(), statement, pgx.QueryExecModeSimpleProtocol)
		order <- name + stateOf(err)
	}
	go run("holder ", holder, "SELECT pg_sleep(3600)")
	slots := g.Member("a").slots
	eventually(t, "the slot is taken", func() bool {
		free := slots.TryAcquire(1)
		if free {
			slots.Release(1)
		}
		return !free
	})
	go run("first ", first, "SELECT pg_sleep(3600)")
	eventually(t, "the first statement waits", func() bool { return !slots.TryAcquire(0) })
	go run("second", second, "SELECT 1")
	waits := func() {
		select {
		case name := <-order:
			t.Errorf("%q ended out of order", name)
		case <-time.After(20 * time.Millisecond):
		}
	}
	waits()
	assert.NilError(t, holder.PgConn().CancelRequest(t.Context()))
	assert.Equal(t, <-order, "holder 57014")
	waits()
	assert.NilError(t, first.PgConn().CancelRequest(t.Context()))
	ended := []string{<-order, <-order}
	slices.Sort(ended)
	assert.DeepEqual(t, ended, []string{"first 57014", "second"})
}

// A large result must be streamed: the first rows arrive while the statement
// still runs, and memory does not hold the whole answer.
func TestLargeResult(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	rows, err := conn.Query(t.Context(), "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 20000) SELECT i, printf('%01000d', i) FROM n")
	assert.NilError(t, err)
	assert.Assert(t, rows.Next())
	assert.Assert(t, isRunning(g), "the answer was buffered as a whole")
	count := 1
	for rows.Next() {
		count++
	}
	assert.NilError(t, rows.Err())
	assert.Equal(t, count, 20000)
}
