package frontend

import (
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"gotest.tools/v3/assert"
)

// benchRig is a rig without a testing.T.
func benchRig(b testing.TB, change func(*Config)) (*fakeUpstream, string) {
	up := newFakeUpstream(b)
	control := &fakeControl{}
	control.primary = up.target("one")
	cfg := Config{Authoriser: control, Limiter: control, Router: control, Pools: upstream.New(upstream.Config{})}
	if change != nil {
		change(&cfg)
	}
	server := NewServer(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { l.Close(); cfg.Pools.Close() })
	return up, l.Addr().String()
}

// BenchmarkStatement compares statements sent to the upstream directly with those
// through the proxy, and writes with and without BEGIN and COMMIT of the proxy.
func BenchmarkStatement(b *testing.B) {
	for _, c := range []struct {
		name, sql     string
		direct, plain bool
	}{
		{"read/direct", "SELECT 1", true, false},
		{"read/proxy", "SELECT 1", false, false},
		{"rows10000/direct", "SELECT rows 10000", true, false},
		{"rows10000/proxy", "SELECT rows 10000", false, false},
		{"write/direct", "INSERT a", true, false},
		{"write/plain", "INSERT a", false, true},
		{"write/wrapped", "INSERT a", false, false},
	} {
		b.Run(c.name, func(b *testing.B) {
			up, addr := benchRig(b, func(cfg *Config) { cfg.PlainWrites = c.plain })
			up.noLog = true
			if c.direct {
				addr = up.addr
			}
			conn, err := pgx.Connect(b.Context(), "postgres://shop:"+testKey+"@"+addr+"/orders?sslmode=disable")
			assert.NilError(b, err)
			defer conn.Close(b.Context())
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Exec(b.Context(), c.sql, pgx.QueryExecModeCacheStatement); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// idleCaller logs in and returns the bare connection, so that little of the
// memory measured belongs to the caller's side.
func idleCaller(t testing.TB, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	out, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop", "database": "orders", "application_name": "idle"}}).Encode(nil)
	out, _ = (&pgproto3.PasswordMessage{Password: testKey}).Encode(out)
	out, _ = (&pgproto3.Query{String: "SELECT rows 100"}).Encode(out)
	_, err = c.Write(out)
	assert.NilError(t, err)
	buf := make([]byte, 1)
	for ready := 0; ready < 2; {
		_, err := io.ReadFull(c, buf)
		assert.NilError(t, err)
		kind := buf[0]
		var length [4]byte
		_, err = io.ReadFull(c, length[:])
		assert.NilError(t, err)
		n := int(length[2])<<8 + int(length[3]) - 4
		_, err = io.CopyN(io.Discard, c, int64(n))
		assert.NilError(t, err)
		if kind == 'Z' {
			ready++
		}
	}
	return c
}

// Guards against idle callers that hold more memory than the target of 20 KB. The
// figure includes the caller's side of each connection.
func TestIdleCallerMemory(t *testing.T) {
	const callers, limit = 500, 20 << 10
	_, addr := benchRig(t, nil)
	warm := idleCaller(t, addr)
	defer warm.Close()
	before := inUse()
	for range callers {
		c := idleCaller(t, addr)
		defer c.Close()
	}
	per := (inUse() - before) / callers
	t.Logf("%d bytes for each idle caller", per)
	assert.Assert(t, per <= limit, "%d bytes", per)
}

// inUse returns the bytes of heap and stacks in use after a collection.
func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
