package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const testTimeout = 30 * time.Second

// message is a WebSocket message of a test.
type message struct {
	text bool
	body []byte
}

func (m message) send(ctx context.Context, socket *websocket.Conn) {
	form := websocket.MessageBinary
	if m.text {
		form = websocket.MessageText
	}
	_ = socket.Write(ctx, form, m.body) // the VM may have closed the connection
}

func marshal(t testing.TB, v any) []byte {
	encoded, err := cbor.Marshal(v)
	assert.NilError(t, err)
	return encoded
}

// rejections collects the rejected messages of a VM.
type rejections chan string

func (r rejections) add(sent bool, err error) {
	r <- fmt.Sprint(sent, " ", framing.ReasonOf(err))
}

// next returns the next rejected message: whether it was to be sent, and the reason.
func (r rejections) next(t testing.TB) string {
	t.Helper()
	select {
	case text := <-r:
		return text
	case <-time.After(testTimeout):
		t.Fatal("no message is rejected")
		return ""
	}
}

// countingHandler counts the requests that it gets and echoes their text once release is closed.
type countingHandler struct {
	release  chan struct{}
	received chan string
	closed   chan Peer
	client   *Client // a client of the VM that handles the requests
}

func (h *countingHandler) Handle(ctx context.Context, _ Peer, _ Kind, body cbor.RawMessage) any {
	var text string
	if Decode(body, &text) != nil {
		return Rejected
	}
	h.received <- text
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	return text
}

func (h *countingHandler) Closed(from Peer) { h.closed <- from }

// startServer returns a VM that handles requests, and a function that opens a connection to it.
func startServer(t testing.TB) (*countingHandler, rejections, func() *websocket.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &countingHandler{release: make(chan struct{}), received: make(chan string, 64), closed: make(chan Peer, 64)}
	rejected := make(rejections, 64)
	s := NewServer(h, zerolog.Nop())
	s.OnRejected = func(_ ident.VMName, sent bool, err error) { rejected.add(sent, err) }
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	h.client = NewClient(Identity{Version: ProtocolVersion, VM: "vm-1"}, l.Addr().String(), func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	})
	t.Cleanup(h.client.Reset)
	return h, rejected, func() *websocket.Conn {
		socket, _, err := websocket.Dial(t.Context(), "ws://"+l.Addr().String()+path, nil)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = socket.CloseNow() })
		return socket
	}
}

// Guards against a message of another VM that is invalid and whose parts, or what follows it, are
// handled, and against one that ends the connection without a trace.
func TestInvalidRequestEndsConnection(t *testing.T) {
	echo := func(id uint64, text string) []byte {
		encoded, err := encodeRequest(id, kindEcho, text)
		assert.NilError(t, err)
		return encoded
	}
	response, err := encodeResponse(2, "text")
	assert.NilError(t, err)
	failure, err := encodeResponse(2, Failed)
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		sent   message
		reason framing.Reason
	}{
		"trailing byte":       {message{body: append(echo(2, "bad"), 0)}, framing.Encoding},
		"two requests":        {message{body: append(echo(2, "bad"), echo(3, "bad")...)}, framing.Encoding},
		"truncated":           {message{body: echo(2, "bad")[:7]}, framing.Encoding},
		"empty":               {message{}, framing.Encoding},
		"null":                {message{body: []byte{0xf6}}, framing.Encoding},
		"number":              {message{body: []byte{1}}, framing.Encoding},
		"duplicate field":     {message{body: []byte{0xa2, 1, 2, 1, 3}}, framing.Encoding},
		"text frame":          {message{text: true, body: echo(2, "bad")}, framing.Encoding},
		"response":            {message{body: response}, framing.Sequence},
		"response of failure": {message{body: failure}, framing.Sequence},
		"request without ID":  {message{body: echo(0, "bad")}, framing.Sequence},
		"ID in use":           {message{body: echo(1, "bad")}, framing.Sequence},
		"too large":           {message{body: make([]byte, MaxFrameBytes+1)}, framing.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			h, rejected, dial := startServer(t)
			other, socket := dial(), dial()
			for i, s := range []*websocket.Conn{other, socket} {
				message{body: marshal(t, Identity{Version: ProtocolVersion, VM: ident.VMName(fmt.Sprint("vm-", i))})}.send(t.Context(), s)
				message{body: echo(1, "good")}.send(t.Context(), s)
				assert.Equal(t, <-h.received, "good")
			}
			c.sent.send(t.Context(), socket)
			message{body: echo(4, "after")}.send(t.Context(), socket)
			assert.Equal(t, rejected.next(t), fmt.Sprint(false, " ", c.reason))
			assert.Equal(t, (<-h.closed).VM, ident.VMName("vm-1"))
			for n := 0; ; n++ {
				_, answer, err := socket.Read(t.Context())
				if err != nil {
					break
				}
				// The end of the connection ends the valid request, whose response may still be sent.
				var f frame
				assert.NilError(t, Decode(answer, &f))
				assert.Assert(t, n == 0 && f.ID == 1, "the connection goes on: %x", answer)
			}
			close(h.release)
			_, answer, err := other.Read(t.Context())
			assert.NilError(t, err, "a connection of another VM ends")
			var f frame
			assert.NilError(t, Decode(answer, &f))
			assert.Equal(t, f.ID, uint64(1))
			assert.Equal(t, len(h.received), 0, "a part of an invalid message, or one after it, is handled")
		})
	}
}

// Guards against a connection whose first message names no VM.
func TestInvalidIdentityEndsConnection(t *testing.T) {
	identity := marshal(t, Identity{Version: ProtocolVersion, VM: "vm-1"})
	for name, c := range map[string]struct {
		sent   message
		reason framing.Reason
	}{
		"trailing byte": {message{body: append(identity[:len(identity):len(identity)], 0)}, framing.Encoding},
		"text frame":    {message{text: true, body: identity}, framing.Encoding},
		"null":          {message{body: []byte{0xf6}}, framing.Encoding},
		"no name":       {message{body: marshal(t, Identity{Version: ProtocolVersion})}, framing.Sequence},
	} {
		t.Run(name, func(t *testing.T) {
			h, rejected, dial := startServer(t)
			socket := dial()
			c.sent.send(t.Context(), socket)
			assert.Equal(t, rejected.next(t), fmt.Sprint(false, " ", c.reason))
			_, _, err := socket.Read(t.Context())
			assert.Assert(t, err != nil, "the connection goes on")
			assert.Equal(t, len(h.received), 0)
		})
	}
}

// Guards against a request that is handled although its sender did not send all of it.
func TestInterruptedRequestIsNotHandled(t *testing.T) {
	h, rejected, dial := startServer(t)
	socket := dial()
	message{body: marshal(t, Identity{Version: ProtocolVersion, VM: "vm-1"})}.send(t.Context(), socket)
	encoded, err := encodeRequest(1, kindEcho, strings.Repeat("x", 100_000))
	assert.NilError(t, err)
	w, err := socket.Writer(t.Context(), websocket.MessageBinary)
	assert.NilError(t, err)
	for _, part := range [][]byte{encoded[:50_000], encoded[50_000:]} { // all bytes arrive, the end of the message does not
		_, err = w.Write(part)
		assert.NilError(t, err)
	}
	assert.NilError(t, socket.CloseNow())
	assert.Equal(t, (<-h.closed).VM, ident.VMName("vm-1"))
	assert.Equal(t, len(h.received), 0)
	assert.Equal(t, len(rejected), 0, "an interrupted message counts as invalid")
}

// scriptedServer accepts connections and answers each request with the messages of respond.
func scriptedServer(t testing.TB, respond func(f frame) []message) (*Client, rejections) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		socket, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer socket.CloseNow()
		socket.SetReadLimit(MaxFrameBytes)
		var identity Identity
		if readFrame(r.Context(), socket, &identity) != nil {
			return
		}
		for {
			var f frame
			if readFrame(r.Context(), socket, &f) != nil {
				return
			}
			for _, m := range respond(f) {
				m.send(r.Context(), socket)
			}
		}
	}))
	t.Cleanup(server.Close)
	c := NewClient(Identity{Version: ProtocolVersion, VM: "vm-1"}, server.Listener.Addr().String(), func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	})
	t.Cleanup(c.Reset)
	rejected := make(rejections, 64)
	c.OnRejected = rejected.add
	return c, rejected
}

// Guards against a message that is taken for the response to a request, and against an invalid one
// that leaves the connection open or the requests waiting.
func TestInvalidResponseEndsConnection(t *testing.T) {
	response := func(id uint64, body any) []byte {
		encoded, err := encodeResponse(id, body)
		assert.NilError(t, err)
		return encoded
	}
	for name, c := range map[string]struct {
		sent   func(id uint64) message
		reason framing.Reason
	}{
		"trailing byte": {func(id uint64) message { return message{body: append(response(id, "forged"), 0)} }, framing.Encoding},
		"two responses": {func(id uint64) message {
			return message{body: append(response(id, "forged"), response(id, "forged")...)}
		}, framing.Encoding},
		"truncated":  {func(id uint64) message { return message{body: response(id, "forged")[:9]} }, framing.Encoding},
		"empty":      {func(uint64) message { return message{} }, framing.Encoding},
		"null":       {func(uint64) message { return message{body: []byte{0xf6}} }, framing.Encoding},
		"text frame": {func(id uint64) message { return message{text: true, body: response(id, "forged")} }, framing.Encoding},
		"request":    {func(id uint64) message { return message{body: marshal(t, frame{ID: id, Kind: 1, Body: []byte{1}})} }, framing.Sequence},
		"unknown ID": {func(id uint64) message { return message{body: response(id+1000, "forged")} }, framing.Sequence},
		"ID of zero": {func(uint64) message { return message{body: response(0, "forged")} }, framing.Sequence},
		"too large":  {func(uint64) message { return message{body: make([]byte, MaxFrameBytes+1)} }, framing.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			waiting := make(chan struct{}, 1)
			client, rejected := scriptedServer(t, func(f frame) []message {
				if f.Kind == kindNoResponse {
					waiting <- struct{}{}
					return nil
				}
				return []message{c.sent(f.ID)}
			})
			ended := make(chan error, 1)
			go func() {
				var got string
				ended <- client.Call(t.Context(), kindNoResponse, "x", &got)
			}()
			<-waiting
			var got string
			err := client.Call(t.Context(), kindEcho, "y", &got)
			assert.Assert(t, errors.Is(err, ErrNoResponse), "%v", err)
			assert.Equal(t, got, "", "a forged response is delivered")
			assert.Assert(t, errors.Is(<-ended, ErrNoResponse))
			assert.Equal(t, rejected.next(t), fmt.Sprint(false, " ", c.reason))
		})
	}
}

// Guards against a response that reaches another request than its own: one that comes twice, late,
// or that holds a body of another kind.
func TestResponsesReachNoOtherRequest(t *testing.T) {
	var mu sync.Mutex
	var last []byte
	client, rejected := scriptedServer(t, func(f frame) []message {
		var text string
		assert.Check(t, Decode(f.Body, &text))
		encoded, err := encodeResponse(f.ID, text)
		assert.Check(t, err)
		mu.Lock()
		defer mu.Unlock()
		late := last
		last = encoded
		switch text {
		case "silent":
			return nil
		case "other kind":
			return []message{{body: marshal(t, frame{ID: f.ID, Response: true, Body: []byte{0x81, 1}})}}
		case "unknown failure":
			return []message{{body: marshal(t, frame{ID: f.ID, Response: true, Failure: 200})}}
		case "nothing":
			return []message{{body: marshal(t, frame{ID: f.ID, Response: true})}}
		}
		messages := []message{{body: encoded}, {body: encoded}}
		if late != nil {
			messages = append([]message{{body: late}}, messages...)
		}
		return messages
	})
	var got string
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = client.Call(ctx, kindEcho, "silent", &got)
	for i := range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		err := client.Call(ctx, kindEcho, "silent", &got)
		cancel()
		assert.Assert(t, errors.Is(err, ErrNoResponse) || errors.Is(err, ErrNotSent), "%v", err)
		assert.Equal(t, got, "")
		text := fmt.Sprint("text ", i)
		assert.NilError(t, client.Call(t.Context(), kindEcho, text, &got))
		assert.Equal(t, got, text)
		for _, invalid := range []string{"other kind", "nothing", "unknown failure"} {
			got = ""
			assert.Assert(t, client.Call(t.Context(), kindEcho, invalid, &got) != nil)
			assert.Equal(t, got, "")
		}
	}
	assert.Equal(t, len(rejected), 0)
}

// Guards against a request that is too large and is not reported.
func TestUnsentMessagesAreReported(t *testing.T) {
	client, rejected := scriptedServer(t, func(frame) []message { return nil })
	var got string
	assert.Assert(t, client.Call(t.Context(), kindEcho, strings.Repeat("x", MaxFrameBytes), &got) != nil)
	assert.Equal(t, rejected.next(t), "true too_large")

	_, s, c := startPair(t)
	rejected = make(rejections, 1)
	s.OnRejected = func(_ ident.VMName, sent bool, err error) { rejected.add(sent, err) }
	err := c.Call(t.Context(), kindEcho, sizedRequest(t, MaxFrameBytes), &got)
	assert.Assert(t, errors.Is(err, ErrResponseTooLarge), "%v", err)
	assert.Equal(t, rejected.next(t), "true too_large")
}
