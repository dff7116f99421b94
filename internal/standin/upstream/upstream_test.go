package upstream

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/group"
)

// startGroup starts members a, b and c without delays.
func startGroup(t testing.TB, change func(*Config)) *Group {
	t.Helper()
	cfg := Config{Name: "orders", User: "upstream", Password: "secret", Log: zerolog.Nop(),
		Members: []MemberConfig{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	if change != nil {
		change(&cfg)
	}
	g, err := Start(cfg, NewNetwork())
	assert.NilError(t, err)
	t.Cleanup(g.Close)
	return g
}

func connect(t testing.TB, g *Group, member string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, dsn(g, member))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func dsn(g *Group, member string) string {
	return fmt.Sprintf("postgres://upstream:secret@%s/orders?sslmode=disable", g.Member(identName(member)).Address())
}

func agentOf(g *Group, member string) *group.HTTPAgent {
	return group.NewHTTPAgent(g.Member(identName(member)).AgentAddress())
}

// A plain client must be able to write on the primary and read on a replica.
func TestWriteReachesReplica(t *testing.T) {
	g := startGroup(t, nil)
	ctx := t.Context()
	a := connect(t, g, "a")
	_, err := a.Exec(ctx, "CREATE TABLE account (id bigint PRIMARY KEY, name text NOT NULL, ratio float8, open bool, data bytea, price numeric)")
	assert.NilError(t, err)
	_, err = a.Exec(ctx, "INSERT INTO account VALUES ($1, $2, $3, $4, $5, $6)", 7, "seven", 1.5, true, []byte{1, 0, 2}, "3.25")
	assert.NilError(t, err)
	assert.Equal(t, a.PgConn().ParameterStatus("group_term"), "1")
	assert.Equal(t, a.PgConn().ParameterStatus("group_position"), "3")
	waitApplied(t, g, "b", 3)
	b := connect(t, g, "b")
	var id int64
	var name, price string
	var ratio float64
	var open bool
	var data []byte
	err = b.QueryRow(ctx, "SELECT id, name, ratio, open, data, price FROM account WHERE id = $1", 7).Scan(&id, &name, &ratio, &open, &data, &price)
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintln(id, name, ratio, open, data, price), "7 seven 1.5 true [1 0 2] 3.25\n")
	_, err = b.Exec(ctx, "DELETE FROM account")
	assert.Equal(t, stateOf(err), "25006")
}
