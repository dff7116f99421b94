package relay

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// stalledConn is a connection whose peer stops to read: once stalled is set, a write blocks
// until the connection is closed.
type stalledConn struct {
	net.Conn
	stalled *atomic.Bool
	closed  chan struct{}
}

func (c *stalledConn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		<-c.closed
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(p)
}

func (c *stalledConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.Conn.Close()
}

// Guards against a request that outlasts its context because the other VM does not read.
func TestWriteEndsWithContextOfRequest(t *testing.T) {
	_, _, c := startPair(t)
	var stalled atomic.Bool
	closed := make(chan struct{})
	stalledClient := NewClient(c.self, c.address, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		return &stalledConn{conn, &stalled, closed}, err
	})
	var got string
	assert.NilError(t, stalledClient.Call(t.Context(), kindEcho, "x", &got))
	stalled.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	err := stalledClient.Call(ctx, kindEcho, "y", &got)
	assert.Assert(t, errors.Is(err, ErrNoResponse), "%v", err)
	select {
	case <-closed:
		t.Fatal("the request ended with the write")
	default:
	}
	<-closed // a write that fails closes the connection
}
