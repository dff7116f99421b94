package relay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a message that is cut short, and takes a part of the next one, because the call
// that sends it ends while it is written.
func TestEndedCallsKeepBoundaries(t *testing.T) {
	h, rejected, _ := startServer(t)
	close(h.release)
	c := h.client
	body := strings.Repeat("x", MaxFrameBytes/16)
	for i := range 30 {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Duration(i)*100*time.Microsecond, cancel)
		var got string
		err := c.Call(ctx, kindEcho, fmt.Sprint(i, " ", body), &got)
		assert.Assert(t, err == nil && len(got) > len(body) || err != nil && got == "", "%v", err)
		cancel()
		text := fmt.Sprint("small ", i)
		assert.NilError(t, c.Call(t.Context(), kindEcho, text, &got))
		assert.Equal(t, got, text)
	}
	assert.Equal(t, len(h.closed), 0, "the connection ended")
	assert.Equal(t, len(rejected), 0)
	for len(h.received) > 0 {
		text := <-h.received
		if !strings.HasPrefix(text, "small ") {
			number, rest, _ := strings.Cut(text, " ")
			assert.Assert(t, rest == body, "request %s has %d bytes", number, len(rest))
		}
	}
}
