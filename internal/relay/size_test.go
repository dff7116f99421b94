package relay

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// pendingRequest sends a request that the other VM handles until the connection ends, and
// returns a function that fails the test if the connection has ended.
func pendingRequest(t *testing.T, handler *echoHandler, c *Client) (assertPending func()) {
	ended := make(chan error, 1)
	go func() {
		var got string
		ended <- c.Call(t.Context(), kindNoResponse, "x", &got)
	}()
	<-handler.received
	return func() {
		t.Helper()
		var got string
		assert.NilError(t, c.Call(t.Context(), kindEcho, "y", &got)) // over the same connection, if it is open
		select {
		case err := <-ended:
			t.Fatalf("another request ended: %v", err)
		case <-handler.closed:
			t.Fatal("the connection ended")
		default:
		}
	}
}

// sizedRequest returns a body whose request frame has the given size.
func sizedRequest(t *testing.T, size int) string {
	encoded, err := encodeRequest(2, kindEcho, strings.Repeat("x", size/2))
	assert.NilError(t, err)
	return strings.Repeat("x", size/2+size-len(encoded))
}

// Guards against a request above the maximum size that ends the connection, and with it the
// requests and transactions of other clients, or that is reported as one that may have run.
func TestTooLargeRequestIsNotSent(t *testing.T) {
	handler, _, c := startPair(t)
	assertPending := pendingRequest(t, handler, c)
	var got string
	err := c.Call(t.Context(), kindEcho, strings.Repeat("x", MaxFrameBytes), &got)
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	assert.ErrorContains(t, err, "maximum")
	assertPending()
}

// Guards against a response above the maximum size that ends the connection, or after which the
// request is sent again or counts as not handled.
func TestTooLargeResponseFailsOnlyItsRequest(t *testing.T) {
	handler, _, c := startPair(t)
	assertPending := pendingRequest(t, handler, c)
	var got string
	// The handler adds the name of the VM to the text.
	err := c.Call(t.Context(), kindEcho, sizedRequest(t, MaxFrameBytes), &got)
	assert.Assert(t, errors.Is(err, ErrResponseTooLarge), "%v", err)
	assert.Assert(t, !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrRejected))
	assertPending()
}

// Guards against a maximum size that the sender and the receiver of a message count differently.
func TestLargestMessagesAreCarried(t *testing.T) {
	handler, _, c := startPair(t)
	assertPending := pendingRequest(t, handler, c)
	var got string
	text := sizedRequest(t, MaxFrameBytes-len("vm-1 "))
	assert.NilError(t, c.Call(t.Context(), kindEcho, text, &got))
	assert.Equal(t, len(got), len(text)+len("vm-1 "))
	assertPending()
}

// Guards against a request that waits until its time limit because its response cannot be
// encoded.
func TestUnencodableResponseFailsOnlyItsRequest(t *testing.T) {
	handler, _, c := startPair(t)
	assertPending := pendingRequest(t, handler, c)
	var got string
	err := c.Call(t.Context(), kindUnencodable, "x", &got)
	assert.Assert(t, errors.Is(err, ErrNoResponse), "%v", err)
	assertPending()
}
