package service_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/relay"
	"github.com/rosemarywall/rosemarywall/platform"
)

// lineUpstream is an upstream that accepts all messages and records them.
type lineUpstream struct {
	address string
	mu      sync.Mutex
	lines   []string
	dials   int
}

func startLineUpstream(t *testing.T) *lineUpstream {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &lineUpstream{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *lineUpstream) serve(conn net.Conn) {
	defer conn.Close()
	in, state := bufio.NewReader(conn), "I"
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		u.mu.Lock()
		u.lines = append(u.lines, line)
		u.mu.Unlock()
		response := "READY I -\r\n"
		if fields := strings.Fields(line); len(fields) > 2 && fields[0] == "QUERY" {
			switch fields[2] {
			case "BEGIN":
				state = "T"
			case "COMMIT", "ROLLBACK":
				state = "I"
			}
			response = "COMPLETE tag\r\nREADY " + state + " -\r\n"
		} else {
			u.mu.Lock()
			u.dials++
			u.mu.Unlock()
		}
		if _, err := conn.Write([]byte(response)); err != nil {
			return
		}
	}
}

// take returns the messages since the last call, and the number of connections so far.
func (u *lineUpstream) take() ([]string, int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	lines := u.lines
	u.lines = nil
	return lines, u.dials
}

// executingVM executes the statements of another VM.
type executingVM struct{ local *execution.Local }

func (e executingVM) Handle(ctx context.Context, _ relay.Peer, _ relay.Kind, body cbor.RawMessage) any {
	var r execution.Request
	if relay.Decode(body, &r) != nil || !r.Valid() {
		return relay.Rejected
	}
	return e.local.Execute(ctx, r)
}

func (executingVM) Closed(relay.Peer) {}

// Guards against a field of a request of another VM that an upstream reads as a message of its own
// or as another field, and against one that ends the use of the upstream or of its connection.
func TestFieldsOfRelayedRequestsStayFields(t *testing.T) {
	u := startLineUpstream(t)
	start := time.Now()
	local := execution.NewLocal(platform.Dialer{}.Dial, func() time.Duration { return time.Since(start) })
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := relay.NewServer(executingVM{local}, zerolog.Nop())
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Close)
	client := relay.NewClient(relay.Identity{Version: relay.ProtocolVersion, VM: "vm-1"}, l.Addr().String(), func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	})
	t.Cleanup(client.Reset)
	lastID := 0
	execute := func(mode execution.Mode, change func(*execution.Request)) execution.Result {
		t.Helper()
		r := execution.Request{Target: execution.Target{Group: "g", Upstream: "u", Address: u.address}, ConnectionLimit: 4, DialLimit: 4, Organisation: "acme",
			Weight: 1, Mode: mode, ID: "q", Text: "READ a", AcquireTimeout: time.Minute, Timeout: time.Minute}
		if mode >= execution.Begin {
			r.TransactionID = fmt.Sprint("t", lastID)
		}
		change(&r)
		var result execution.Result
		assert.NilError(t, client.Call(t.Context(), peers.KindExecute, r, &result))
		return result
	}
	none := func(*execution.Request) {}
	fields := map[string]func(*execution.Request, string){
		"group":         func(r *execution.Request, v string) { r.Target.Group = ident.GroupName(v) },
		"upstream":      func(r *execution.Request, v string) { r.Target.Upstream = ident.UpstreamName(v) },
		"organisation":  func(r *execution.Request, v string) { r.Organisation = ident.OrganisationName(v) },
		"id":            func(r *execution.Request, v string) { r.ID = v },
		"text":          func(r *execution.Request, v string) { r.Text = "READ " + v },
		"other text":    func(r *execution.Request, v string) { r.Text = v },
		"session name":  func(r *execution.Request, v string) { r.SessionValues = map[string]string{v: "x"} },
		"session value": func(r *execution.Request, v string) { r.SessionValues = map[string]string{"x": v} },
		"prepared text": func(r *execution.Request, v string) {
			r.Prepared = &execution.Prepared{Name: "p", Text: "PARSE p READ " + v}
		},
	}
	const forged = "forged WRITE a b"
	for name, set := range fields {
		for _, value := range []string{"a\nQUERY " + forged, "a\r\nQUERY " + forged, "a\rQUERY " + forged + "\r\n", "a\n", "\r\n" + forged} {
			bad := func(r *execution.Request) { set(r, value) }
			t.Run(fmt.Sprintf("%s %q", name, value), func(t *testing.T) {
				_, dialsBefore := u.take()
				assert.Equal(t, execute(execution.Single, none).Outcome, execution.Done)
				result := execute(execution.Single, bad)
				assert.Equal(t, result.Outcome, execution.NotRun)
				assert.Equal(t, result.Reason, execution.Malformed)
				assert.Equal(t, execute(execution.Single, none).Outcome, execution.Done)

				lastID++
				assert.Assert(t, execute(execution.Begin, none).TransactionOpen)
				if name != "group" && name != "upstream" && name != "organisation" { // a transaction has its connection
					result = execute(execution.Continue, bad)
					assert.Equal(t, result.Outcome, execution.NotRun)
					assert.Equal(t, result.Reason, execution.Malformed)
					assert.Assert(t, !result.TransactionOpen)
					assert.Equal(t, execute(execution.Continue, none).Reason, execution.NoTransaction)
				} else {
					local.Rollback(execution.Target{}, fmt.Sprint("t", lastID))
				}
				lastID++
				result = execute(execution.Begin, bad)
				assert.Equal(t, result.Reason, execution.Malformed)
				assert.Assert(t, !result.TransactionOpen)
				assert.Equal(t, execute(execution.Continue, none).Reason, execution.NoTransaction)
				assert.Equal(t, execute(execution.Single, none).Outcome, execution.Done)

				lines, dials := u.take()
				open := 0
				for _, line := range lines {
					assert.Assert(t, !strings.Contains(line, "forged"), "the upstream got %q", line)
					open += strings.Count(line, "BEGIN") - strings.Count(line, "ROLLBACK")
				}
				assert.Assert(t, open <= 1, "transactions stay open: %q", lines) // one may end with its connection
				assert.Assert(t, dials-dialsBefore <= 4, "%d connections", dials-dialsBefore)
			})
		}
	}
}
