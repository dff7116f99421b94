package frontend

import (
	"context"
	"database/sql"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/stdlib"
	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"gotest.tools/v3/assert"
)

// Guards against reads that miss the session's own writes, tokens sent to callers
// that did not ask, and tokens that are not taken up.
func TestSessionTokens(t *testing.T) {
	r := newRig(t, true, nil)
	x := r.raw()
	x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
	x.query("INSERT a", "C:INSERT_0_1 Z:I")
	x.query("SELECT 2", "RowDescription D:2 C:SELECT_1 Z:I")
	x.query("SET rosemarywall.session_token = ''", "C:SET Z:I")
	x.query("INSERT b", "C:INSERT_0_1 S:rosemarywall.session_token Z:I")
	x.query("BEGIN READ ONLY", "C:BEGIN Z:T")
	x.query("SELECT 3", "RowDescription D:3 C:SELECT_1 Z:T")
	x.query("COMMIT", "C:COMMIT Z:I")
	x.query("SET rosemarywall.accepted_age TO '2s'", "C:SET Z:I")
	x.query("SELECT 4", "RowDescription D:4 C:SELECT_1 Z:I")
	point := func(p ident.Position) ident.LogPoint { return ident.LogPoint{Term: 1, Position: p} }
	assert.DeepEqual(t, r.control.needs, []request.ReadRequirement{
		{Strict: true}, {MinLogPoint: point(1), Strict: true}, {MinLogPoint: point(2)}, {MinLogPoint: point(2), MaxAge: 2 * time.Second},
	})
	assert.Equal(t, r.replica.count("SELECT"), 4)

	token := routing.EncodeToken(routing.Token{Group: "orders", Point: point(9)})
	y := r.raw(settingToken, token)
	y.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
	assert.DeepEqual(t, r.control.needs[4], request.ReadRequirement{MinLogPoint: point(9)})
	y.query("SHOW rosemarywall.session_token", "RowDescription D:"+token+" C:SHOW Z:I")
	other := routing.EncodeToken(routing.Token{Group: "bills", Point: point(1)})
	for _, bad := range []string{"SET rosemarywall.session_token = 'x'", "SET rosemarywall.session_token = '" + other + "'", "SET rosemarywall.accepted_age = '-1s'", "SHOW rosemarywall.none"} {
		y.query(bad, "E:22023 Z:I")
	}
	y.send(prepare("", "SHOW rosemarywall.session_token"), bindTo(""), &pgproto3.Describe{ObjectType: 'P'}, executeIt, syncIt)
	y.want("ParseComplete BindComplete RowDescription D:" + token + " C:SHOW Z:I")
}

// Guards against reads that rely on the token or the accepted age of the former user of a
// pooled connection, or on a token that the caller has taken back.
func TestResetSessionRelaxesNothing(t *testing.T) {
	point := ident.LogPoint{Term: 1, Position: 9}
	token := routing.EncodeToken(routing.Token{Group: "orders", Point: point})
	strict := request.ReadRequirement{MinLogPoint: point, Strict: true}
	relaxed := request.ReadRequirement{MinLogPoint: point, MaxAge: 5 * time.Second}
	for _, reset := range []struct {
		statements []string
		want       request.ReadRequirement
	}{
		{[]string{"DISCARD ALL"}, strict},
		{[]string{"RESET ALL"}, strict},
		{[]string{"BEGIN", "RESET ALL", "COMMIT"}, strict},
		{[]string{"RESET ALL; SELECT 1"}, strict},
		{[]string{"RESET rosemarywall.session_token"}, relaxed},
		{[]string{"RESET rosemarywall.session_token", "RESET rosemarywall.accepted_age"}, strict},
		{[]string{"RESET work_mem"}, relaxed},
	} {
		r := newRig(t, true, nil)
		x := r.raw(settingToken, token, settingAge, "5s")
		for _, sql := range append(reset.statements, "SELECT 2") {
			x.send(&pgproto3.Query{String: sql})
			for !strings.HasPrefix(x.next(), "Z:") {
			}
		}
		needs := r.control.needs
		assert.DeepEqual(t, needs[len(needs)-1], reset.want)
	}
}

// Guards against session settings and prepared statements being lost or leaking
// when requests of a session run on different connections.
func TestSessionStateFollowsTheCaller(t *testing.T) {
	r := newRig(t, false, func(c *Config) {})
	r.control.set(func() { r.control.primary.ConnectionLimit = 1 })
	x, y := r.raw(), r.raw()
	x.query("SET work_mem = '1MB'", "C:SET Z:I")
	x.send(prepare("s", "SELECT $1"), syncIt)
	x.want("ParseComplete Z:I")
	y.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
	y.send(bindTo("s"), executeIt, syncIt)
	y.want("E:26000 Z:I")
	y.query("BEGIN", "C:BEGIN Z:T")
	y.query("SET work_mem = '2MB'", "C:SET Z:T")
	y.query("ROLLBACK", "C:ROLLBACK Z:I")
	x.send(&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("v")}}, executeIt, syncIt)
	x.want("BindComplete D:v C:SELECT_1 Z:I")
	r.primary.closeAll()
	x.send(&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("w")}}, executeIt, syncIt)
	x.want("BindComplete D:w C:SELECT_1 Z:I")
	x.query("RESET ALL", "C:RESET Z:I")
	x.query("SELECT 2", "RowDescription D:2 C:SELECT_1 Z:I")
	var settings []string
	for _, s := range r.primary.statements() {
		if !strings.HasPrefix(s, "SELECT") && !strings.Contains(s, "read_only") {
			settings = append(settings, s)
		}
	}
	assert.DeepEqual(t, settings, []string{
		"SET work_mem = '1MB'", `RESET "work_mem"`, "BEGIN", "SET work_mem = '2MB'", "ROLLBACK",
		`SET "work_mem" TO '1MB'`, `SET "work_mem" TO '1MB'`, `RESET "work_mem"`,
	})
}

// Guards against statements that the proxy answers itself disagreeing with what
// later requests see.
func TestLocalStatements(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	x.query("BEGIN", "C:BEGIN Z:T")
	x.query("SET work_mem = '1MB'", "C:SET Z:T")
	x.query("SET LOCAL a.b = 1", "C:SET Z:T")
	x.query("COMMIT", "C:COMMIT Z:I")
	x.query("SET a.c = 'x'", "C:SET Z:I")
	r.primary.closeAll()
	x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
	assert.Equal(t, r.primary.count(`SET "work_mem" TO '1MB'`), 1)
	assert.Equal(t, r.primary.count(`SET "a"."c" TO 'x'`), 1)
	assert.Equal(t, r.primary.count(`SET "a"."b"`), 0)
	x.query("RESET work_mem", "C:RESET Z:I")
	x.query("SELECT 2", "RowDescription D:2 C:SELECT_1 Z:I")
	assert.Equal(t, r.primary.count(`RESET "work_mem"`), 1)
	x.send(prepare("s", "SELECT 1"), prepare("t", "SELECT 2"), syncIt)
	x.want("ParseComplete ParseComplete Z:I")
	x.query("DEALLOCATE s", "C:DEALLOCATE Z:I")
	x.query("DEALLOCATE s", "E:26000 Z:I")
	x.query("DISCARD ALL", "C:DISCARD_ALL Z:I")
	x.send(bindTo("t"), syncIt)
	x.want("E:26000 Z:I")
	x.query("SELECT 3", "RowDescription D:3 C:SELECT_1 Z:I")
	assert.Equal(t, r.primary.count(`RESET "a"."c"`), 1)
	x.query("SELECT 1; DEALLOCATE ALL", "E:0A000 Z:I")
}

// Guards against statements that run with settings other than those of their
// session, because the upstream refused a setting.
func TestRefusedSettingsStopTheRequest(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw("bad_setting", "1")
	x.query("SELECT 1", "E:22023 Z:I")
	x.query("INSERT a", "E:22023 Z:I")
	x.query("COPY t FROM STDIN", "E:22023 Z:I")
	x.query("BEGIN ISOLATION LEVEL SERIALIZABLE", "E:22023 Z:I")
	x.query("BEGIN", "C:BEGIN Z:T")
	x.query("INSERT a", "E:22023 Z:E")
	x.query("ROLLBACK", "C:ROLLBACK Z:I")
	x.send(prepare("", "SELECT 1"), bindTo(""), executeIt, syncIt)
	x.want("E:22023 Z:I")
	assert.Equal(t, len(r.control.confirmed), 0)
	assert.Equal(t, r.primary.count("BEGIN ISOLATION"), 0)
	r.raw().query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
}

// Guards against answers of one request being taken for those of another.
func TestCrossedAndLateAnswers(t *testing.T) {
	r := newRig(t, false, func(c *Config) { c.QueueTimeout = 100 * time.Millisecond })
	x := r.raw()
	x.query("SELECT late", "RowDescription D:late C:SELECT_1 Z:I")
	x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
	assert.Equal(t, r.primary.openedConns(), 2)
	x.query("SELECT crossed", "E:57P03 Z:I") // repeated as a read until the deadline
	x.query("SELECT 2", "RowDescription D:2 C:SELECT_1 Z:I")
}

// Guards against statements that need a session of their own running on a pooled
// connection, and against state left behind for the next caller.
func TestUnsupportedAndDirtyStatements(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	for _, sql := range []string{
		"LISTEN a", "CREATE TEMP TABLE t (a int)", "SELECT pg_advisory_lock(1)", "PREPARE p AS SELECT 1", "SET ROLE a",
		"SELECT set_config('a.b', 'c', false)", "DECLARE c CURSOR WITH HOLD FOR SELECT 1", "SELECT 1; LISTEN a",
	} {
		x.query(sql, "E:0A000 Z:I")
	}
	x.send(prepare("", "LISTEN a"), bindTo(""), executeIt, syncIt)
	x.want("E:0A000 Z:I")
	assert.Equal(t, len(r.primary.statements()), 0)
	x.query("DO x", "C:DO Z:I")
	for r.primary.count("DISCARD ALL") == 0 {
		time.Sleep(time.Millisecond) // the reset runs in the background
	}
}

// Guards against a withdrawn key continuing in its transaction, refused statements
// that leave a transaction open, and charges for COMMIT and ROLLBACK.
func TestRefusalInTransactionRollsBack(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	begin := func() {
		x.query("BEGIN", "C:BEGIN Z:T")
		x.query("INSERT a", "C:INSERT_0_1 Z:T")
	}
	begin()
	r.control.set(func() { r.control.checkErr = resultcode.New(resultcode.KeyWithdrawn, "withdrawn") })
	x.query("INSERT b", "E:28000 Z:E")
	r.control.set(func() { r.control.checkErr = nil })
	x.query("SELECT 1", "E:25P02 Z:E")
	x.query("COMMIT", "C:ROLLBACK Z:I")
	r.control.set(func() { r.control.checkErr = resultcode.New(resultcode.ZoneOut, "zone") })
	x.query("BEGIN", "E:57P03 Z:I")
	r.control.set(func() { r.control.checkErr = nil })
	begin()
	x.query("LISTEN a", "E:0A000 Z:E")
	x.send(prepare("", "SELECT 1"), syncIt)
	x.want("E:25P02 Z:E")
	x.send(prepare("", "ROLLBACK"), bindTo(""), &pgproto3.Describe{ObjectType: 'P'}, executeIt, syncIt)
	x.want("ParseComplete BindComplete NoData C:ROLLBACK Z:I")
	r.control.set(func() { r.control.takeErr = resultcode.New(resultcode.RateExceeded, "rate") })
	x.query("SELECT 1", "E:53400 Z:I")
	r.control.set(func() { r.control.takeErr = nil })
	assert.Equal(t, r.control.taken, 3)
	assert.Equal(t, r.server.Counters().Refusals(resultcode.RateExceeded), int64(1))
	x.query("INSERT c", "C:INSERT_0_1 Z:I")
	assert.Equal(t, len(r.control.confirmed), 1)
	assert.Equal(t, r.primary.count("INSERT b"), 0)
}

// Guards against a CancelRequest that is lost, that hits another caller, or that
// does not reach a request that still waits for a slot.
func TestCancel(t *testing.T) {
	r := newRig(t, false, nil)
	r.control.set(func() { r.control.primary.Slots = 1 })
	running, release := make(chan struct{}), make(chan struct{})
	r.primary.setHook(func(sql string) bool {
		if sql == "SELECT slow" {
			close(running)
			<-release
		}
		return true
	})
	slow, waiting := r.connect(""), r.connect("")
	slowDone, waitDone := make(chan error, 1), make(chan error, 1)
	go func() { _, err := slow.Exec(context.Background(), "SELECT slow"); slowDone <- err }()
	<-running
	go func() { _, err := waiting.Exec(context.Background(), "SELECT 2"); waitDone <- err }()
	for r.server.queue.Dump()[0].Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, waiting.PgConn().CancelRequest(t.Context()))
	wantCode(t, <-waitDone, "57014", "RW1019")
	assert.Equal(t, r.primary.cancelled(), 0)
	assert.NilError(t, slow.PgConn().CancelRequest(t.Context()))
	assert.Equal(t, r.primary.cancelled(), 1)
	close(release)
	assert.NilError(t, <-slowDone)
	// The lease has ended: a late cancel reaches nobody, and the connection that
	// was cancelled is not used again.
	assert.NilError(t, slow.PgConn().CancelRequest(t.Context()))
	assert.Equal(t, r.primary.cancelled(), 1)
	assert.Equal(t, queryText(t, waiting, "SELECT 3"), "3")
	assert.Equal(t, r.primary.openedConns(), 2)
}

func (f *fakeUpstream) cancelled() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancels
}

func (f *fakeUpstream) openedConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opened
}

// Guards against a planned stop that interrupts a transaction or leaves idle
// callers connected.
func TestDrain(t *testing.T) {
	r := newRig(t, false, nil)
	idle, busy := r.raw(), r.raw()
	busy.query("BEGIN", "C:BEGIN Z:T")
	drained := make(chan error, 1)
	go func() { drained <- r.server.Drain(context.Background()) }()
	idle.want("E:57P01")
	assert.Assert(t, strings.HasPrefix(idle.next(), "closed"))
	busy.query("INSERT a", "C:INSERT_0_1 Z:T")
	busy.query("COMMIT", "C:COMMIT Z:I E:57P01")
	assert.NilError(t, <-drained)
}

// Guards against requests that wait without bound and against refusals for want
// of a slot or a connection that are not marked as not run.
func TestQueueDeadlineAndConnectionLimit(t *testing.T) {
	r := newRig(t, false, func(c *Config) { c.QueueTimeout = 50 * time.Millisecond })
	r.control.set(func() { r.control.primary.Slots = 1 })
	holder, x := r.raw(), r.raw()
	holder.query("BEGIN", "C:BEGIN Z:T")
	x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I") // the block holds no slot yet
	holder.query("SELECT 2", "RowDescription D:2 C:SELECT_1 Z:T")
	x.query("SELECT 1", "E:53300 Z:I")
	r.control.set(func() { r.control.primary.Slots, r.control.primary.ConnectionLimit = 4, 1 })
	x.query("SELECT 1", "E:53300 Z:I")
	// 53300 from the upstream lowers the limit; the request gets the connection
	// that is returned.
	r.primary.maxConns = 1
	r.control.set(func() { r.control.primary.ConnectionLimit = 4 })
	x.query("SELECT 1", "E:53300 Z:I")
	holder.query("ROLLBACK", "C:ROLLBACK Z:I")
	x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
	assert.Equal(t, r.server.cfg.Pools.Dump()[0].Limit, 2)
}

// Guards against answers reaching the wrong caller and transactions mixing while
// many callers share few connections, through database/sql.
func TestManyCallersShareConnections(t *testing.T) {
	r := newRig(t, true, nil)
	db := stdlib.OpenDB(*r.config(""))
	defer db.Close()
	db.SetMaxOpenConns(16)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for j := range 20 {
				want := fmt.Sprintf("%d-%d", i, j)
				var got string
				if err := db.QueryRow("SELECT $1", want).Scan(&got); err != nil || got != want {
					t.Errorf("got %q, %v instead of %q", got, err, want)
				}
				if err := inTransaction(db, want); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, len(r.control.confirmed), 320)
}

func inTransaction(db *sql.DB, text string) error {
	tx, err := db.Begin()
	if err != nil {
		return err
	}
	defer tx.Rollback()
	var got string
	if err := tx.QueryRow("SELECT $1", text).Scan(&got); err != nil || got != text {
		return fmt.Errorf("got %q, %v", got, err)
	}
	if _, err := tx.Exec("INSERT " + text); err != nil {
		return err
	}
	return tx.Commit()
}

// Guards against keys, passwords and statement texts in dumps and errors.
func TestDumpHoldsNoSecret(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	x.query("BEGIN", "C:BEGIN Z:T")
	x.query("SELECT literal-4711", "RowDescription D:literal-4711 C:SELECT_1 Z:T")
	text, err := json.Marshal(r.server.Dump())
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), `"idle_in_transaction":1`), string(text))
	for _, secret := range []string{testKey, "upstream-secret", "literal-4711"} {
		assert.Assert(t, !strings.Contains(string(text)+fmt.Sprintf("%+v %#v", r.server.cfg.Pools.Dump(), r.server.Dump()), secret))
	}
}
