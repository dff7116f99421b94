package frontend

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// rig is a server between callers and a fake primary, with an optional replica.
type rig struct {
	t       *testing.T
	server  *Server
	control *fakeControl
	primary *fakeUpstream
	replica *fakeUpstream
	addr    string
}

// newRig starts a server; change may adjust its configuration.
func newRig(t *testing.T, withReplica bool, change func(*Config)) *rig {
	t.Helper()
	r := &rig{t: t, primary: newFakeUpstream(t), control: &fakeControl{}}
	r.control.primary = r.primary.target("one")
	if withReplica {
		r.replica = newFakeUpstream(t)
		r.replica.replica = true
		target := r.replica.target("two")
		r.control.replica = &target
	}
	pools := upstream.New(upstream.Config{Credentials: upstream.Credentials{User: "proxy", Password: "upstream-secret"}})
	cfg := Config{Authoriser: r.control, Limiter: r.control, Router: r.control, Pools: pools, Logger: zerolog.New(io.Discard).Hook(failOnPanic{t})}
	if change != nil {
		change(&cfg)
	}
	r.server = NewServer(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r.addr = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- r.server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = r.server.Drain(ctx)
		assert.NilError(t, <-served)
		pools.Close()
	})
	return r
}

func (r *rig) config(options string) *pgx.ConnConfig {
	r.t.Helper()
	cfg, err := pgx.ParseConfig("postgres://shop:" + testKey + "@" + r.addr + "/orders?sslmode=disable&" + options)
	assert.NilError(r.t, err)
	return cfg
}

func (r *rig) connect(options string) *pgx.Conn {
	r.t.Helper()
	c, err := pgx.ConnectConfig(r.t.Context(), r.config(options))
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func queryText(t *testing.T, c *pgx.Conn, sql string, args ...any) string {
	t.Helper()
	var v string
	assert.NilError(t, c.QueryRow(t.Context(), sql, args...).Scan(&v))
	return v
}

// Guards against the basic path failing in either protocol.
func TestSimpleAndExtendedQueries(t *testing.T) {
	r := newRig(t, false, nil)
	for _, options := range []string{"default_query_exec_mode=simple_protocol", "", "default_query_exec_mode=exec", "default_query_exec_mode=cache_describe"} {
		c := r.connect(options)
		for range 3 {
			assert.Equal(t, queryText(t, c, "SELECT hello"), "hello")
			if options == "" {
				assert.Equal(t, queryText(t, c, "SELECT $1", "arg"), "arg")
			}
			tag, err := c.Exec(t.Context(), "INSERT a")
			assert.NilError(t, err)
			assert.Equal(t, tag.String(), "INSERT 0 1")
		}
	}
	assert.Equal(t, r.primary.count("INSERT"), 12)
	assert.Equal(t, len(r.control.confirmed), 12)
}

func connectWith(t *testing.T, cfg *pgx.ConnConfig) (*pgx.Conn, error) {
	return pgx.ConnectConfig(t.Context(), cfg)
}
