package upstream

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

func seedAccounts(tb testing.TB, g *Group) {
	tb.Helper()
	a := connect(tb, g, "a")
	_, err := a.Exec(context.Background(), "CREATE TABLE account (id int PRIMARY KEY, name text)")
	assert.NilError(tb, err)
	_, err = a.Exec(context.Background(), "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 1000) INSERT INTO account SELECT i, 'name ' || i FROM n")
	assert.NilError(tb, err)
}

// BenchmarkSelect is the baseline for the overhead of a proxy: one direct pgx
// connection, one row by primary key.
func BenchmarkSelect(b *testing.B) {
	g := startGroup(b, nil)
	seedAccounts(b, g)
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeSimpleProtocol} {
		b.Run(mode.String(), func(b *testing.B) {
			conn := connect(b, g, "a")
			var name string
			for i := 0; b.Loop(); i++ {
				err := conn.QueryRow(context.Background(), "SELECT name FROM account WHERE id = $1", mode, i%1000+1).Scan(&name)
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
		})
	}
}

// BenchmarkWrite measures autocommitted updates on one direct connection.
func BenchmarkWrite(b *testing.B) {
	g := startGroup(b, nil)
	seedAccounts(b, g)
	conn := connect(b, g, "a")
	for i := 0; b.Loop(); i++ {
		if _, err := conn.Exec(context.Background(), "UPDATE account SET name = $2 WHERE id = $1", i%1000+1, "changed"); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}

// BenchmarkSelectParallel runs ten connections on a member with ten slots.
func BenchmarkSelectParallel(b *testing.B) {
	g := startGroup(b, func(cfg *Config) { cfg.Members[0].Slots = 10 })
	seedAccounts(b, g)
	b.SetParallelism(1)
	b.RunParallel(func(pb *testing.PB) {
		conn := connect(b, g, "a")
		var name string
		for i := 0; pb.Next(); i++ {
			if err := conn.QueryRow(context.Background(), "SELECT name FROM account WHERE id = $1", i%1000+1).Scan(&name); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
}
