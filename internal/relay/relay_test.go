package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

const (
	kindEcho Kind = iota + 1
	kindNoResponse
	kindPanic
	kindUnencodable
)

// echoHandler responds to kindEcho, panics for kindPanic, returns a value that cannot be encoded
// for kindUnencodable, and blocks for other kinds until the connection ends.
type echoHandler struct {
	closed   chan Peer
	received chan struct{}
}

func (e *echoHandler) Handle(ctx context.Context, from Peer, kind Kind, body cbor.RawMessage) any {
	var text string
	if Decode(body, &text) != nil {
		return Rejected
	}
	switch kind {
	case kindEcho:
		return string(from.VM) + " " + text
	case kindPanic:
		panic(text)
	case kindUnencodable:
		return func() {}
	}
	e.received <- struct{}{}
	<-ctx.Done()
	return nil
}

func (e *echoHandler) Closed(from Peer) { e.closed <- from }

func startPair(t *testing.T) (*echoHandler, *Server, *Client) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	handler := &echoHandler{closed: make(chan Peer, 8), received: make(chan struct{}, maxConcurrentRequests)}
	s := NewServer(handler, zerolog.Nop())
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	}
	c := NewClient(Identity{Version: ProtocolVersion, VM: "vm-1"}, l.Addr().String(), dial)
	t.Cleanup(c.Reset)
	return handler, s, c
}

// Guards against responses that are delivered to another request.
func TestResponsesMatchRequests(t *testing.T) {
	_, _, c := startPair(t)
	done := make(chan error, 20)
	for i := range 20 {
		go func() {
			text := string(rune('a' + i))
			var got string
			err := c.Call(context.Background(), kindEcho, text, &got)
			if err == nil && got != "vm-1 "+text {
				err = errors.Newf("response %q to request %q", got, text)
			}
			done <- err
		}()
	}
	for range 20 {
		assert.NilError(t, <-done)
	}
}

// Guards against a request that is reported as not sent although the other VM may have
// handled it, and against a call that never returns after the other VM has failed.
func TestUnansweredRequestReturnsErrNoResponse(t *testing.T) {
	handler, s, c := startPair(t)
	failed := make(chan error, 1)
	go func() {
		var got string
		failed <- c.Call(context.Background(), kindNoResponse, "x", &got)
	}()
	<-handler.received
	s.Close()
	err := <-failed
	assert.Assert(t, errors.Is(err, ErrNoResponse), "%v", err)
	assert.Assert(t, !errors.Is(err, ErrNotSent))
	assert.Equal(t, string((<-handler.closed).VM), "vm-1")
}

// Guards against a request that is reported as sent although nothing listens. The outcome
// of its statement would be unknown for no reason.
func TestUnreachableVMReturnsErrNotSent(t *testing.T) {
	_, s, c := startPair(t)
	s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var got string
	err := c.Call(ctx, kindEcho, "x", &got)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

// Guards against requests of a VM with another protocol version being handled.
func TestUnknownProtocolVersionIsRefused(t *testing.T) {
	handler, _, c := startPair(t)
	c.self.Version = ProtocolVersion + 1
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var got string
	assert.Assert(t, c.Call(ctx, kindEcho, "x", &got) != nil)
	assert.Equal(t, len(handler.received), 0)
}

// Guards against a panic in one request that ends the process or the connection, and
// against one that is reported as not handled although it may have been in part.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	_, _, c := startPair(t)
	var got string
	err := c.Call(t.Context(), kindPanic, "x", &got)
	assert.Assert(t, errors.Is(err, ErrNoResponse), "%v", err)
	assert.NilError(t, c.Call(t.Context(), kindEcho, "y", &got))
	assert.Equal(t, got, "vm-1 y")
}

// Guards against a caller that waits until its deadline for the response to a request that
// the other VM cannot decode.
func TestMalformedRequestIsRejected(t *testing.T) {
	_, _, c := startPair(t)
	var got string
	err := c.Call(t.Context(), kindEcho, []int{1}, &got)
	assert.Assert(t, errors.Is(err, ErrRejected), "%v", err)
}

// Guards against a peer whose requests use up the memory of this VM, and against requests
// that are rejected after others have ended.
func TestConcurrentRequestsAreBounded(t *testing.T) {
	handler, _, c := startPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, maxConcurrentRequests)
	for range maxConcurrentRequests {
		go func() {
			var got string
			ended <- c.Call(ctx, kindNoResponse, "x", &got)
		}()
	}
	for range maxConcurrentRequests {
		<-handler.received
	}
	var got string
	err := c.Call(t.Context(), kindEcho, "y", &got)
	assert.Assert(t, errors.Is(err, ErrRejected), "%v", err)
	c.Reset()
	cancel()
	for range maxConcurrentRequests {
		assert.Assert(t, errors.Is(<-ended, ErrNoResponse))
	}
	assert.NilError(t, c.Call(t.Context(), kindEcho, "y", &got))
}

// Guards against a request that outlasts its context because its VM does not accept a
// connection.
func TestConnectionEndsWithContextOfRequest(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := NewClient(Identity{Version: ProtocolVersion, VM: "vm-2"}, "vm-1:1", func(context.Context, string) (net.Conn, error) {
			time.Sleep(dialTimeout)
			return nil, errors.New("no connection")
		})
		for _, limit := range []time.Duration{50 * time.Millisecond, dialTimeout / 2} {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			start := time.Now()
			var response string
			err := c.Call(ctx, kindEcho, "text", &response)
			assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
			assert.Equal(t, time.Since(start), limit)
			cancel()
		}
		time.Sleep(2 * dialTimeout) // the dials end
	})
}
