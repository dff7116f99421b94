package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	kindRequest Kind = iota + 16
	kindResult
)

// mirrorHandler records the requests of kindRequest, and responds to kindResult with result.
type mirrorHandler struct {
	requests chan execution.Request
	result   execution.Result
}

func (m *mirrorHandler) Handle(_ context.Context, _ Peer, kind Kind, body cbor.RawMessage) any {
	var r execution.Request
	if kind == kindResult {
		return m.result
	}
	if Decode(body, &r) != nil {
		return Rejected
	}
	m.requests <- r
	return true
}

func (m *mirrorHandler) Closed(Peer) {}

func startMirror(t testing.TB) (*mirrorHandler, *Client) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	m := &mirrorHandler{requests: make(chan execution.Request, 1)}
	s := NewServer(m, zerolog.Nop())
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	c := NewClient(Identity{Version: ProtocolVersion, VM: "vm-1"}, l.Addr().String(), func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	})
	t.Cleanup(c.Reset)
	return m, c
}

// assertCarried sends the values to another VM as the fields of a request and of a result, and
// compares what arrives with what was sent.
func assertCarried(t testing.TB, m *mirrorHandler, c *Client, value func() string) {
	request := execution.Request{
		Target:       execution.Target{Group: ident.GroupName(value()), Upstream: ident.UpstreamName(value()), Address: value()},
		Organisation: ident.OrganisationName(value()), Mode: execution.Continue, TransactionID: value(), ID: value(), Text: value(),
		SessionValues: map[string]string{value(): value(), "n" + value(): value()}, Prepared: &execution.Prepared{Name: value(), Text: value()},
	}
	var accepted bool
	assert.NilError(t, c.Call(t.Context(), kindRequest, request, &accepted), "%q", request.Text)
	assert.DeepEqual(t, <-m.requests, request)
	m.result = execution.Result{Outcome: execution.Done, Detail: value(), Tag: value(), Rows: []string{value(), "", value()}}
	var result execution.Result
	assert.NilError(t, c.Call(t.Context(), kindResult, true, &result), "%q", m.result.Rows)
	assert.DeepEqual(t, result, m.result)
}

// Guards against fields that the other VM refuses or gets changed because of their bytes: a
// statement would run on one VM and not through another one.
func TestFieldsKeepAllBytes(t *testing.T) {
	m, c := startMirror(t)
	for b := range 256 {
		for _, text := range []string{string([]byte{byte(b)}), "a" + string([]byte{byte(b)}) + "b", string([]byte{byte(b), byte(b)}) + " "} {
			assertCarried(t, m, c, func() string { return text })
		}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		assertCarried(t, m, c, func() string {
			text := make([]byte, random.IntN(300))
			for i := range text {
				text[i] = byte(random.Uint32())
			}
			return string(text)
		})
	}
}

// Guards against a request or a result below the maximum size that the other VM refuses because
// it has many fields.
func TestManyFieldsAreCarried(t *testing.T) {
	const fields = 1<<17 + 1
	m, c := startMirror(t)
	request := execution.Request{SessionValues: make(map[string]string, fields)}
	for i := range fields {
		request.SessionValues[fmt.Sprint(i)] = "v"
	}
	var accepted bool
	assert.NilError(t, c.Call(t.Context(), kindRequest, request, &accepted))
	assert.Equal(t, len((<-m.requests).SessionValues), fields)
	m.result = execution.Result{Outcome: execution.Done, Rows: make([]string, fields)}
	var result execution.Result
	assert.NilError(t, c.Call(t.Context(), kindResult, true, &result))
	assert.Equal(t, len(result.Rows), fields)
}
