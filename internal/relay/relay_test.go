package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

const (
	kindEcho Kind = iota + 1
	kindSilent
)

// echo answers kindEcho and nothing else.
type echo struct {
	closed chan Peer
	asked  chan struct{}
}

func (e *echo) Handle(_ context.Context, from Peer, kind Kind, body cbor.RawMessage) any {
	var text string
	if Decode(body, &text) != nil {
		return nil
	}
	if kind == kindEcho {
		return string(from.VM) + " " + text
	}
	e.asked <- struct{}{}
	return nil
}

func (e *echo) Closed(from Peer) { e.closed <- from }

func start(t *testing.T) (*echo, *Server, *Client) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	handler := &echo{closed: make(chan Peer, 8), asked: make(chan struct{}, 8)}
	s := NewServer(handler)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	}
	c := NewClient(Identity{Version: ProtocolVersion, VM: "vm-1"}, l.Addr().String(), dial)
	t.Cleanup(c.Reset)
	return handler, s, c
}

// Guards against answers that reach another question.
func TestResponsesMatchRequests(t *testing.T) {
	_, _, c := start(t)
	done := make(chan error, 20)
	for i := range 20 {
		go func() {
			text := string(rune('a' + i))
			var got string
			err := c.Call(context.Background(), kindEcho, text, &got)
			if err == nil && got != "vm-1 "+text {
				err = errors.Newf("%q answers %q", got, text)
			}
			done <- err
		}()
	}
	for range 20 {
		assert.NilError(t, <-done)
	}
}

// Guards against a question that counts as not sent although it may have been
// answered, and against one that waits for ever when the other VM dies.
func TestUnansweredRequestReturnsErrNoResponse(t *testing.T) {
	handler, s, c := start(t)
	failed := make(chan error, 1)
	go func() {
		var got string
		failed <- c.Call(context.Background(), kindSilent, "x", &got)
	}()
	<-handler.asked
	s.Close()
	err := <-failed
	assert.Assert(t, errors.Is(err, ErrNoResponse), "%v", err)
	assert.Assert(t, !errors.Is(err, ErrNotSent))
	assert.Equal(t, string((<-handler.closed).VM), "vm-1")
}

// Guards against a question that counts as sent although nothing listens, so that a
// statement would be in doubt for no reason.
func TestUnreachableVMReturnsErrNotSent(t *testing.T) {
	_, s, c := start(t)
	s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var got string
	err := c.Call(ctx, kindEcho, "x", &got)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
}

// Guards against VMs of another protocol version.
func TestUnknownProtocolVersionIsRefused(t *testing.T) {
	handler, _, c := start(t)
	c.self.Version = ProtocolVersion + 1
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var got string
	assert.Assert(t, c.Call(ctx, kindEcho, "x", &got) != nil)
	assert.Equal(t, len(handler.asked), 0)
}
