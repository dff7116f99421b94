package frontend_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib"
	"gotest.tools/v3/assert"

	groupcontroller "github.com/rosemarywall/rosemarywall/internal/controller/groups"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/frontend"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/standin"
	member "github.com/rosemarywall/rosemarywall/internal/standin/upstream"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
)

// open admits everybody and holds a fixed configuration.
type open struct{ configuration *configuration.Configuration }

func (o open) Authorise(n ident.OrganisationName, d ident.GroupName, _ string) (request.Grant, error) {
	return request.Grant{Organisation: n, Database: d, Weight: 1, Open: true}, nil
}
func (o open) Check(request.Grant) error                               { return nil }
func (o open) Take(context.Context, ident.OrganisationName, int) error { return nil }
func (o open) Current() *configuration.Configuration                   { return o.configuration }
func (o open) OnChange(func(*configuration.Configuration))             {}

// system is a stand-in group behind entry VMs.
type system struct {
	*standin.Standin
	server  *frontend.Server
	address string
	// newServer returns a server with the parts of the last VM.
	newServer func() *frontend.Server
}

func startSystem(t *testing.T) *system {
	t.Helper()
	cfg := member.Config{Name: "deckbook", User: "u", Password: "p"}
	for _, name := range []ident.UpstreamName{"a", "b", "c"} {
		cfg.Members = append(cfg.Members, member.MemberConfig{Name: name, Zone: "z1", Slots: 4, Connections: 16, Lag: 2 * time.Millisecond})
	}
	s, err := standin.Start(standin.Config{Groups: []member.Config{cfg}})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	conf := configuration.Empty()
	conf.Zones["z1"] = configuration.Zone{Region: "r", State: configuration.ZoneInService, Weight: 1}
	database := configuration.Database{Upstreams: map[ident.UpstreamName]configuration.Upstream{}}
	for _, m := range s.Groups["deckbook"].Members() {
		database.Upstreams[m.Name()] = configuration.Upstream{Zone: "z1", Address: m.Address(), Agent: m.AgentAddress(), Slots: 4, Connections: 16, State: configuration.UpstreamInService}
	}
	conf.Databases["deckbook"] = database
	x := &system{Standin: s}
	all := open{conf}
	var seeds []string
	for _, name := range []ident.VMName{"vm1", "vm2"} {
		meshListener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := meshListener.Addr().String()
		mesh, err := peer.New(peer.Config{Self: peer.Member{Name: name, Zone: "z1", Address: address, Incarnation: 1}, Listener: meshListener, SeedAddresses: seeds})
		assert.NilError(t, err)
		seeds = append(seeds, address)
		router := groupcontroller.New(groupcontroller.Options{
			Mesh: mesh, Platform: objectapi.NewHTTPClient(s.Platform.Address()), Configuration: all,
			NewAgent: func(_ ident.GroupName, _ ident.UpstreamName, a string) group.Agent { return group.NewHTTPAgent(a) },
		})
		mesh.Start()
		t.Cleanup(mesh.Close)
		router.Start()
		t.Cleanup(router.Stop)
		pools := upstream.New(upstream.Config{Credentials: upstream.Credentials{User: "u", Password: "p"}})
		t.Cleanup(pools.Close)
		x.newServer = func() *frontend.Server {
			return frontend.NewServer(frontend.Config{Authoriser: all, Limiter: all, Router: router, Pools: pools})
		}
		x.restart(t)
	}
	return x
}

func (s *system) url() string { return "postgres://org@" + s.address + "/deckbook?sslmode=disable" }

func (s *system) connect(t *testing.T) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), s.url())
	assert.NilError(t, err)
	return c
}

// Guards against ordinary use of drivers failing through the proxy.
func TestDriversThroughTheProxy(t *testing.T) {
	s := startSystem(t)
	ctx := t.Context()
	c := s.connect(t)
	_, err := c.Exec(ctx, "CREATE TABLE t (id int PRIMARY KEY, v text)")
	assert.NilError(t, err)
	tag, err := c.PgConn().CopyFrom(ctx, strings.NewReader("1\ta\n2\tb\n"), "COPY t FROM STDIN")
	assert.NilError(t, err)
	assert.Equal(t, tag.String(), "COPY 2")
	batch := &pgx.Batch{}
	for i := 3; i <= 6; i++ {
		batch.Queue("INSERT INTO t VALUES ($1, $2)", i, "c")
	}
	batch.Queue("SELECT count(*) FROM t")
	results := c.SendBatch(ctx, batch)
	for range 4 {
		_, err := results.Exec()
		assert.NilError(t, err)
	}
	var count int
	assert.NilError(t, results.QueryRow().Scan(&count))
	assert.NilError(t, results.Close())
	assert.Equal(t, count, 6)
	_, err = c.Exec(ctx, "INSERT INTO t VALUES (1, 'again')")
	var pg *pgconn.PgError
	assert.Assert(t, errors.As(err, &pg) && pg.Code == "23505", "%v", err)

	db, err := sql.Open("pgx", s.url())
	assert.NilError(t, err)
	defer db.Close()
	tx, err := db.BeginTx(ctx, &sql.TxOptions{ReadOnly: true})
	assert.NilError(t, err)
	assert.NilError(t, tx.QueryRow("SELECT count(*) FROM t").Scan(&count))
	_, err = tx.Exec("DELETE FROM t")
	assert.Assert(t, errors.As(err, &pg) && pg.Code == "25006", "%v", err)
	assert.NilError(t, tx.Rollback())
	tx, err = db.Begin()
	assert.NilError(t, err)
	_, err = tx.Exec("DELETE FROM t WHERE id > $1", 2)
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit())
	assert.NilError(t, db.QueryRow("SELECT count(*) FROM t").Scan(&count))
	assert.Equal(t, count, 2)
	// A read that finds no replica proved within a few milliseconds goes to the primary,
	// which a busy machine makes likely for any single read.
	for end := time.Now().Add(30 * time.Second); s.server.Counters().ReadsReplica.Load() == 0 && time.Now().Before(end); {
		assert.NilError(t, db.QueryRow("SELECT count(*) FROM t").Scan(&count))
		assert.Equal(t, count, 2)
	}
	assert.Assert(t, s.server.Counters().ReadsReplica.Load() > 0)
}

// Guards against reads that hang or fail because the replica that runs them stops
// without closing its connections.
func TestReadsSurviveAPausedReplica(t *testing.T) {
	s := startSystem(t)
	c := s.connect(t)
	_, err := c.Exec(t.Context(), "CREATE TABLE t (id int)")
	assert.NilError(t, err)
	var readers sync.WaitGroup
	var mu sync.Mutex
	reads := 0
	stop := make(chan struct{})
	for range 4 {
		conn := s.connect(t)
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				var n int
				if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM t").Scan(&n); err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				reads++
				mu.Unlock()
			}
		})
	}
	count := func() int { mu.Lock(); defer mu.Unlock(); return reads }
	for count() < 100 {
		time.Sleep(time.Millisecond)
	}
	s.Groups["deckbook"].Member("b").Pause()
	before := s.server.Counters().ReadsReplica.Load()
	for goal := count() + 200; count() < goal; {
		time.Sleep(time.Millisecond)
	}
	close(stop)
	readers.Wait() // also the reader that was on the paused replica
	assert.Assert(t, s.server.Counters().ReadsReplica.Load() > before)
}

// outcome records what callers were told about each write.
type outcome struct {
	mu             sync.Mutex
	acked, refused []int
	unknown        int
	// lost are errors of the connection itself, which there must be none of.
	lost []error
}

func (o *outcome) note(id int, err error) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	var pg *pgconn.PgError
	switch {
	case err == nil:
		o.acked = append(o.acked, id)
	case errors.As(err, &pg) && pg.Code == "08007":
		o.unknown++
	case !errors.As(err, &pg):
		o.lost = append(o.lost, err)
	default:
		o.refused = append(o.refused, id)
	}
	return len(o.lost) == 0
}

func (o *outcome) lostCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.lost)
}

func (o *outcome) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.acked)
}

// Guards against lost acknowledged writes, writes that run twice and false "not
// run" answers while the primary is killed or its answers are lost, for single
// writes and transactions.
func TestWritesUnderFaults(t *testing.T) {
	faults := func(kinds ...member.AnswerFault) func(*system, func(int)) {
		return func(s *system, wait func(int)) {
			for range 5 {
				for _, kind := range kinds {
					s.Groups["deckbook"].Member("a").FailSQLAnswers(kind, 2, 10*time.Millisecond)
					wait(10)
				}
			}
		}
	}
	for name, disturb := range map[string]func(s *system, wait func(int)){
		"primary killed":  func(s *system, wait func(int)) { wait(100); s.Groups["deckbook"].Member("a").Kill(); wait(100) },
		"primary paused":  func(s *system, wait func(int)) { wait(100); s.Groups["deckbook"].Member("a").Pause(); wait(100) },
		"answers lost":    faults(member.CloseBeforeAnswer),
		"answers doubled": faults(member.DuplicateAnswer),
		"answers delayed": faults(member.DelayAnswer, member.CloseBeforeAnswer),
	} {
		t.Run(name, func(t *testing.T) { writeUnder(t, disturb) })
	}
}

// writeUnder runs writers while disturb disturbs, and compares what callers were
// told with the rows at the end.
func writeUnder(t *testing.T, disturb func(s *system, wait func(acknowledged int))) {
	s := startSystem(t)
	c := s.connect(t)
	_, err := c.Exec(t.Context(), "CREATE TABLE w (id int)")
	assert.NilError(t, err)
	var o outcome
	var writers sync.WaitGroup
	stop := make(chan struct{})
	for w := range 6 {
		conn := s.connect(t)
		writers.Go(func() {
			for i := w; ; i += 6 {
				select {
				case <-stop:
					return
				default:
				}
				if err := write(conn, i, w%2 == 0); !o.note(i, err) {
					return
				}
			}
		})
	}
	disturb(s, func(n int) {
		n += o.count()
		for deadline := time.Now().Add(30 * time.Second); o.count() < n; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "%d writes acknowledged", o.count())
			assert.Equal(t, o.lostCount(), 0, "%v", o.lost)
		}
	})
	close(stop)
	writers.Wait()
	assert.Equal(t, len(o.lost), 0, "%v", o.lost)
	o.compare(t, c)
	t.Logf("%d acknowledged, %d refused as not run, %d unknown; counters %v", len(o.acked), len(o.refused), o.unknown, s.server.Counters().Snapshot())
}

// compare asserts that the rows agree with what callers were told.
func (o *outcome) compare(t *testing.T, c *pgx.Conn) {
	seen := map[int]int{}
	rows, err := c.Query(t.Context(), "SELECT id FROM w")
	assert.NilError(t, err)
	for rows.Next() {
		var id int
		assert.NilError(t, rows.Scan(&id))
		seen[id]++
	}
	assert.NilError(t, rows.Err())
	for _, id := range o.acked {
		assert.Equal(t, seen[id], 1, "acknowledged write %d", id)
	}
	for _, id := range o.refused {
		assert.Equal(t, seen[id], 0, "refused write %d", id)
	}
	for id, n := range seen {
		assert.Equal(t, n, 1, "write %d", id)
	}
}

// write inserts one row by itself or in a transaction.
func write(c *pgx.Conn, id int, alone bool) error {
	ctx := context.Background()
	if alone {
		_, err := c.Exec(ctx, "INSERT INTO w VALUES ($1)", id)
		return err
	}
	return pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
		_, err := tx.Exec(ctx, fmt.Sprintf("INSERT INTO w VALUES (%d)", id))
		return err
	})
}

// Guards against drivers without pauses that a planned stop disconnects without a response, and
// against writes that it reports wrongly.
func TestPlannedStopLosesNoResponse(t *testing.T) {
	s := startSystem(t)
	direct := s.connect(t)
	_, err := direct.Exec(t.Context(), "CREATE TABLE w (id int)")
	assert.NilError(t, err)
	var o outcome
	var writers sync.WaitGroup
	const count = 16
	for w := range count {
		conn := s.connect(t)
		writers.Go(func() {
			for i := w; ; i += count {
				err := write(conn, i, w%2 == 0)
				if !o.note(i, err) || conn.IsClosed() {
					return
				}
			}
		})
	}
	for o.count() < 100 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	assert.NilError(t, s.server.Drain(ctx))
	writers.Wait()
	assert.Equal(t, len(o.lost), 0, "%v", o.lost)
	assert.Equal(t, o.unknown, 0)
	s.restart(t)
	o.compare(t, s.connect(t))
}

// restart serves with a new server in place of one that was drained.
func (s *system) restart(t *testing.T) {
	t.Helper()
	s.server = s.newServer()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = l.Addr().String()
	go s.server.Serve(l)
}
