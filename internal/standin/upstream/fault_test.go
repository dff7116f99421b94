package upstream

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// brief returns a context that ends while a fault is certainly still active.
func brief(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// A paused member must answer nothing, keep its sockets, and go on afterwards.
func TestPause(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	exec(t, conn, "CREATE TABLE v (i int)")
	waitApplied(t, g, "b", 2)
	g.Member("a").Pause()
	_, err := agentOf(g, "a").Status(brief(t))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	answered := make(chan error)
	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO v VALUES (1)")
		answered <- err
	}()
	select {
	case err := <-answered:
		t.Fatalf("paused member answered: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	g.Member("a").Resume()
	assert.NilError(t, <-answered)
	waitApplied(t, g, "b", 3)
}

// Cuts must separate callers, agents and members independently, and by zone.
func TestCuts(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	a := g.Member("a").Endpoint()
	g.Network().CutBoth(Callers, a, true)
	_, err := agentOf(g, "a").Status(t.Context())
	assert.NilError(t, err)
	_, err = conn.Exec(brief(t), "SELECT 1")
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	g.Network().CutBoth(Callers, a, false)
	g.Network().CutBoth(Agents, a, true)
	_, err = agentOf(g, "a").Status(brief(t))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	conn = connect(t, g, "a")
	exec(t, conn, "SELECT 1")

	_, zone, err := net.ParseCIDR("127.0.9.0/24")
	assert.NilError(t, err)
	g.Network().SetZone(zone, "remote")
	g.Network().CutBoth(CallersIn("remote"), a, true)
	cfg, err := pgx.ParseConfig(dsn(g, "a"))
	assert.NilError(t, err)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.9.1")}}
	cfg.DialFunc = dialer.DialContext
	_, err = pgx.ConnectConfig(brief(t), cfg)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	exec(t, connect(t, g, "a"), "SELECT 1")
}

// The latency of each direction must hold back the bytes of that direction.
func TestLatency(t *testing.T) {
	g := startGroup(t, nil)
	exec(t, connect(t, g, "a"), "CREATE TABLE v (i int)")
	a := g.Member("a").Endpoint()
	for _, direction := range []struct {
		from, to string
		executed int
	}{{Callers, a, 0}, {a, Callers, 1}} {
		conn := connect(t, g, "a")
		g.Network().SetLatency(direction.from, direction.to, time.Hour)
		_, err := conn.Exec(brief(t), "INSERT INTO v VALUES (1) /* request:"+strings.ReplaceAll(direction.to, "/", "-")+" */", pgx.QueryExecModeSimpleProtocol)
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		eventually(t, "the request arrives", func() bool {
			return g.Markers()[strings.ReplaceAll(direction.to, "/", "-")].Executed == direction.executed
		})
		g.Network().SetLatency(direction.from, direction.to, 0)
	}
}

// A lost answer must leave the write in effect, and the marker counts must show
// a repeated write as doubled.
func TestLostAnswerAndMarkers(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	exec(t, conn, "CREATE TABLE v (i int)")
	write := "INSERT INTO v VALUES (1) /* request:r-17 */"
	g.Member("a").FailSQLAnswers(DropAnswer, 1, 0)
	_, err := conn.Exec(brief(t), write, pgx.QueryExecModeSimpleProtocol)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	eventually(t, "the write takes effect", func() bool { return g.Markers()["r-17"] == MarkerCount{Executed: 1, Committed: 1} })
	again := connect(t, g, "a")
	exec(t, again, write)
	assert.DeepEqual(t, g.Markers()["r-17"], MarkerCount{Executed: 2, Committed: 2})
	assert.Equal(t, number(t, again, "SELECT count(*) FROM v"), int64(2))
	g.Member("a").FailSQLAnswers(CloseBeforeAnswer, 1, 0)
	_, err = again.Exec(t.Context(), write, pgx.QueryExecModeSimpleProtocol)
	assert.Assert(t, err != nil)
	assert.Equal(t, g.Markers()["r-17"].Committed, 3)
}

// A duplicated answer must reach the client twice, and a delayed one late.
func TestDuplicateAndDelayedAnswer(t *testing.T) {
	g := startGroup(t, nil)
	frontend := rawClient(t, g)
	send := func() {
		frontend.SendQuery(queryMessage("SELECT 41 + 1"))
		assert.NilError(t, frontend.Flush())
	}
	g.Member("a").FailSQLAnswers(DuplicateAnswer, 1, 0)
	send()
	for range 2 {
		assert.Equal(t, answer(t, frontend), "row 42, SELECT 1, ready I")
	}
	conn := connect(t, g, "a")
	g.Member("a").FailSQLAnswers(DelayAnswer, 1, time.Hour)
	_, err := conn.Exec(brief(t), "SELECT 1", pgx.QueryExecModeSimpleProtocol)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	send()
	assert.Equal(t, answer(t, frontend), "row 42, SELECT 1, ready I", "the delay hit more than one answer")
}

// The effect of an agent call whose answer is lost must remain, and a delayed
// answer must be late.
func TestLostAgentAnswer(t *testing.T) {
	g := startGroup(t, nil)
	g.Member("b").FailAgentAnswers(DropAnswer, 1, 0)
	_, err := agentOf(g, "b").Fence(t.Context(), 2, "vm-1")
	assert.Assert(t, err != nil)
	status, err := agentOf(g, "b").Fence(t.Context(), 2, "vm-1")
	assert.NilError(t, err)
	assert.Equal(t, status.Term, ident.Term(2))
	g.Member("b").FailAgentAnswers(DelayAnswer, 1, time.Hour)
	_, err = agentOf(g, "b").Status(brief(t))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// The stream must show every change at once and break when the member dies or
// falls silent.
func TestStream(t *testing.T) {
	g := startGroup(t, nil)
	exec(t, connect(t, g, "a"), "CREATE TABLE v (i int)")
	ended := make(chan error, 2)
	seen := make(chan group.Status, 1000)
	go func() {
		ended <- agentOf(g, "b").Stream(context.Background(), func(s group.Status) { seen <- s })
	}()
	for status := range seen {
		if status.Applied.Position == 2 {
			break
		}
	}
	g.Member("b").Kill()
	assert.Assert(t, <-ended != nil)
	go func() { ended <- agentOf(g, "c").Stream(context.Background(), func(group.Status) {}) }()
	g.Member("c").Pause()
	assert.ErrorIs(t, <-ended, group.ErrUnresponsive)
}
