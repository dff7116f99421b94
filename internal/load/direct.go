package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/fleet"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	directSlots       = 512
	directConnections = 1024
	// directSpan is the measured time of one row, after directWarmup.
	directSpan   = 3 * time.Second
	directWarmup = 500 * time.Millisecond
	// directRate is so high that no statement is refused for the rate.
	directRate  = 1e7
	idleCallers = 200
)

var directCallers = []int{1, 16, 256}

// DirectRow compares one proxy with a direct connection at a number of callers.
type DirectRow struct {
	Statement string  `json:"statement"`
	Callers   int     `json:"callers"`
	Direct    Latency `json:"direct"`
	Proxy     Latency `json:"proxy"`
	// DirectRate and ProxyRate are statements per second.
	DirectRate float64 `json:"direct_statements_per_s"`
	ProxyRate  float64 `json:"proxy_statements_per_s"`
}

// DirectReport is the result of a comparison.
type DirectReport struct {
	Rows []DirectRow `json:"rows"`
	// BytesPerIdleCaller is the growth of heap and stacks in use of the whole process
	// for each idle connection, the caller's side included.
	BytesPerIdleCaller int64 `json:"bytes_per_idle_caller"`
}

// RunDirect measures statements through one proxy and directly on the same
// stand-in, closed loop and without latencies.
func RunDirect(ctx context.Context, seed uint64, log zerolog.Logger) (*DirectReport, error) {
	cfg := fleet.Config{
		Zones:         []fleet.Zone{{Name: "a", Region: "one", VMs: 1}, {Name: "b", Region: "one", VMs: 1}, {Name: "c", Region: "one", VMs: 1}},
		Databases:     []ident.GroupName{"bench"},
		Organisations: []fleet.Organisation{{Name: "caller", Rate: directRate, Burst: directRate, Weight: 1}},
		Slots:         directSlots, Connections: directConnections, Seed: seed, Log: log,
	}
	r := &run{ctx: ctx, config: cfg, workload: newWorkload()}
	var err error
	if r.fleet, err = fleet.Start(cfg); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	vm := r.fleet.Names()[0]
	proxy := r.fleet.ConnectionString(vm, "caller", "bench")
	direct := r.fleet.DirectConnectionString(r.fleet.Standin.Groups["bench"].Primary(), "bench")
	report := &DirectReport{}
	token, err := writeOnce(ctx, proxy)
	if err != nil {
		return nil, errors.Wrap(err, "write for a token")
	}
	for _, mode := range []directMode{
		{"read, no token", directRead, ""}, {"read with token", directRead, "set " + tokenParameter + " = '" + token + "'"}, {"write", directWrite, ""},
	} {
		for _, callers := range directCallers {
			row := DirectRow{Statement: mode.name, Callers: callers}
			if row.Direct, row.DirectRate, err = closedLoop(ctx, direct, callers, directMode{sql: mode.sql}); err != nil {
				return nil, errors.Wrap(err, "direct")
			}
			if row.Proxy, row.ProxyRate, err = closedLoop(ctx, proxy, callers, mode); err != nil {
				return nil, errors.Wrap(err, "through the proxy")
			}
			report.Rows = append(report.Rows, row)
		}
	}
	report.BytesPerIdleCaller, err = idleMemory(ctx, proxy)
	return report, err
}

const (
	directRead  = "select number from load_fixed where number = 7"
	directWrite = "insert into load_record values (0, 1, 'direct')"
)

// directMode is a statement and what a caller sends before it.
type directMode struct{ name, sql, setup string }

// writeOnce writes through the proxy and returns the session token.
func writeOnce(ctx context.Context, address string) (string, error) {
	conn, err := pgconn.Connect(ctx, address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	for _, sql := range []string{"set " + tokenParameter + " = ''", directWrite} {
		if err := conn.Exec(ctx, sql).Close(); err != nil {
			return "", err
		}
	}
	token := conn.ParameterStatus(tokenParameter)
	if token == "" {
		return "", errors.New("no session token after a write")
	}
	return token, nil
}

// closedLoop lets every caller send the next statement when the last one is answered.
func closedLoop(ctx context.Context, address string, callers int, mode directMode) (Latency, float64, error) {
	conns := make([]*pgconn.PgConn, callers)
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close(ctx)
			}
		}
	}()
	for i := range conns {
		var err error
		if conns[i], err = pgconn.Connect(ctx, address); err != nil {
			return Latency{}, 0, err
		}
		if mode.setup != "" {
			if err := conns[i].Exec(ctx, mode.setup).Close(); err != nil {
				return Latency{}, 0, err
			}
		}
	}
	from := time.Now().Add(directWarmup)
	until := from.Add(directSpan)
	histograms := make([]*hdrhistogram.Histogram, callers)
	failures := make([]error, callers)
	var running sync.WaitGroup
	for i, conn := range conns {
		histograms[i] = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		running.Go(func() { failures[i] = loop(ctx, conn, mode.sql, histograms[i], from, until) })
	}
	running.Wait()
	all := hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
	for _, h := range histograms {
		all.Merge(h)
	}
	return summary(all), float64(all.TotalCount()) / directSpan.Seconds(), errors.Join(failures...)
}

func loop(ctx context.Context, conn *pgconn.PgConn, sql string, h *hdrhistogram.Histogram, from, until time.Time) error {
	for {
		start := time.Now()
		if start.After(until) {
			return nil
		}
		if result := conn.ExecParams(ctx, sql, nil, nil, nil, nil).Read(); result.Err != nil {
			return result.Err
		}
		if end := time.Now(); start.After(from) && end.Before(until) {
			_ = h.RecordValue(max(lowestLatency, end.Sub(start).Microseconds()))
		}
	}
}

// idleMemory returns the growth of the process for each idle caller. Callers drop
// the buffers of the PostgreSQL client, so that little of theirs is counted.
func idleMemory(ctx context.Context, address string) (int64, error) {
	conns := make([]net.Conn, 0, idleCallers)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	var before int64
	for i := range 2 * idleCallers {
		if i == idleCallers { // the first half fills pools and caches
			before = inUse()
		}
		conn, err := pgconn.Connect(ctx, address)
		if err != nil {
			return 0, err
		}
		if err := conn.Exec(ctx, "select 1").Close(); err != nil {
			return 0, err
		}
		bare, err := conn.Hijack()
		if err != nil {
			return 0, err
		}
		conns = append(conns, bare.Conn)
	}
	return (inUse() - before) / idleCallers, nil
}

// inUse returns the bytes of heap and stacks in use after a collection.
func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func (c Command) direct(ctx context.Context, out io.Writer, log zerolog.Logger) error {
	report, err := RunDirect(ctx, c.Seed, log)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(report)
	}
	_, err = fmt.Fprintf(out, "%s", report)
	return err
}

// String formats the report as a table.
func (d *DirectReport) String() string {
	text := "                 callers        statements/s            p50 (ms)               p99 (ms)\n" +
		"                           direct    proxy  ratio   direct    proxy  added   direct    proxy  added\n"
	for _, r := range d.Rows {
		text += fmt.Sprintf("%-16s %7d %8.0f %8.0f %6.3f %8.3f %8.3f %6.3f %8.3f %8.3f %6.3f\n", r.Statement, r.Callers, r.DirectRate, r.ProxyRate,
			r.ProxyRate/r.DirectRate, r.Direct.P50, r.Proxy.P50, r.Proxy.P50-r.Direct.P50, r.Direct.P99, r.Proxy.P99, r.Proxy.P99-r.Direct.P99)
	}
	return text + fmt.Sprintf("memory for each idle caller: %d bytes (heap and stacks, both ends of the connection)\n", d.BytesPerIdleCaller)
}
