package wire

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/framing"
)

// failingWriter fails its first write and keeps what the later ones write.
type failingWriter struct {
	failed bool
	after  bytes.Buffer
}

func (f *failingWriter) Write(p []byte) (int, error) {
	if !f.failed {
		f.failed = true
		return 0, errors.New("the connection has failed")
	}
	return f.after.Write(p)
}

// Guards against the large part of a frame that is sent although the part before it was not.
func TestNothingFollowsFailedWrite(t *testing.T) {
	f := &failingWriter{}
	w := NewWriter(f)
	assert.Assert(t, w.WriteFrame('d', make([]byte, directWriteBytes)) != nil)
	assert.Assert(t, w.Flush() != nil)
	assert.Equal(t, f.after.Len(), 0)
}

// Guards against a text that ends within its field, and against a writer that is not usable
// after it has rejected one.
func TestStringWithNULIsRejected(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	err := w.WriteStringFrame('Q', "SELECT 1\x00INSERT x")
	assert.Equal(t, framing.ReasonOf(err), framing.Field)
	assert.NilError(t, w.WriteStringFrame('Q', "a"))
	assert.NilError(t, w.Flush())
	assert.Equal(t, out.String(), "Q\x00\x00\x00\x06a\x00")
}
