package upstream

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// promote fences the members at the term, promotes one and lets the rest follow.
func promote(t *testing.T, g *Group, term ident.Term, chosen string, rest ...string) {
	t.Helper()
	for _, member := range append(rest, chosen) {
		status, err := agentOf(g, member).Fence(t.Context(), term, "vm-1")
		assert.NilError(t, err)
		assert.Assert(t, status.Fenced && status.Term == term)
	}
	status, err := agentOf(g, chosen).Promote(t.Context(), term, "vm-1")
	assert.NilError(t, err)
	assert.Equal(t, status.Received.Term, term, "promote wrote no entry of its term")
	for _, member := range rest {
		_, err := agentOf(g, member).Follow(t.Context(), term, identName(chosen), g.Member(identName(chosen)).AgentAddress())
		assert.NilError(t, err)
	}
}

// A replica must not show an entry before ship delay and lag have passed, and
// its status must tell received from applied.
func TestShipDelayAndLag(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	g.Member("b").SetReplication(0, time.Hour)
	g.Member("c").SetReplication(time.Hour, 0)
	exec(t, conn, "CREATE TABLE v (i int)")
	eventually(t, "b receives", func() bool { return g.Member("b").Status().Received.Position == 2 })
	assert.Equal(t, g.Member("b").Status().Applied.Position, ident.Position(1))
	assert.Equal(t, g.Member("c").Status().Received.Position, ident.Position(1))
	g.Member("b").SetReplication(0, 0)
	g.Member("c").SetReplication(0, 0)
	waitApplied(t, g, "b", 2)
	waitApplied(t, g, "c", 2)
}

// lag_ms must grow while the primary is out of reach, because the replica cannot
// prove that its state is current.
func TestLagMilliseconds(t *testing.T) {
	g := startGroup(t, nil)
	lag := func() int64 { return g.Member("b").Status().LagMilliseconds }
	eventually(t, "b is current", func() bool { return lag() < 100 })
	g.Network().CutBoth(g.Member("a").Endpoint(), g.Member("b").Endpoint(), true)
	eventually(t, "b grows older", func() bool { return lag() > 150 })
	g.Network().CutBoth(g.Member("a").Endpoint(), g.Member("b").Endpoint(), false)
	eventually(t, "b is current again", func() bool { return lag() < 100 })
}

// After a promotion the old primary must refuse writes, drop its diverging tail
// and show the state of the new primary.
func TestPromotionDropsDivergingTail(t *testing.T) {
	g := startGroup(t, nil)
	old := connect(t, g, "a")
	exec(t, old, "CREATE TABLE v (i int)", "INSERT INTO v VALUES (1)")
	waitApplied(t, g, "b", 3)
	waitApplied(t, g, "c", 3)
	for _, replica := range []string{"b", "c"} {
		g.Network().CutBoth(g.Member("a").Endpoint(), g.Member(identName(replica)).Endpoint(), true)
	}
	exec(t, old, "INSERT INTO v VALUES (2)")
	lost := old.PgConn().ParameterStatus("group_transaction")
	promote(t, g, 2, "b", "c")
	fresh := connect(t, g, "b")
	exec(t, fresh, "INSERT INTO v VALUES (3)")
	kept := fresh.PgConn().ParameterStatus("group_transaction")
	assert.Equal(t, fresh.PgConn().ParameterStatus("group_term"), "2")
	exec(t, old, "INSERT INTO v VALUES (4)") // Not fenced: only a confirmation could tell.
	status, err := agentOf(g, "a").Fence(t.Context(), 2, "vm-1")
	assert.NilError(t, err)
	assert.Equal(t, status.Received, ident.LogPoint{Term: 1, Position: 5})
	_, err = old.Exec(t.Context(), "INSERT INTO v VALUES (5)")
	assert.Equal(t, stateOf(err), "25006")
	for _, replica := range []string{"b", "c"} {
		g.Network().CutBoth(g.Member("a").Endpoint(), g.Member(identName(replica)).Endpoint(), false)
	}
	_, err = agentOf(g, "a").Follow(t.Context(), 2, "", g.Member("b").AgentAddress())
	assert.NilError(t, err)
	eventually(t, "a shows the log of b", func() bool {
		return g.Member("a").Status().Applied == ident.LogPoint{Term: 2, Position: 5}
	})
	assert.Equal(t, number(t, connect(t, g, "a"), "SELECT sum(i) FROM v"), int64(4))
	for id, want := range map[string]group.TransactionState{lost: group.TransactionAborted, kept: group.TransactionCommitted} {
		state, err := agentOf(g, "b").Transaction(t.Context(), id)
		assert.NilError(t, err)
		assert.Equal(t, state, want)
	}
	state, err := agentOf(g, "a").Transaction(t.Context(), kept)
	assert.NilError(t, err)
	assert.Equal(t, state, group.TransactionUnknown, "a replica cannot decide")
}

// A fence must roll back the open transaction, whose commit is refused with 40001.
func TestFenceAbortsOpenTransaction(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	exec(t, conn, "CREATE TABLE v (i int)", "BEGIN", "INSERT INTO v VALUES (1)")
	id := conn.PgConn().ParameterStatus("group_transaction")
	state, err := agentOf(g, "a").Transaction(t.Context(), id)
	assert.NilError(t, err)
	assert.Equal(t, state, group.TransactionInProgress)
	_, err = agentOf(g, "a").Fence(t.Context(), 2, "vm-1")
	assert.NilError(t, err)
	_, err = conn.Exec(t.Context(), "COMMIT")
	assert.Equal(t, stateOf(err), "40001")
	assert.Equal(t, conn.PgConn().TxStatus(), byte('I'))
	assert.Equal(t, number(t, conn, "SELECT count(*) FROM v"), int64(0))
	_, err = agentOf(g, "a").Promote(t.Context(), 2, "vm-1")
	assert.NilError(t, err)
	state, err = agentOf(g, "a").Transaction(t.Context(), id)
	assert.NilError(t, err)
	assert.Equal(t, state, group.TransactionAborted)
}

// Two proposers of one term must not both fence a member, and only the proposer
// that fenced it may promote it.
func TestFenceRules(t *testing.T) {
	g := startGroup(t, nil)
	b := agentOf(g, "b")
	_, err := b.Fence(t.Context(), 1, "vm-1")
	assert.ErrorIs(t, err, group.ErrRefused)
	_, err = b.Fence(t.Context(), 2, "vm-1")
	assert.NilError(t, err)
	_, err = b.Fence(t.Context(), 2, "vm-1")
	assert.NilError(t, err, "a repeat by the same proposer must be accepted")
	_, err = b.Fence(t.Context(), 2, "vm-2")
	assert.ErrorIs(t, err, group.ErrRefused)
	_, err = b.Promote(t.Context(), 2, "vm-2")
	assert.ErrorIs(t, err, group.ErrRefused)
	_, err = b.Follow(t.Context(), 1, "a", "")
	assert.ErrorIs(t, err, group.ErrRefused)
	exec(t, connect(t, g, "a"), "CREATE TABLE v (i int)")
	waitApplied(t, g, "c", 2)
	assert.Equal(t, g.Member("b").Status().Received.Position, ident.Position(1), "a fenced member took an entry of a lower term")
}

// A handover must let the running transaction finish and refuse new ones, so that
// the final position holds every commit.
func TestHandover(t *testing.T) {
	g := startGroup(t, nil)
	running, other := connect(t, g, "a"), connect(t, g, "a")
	exec(t, running, "CREATE TABLE v (i int)", "BEGIN", "INSERT INTO v VALUES (1)")
	statuses := make(chan group.Status)
	go func() {
		status, err := agentOf(g, "a").Handover(context.Background(), 1)
		if err != nil {
			t.Error(err)
		}
		statuses <- status
	}()
	eventually(t, "new writes are refused", func() bool { return !g.Member("a").takesWrites() })
	_, err := other.Exec(t.Context(), "INSERT INTO v VALUES (2)")
	assert.Equal(t, stateOf(err), "25006")
	exec(t, running, "INSERT INTO v VALUES (3)", "COMMIT")
	status := <-statuses
	assert.Equal(t, status.Received, ident.LogPoint{Term: 1, Position: 3})
	assert.Equal(t, running.PgConn().ParameterStatus("group_position"), "3")
}

// A restart must keep the log and have a higher incarnation.
func TestKillAndRestart(t *testing.T) {
	g := startGroup(t, nil)
	conn := connect(t, g, "a")
	exec(t, conn, "CREATE TABLE v (i int)", "INSERT INTO v VALUES (1)", "BEGIN", "INSERT INTO v VALUES (2)")
	before := g.Member("a").Status()
	g.Member("a").Kill()
	_, err := conn.Exec(t.Context(), "COMMIT")
	assert.Assert(t, err != nil)
	_, err = pgx.Connect(t.Context(), dsn(g, "a"))
	assert.ErrorContains(t, err, "refused")
	assert.NilError(t, g.Member("a").Restart())
	after, err := agentOf(g, "a").Status(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, after.Incarnation > before.Incarnation)
	assert.Equal(t, after.Received, before.Received)
	assert.Equal(t, number(t, connect(t, g, "a"), "SELECT sum(i) FROM v"), int64(1))
}
