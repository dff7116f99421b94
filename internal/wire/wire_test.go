package wire

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// timeoutReader returns a timeout before every byte.
type timeoutReader struct {
	r    io.Reader
	fail bool
}

func (s *timeoutReader) Read(p []byte) (int, error) {
	if s.fail = !s.fail; s.fail {
		return 0, os.ErrDeadlineExceeded
	}
	return s.r.Read(p[:1])
}

// encodeFrames returns encoded frames with body sizes around the buffer sizes.
func encodeFrames(t testing.TB) []byte {
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, n := range []int{0, 1, idleBufferBytes - headerBytes, idleBufferBytes, bufferBytes, 3 * bufferBytes} {
		assert.NilError(t, w.WriteFrame('d', bytes.Repeat([]byte{byte(n)}, n)))
	}
	assert.NilError(t, w.Flush())
	return b.Bytes()
}

// Guards against frames that are truncated, repeated or reordered at buffer
// boundaries, and against input lost after a timeout.
func TestFramesPassUnchanged(t *testing.T) {
	input := encodeFrames(t)
	for name, src := range map[string]io.Reader{
		"whole": bytes.NewReader(input), "bytes": iotest.OneByteReader(bytes.NewReader(input)), "timeouts": &timeoutReader{r: bytes.NewReader(input)},
	} {
		r := NewReader(src, 4*bufferBytes)
		var out bytes.Buffer
		w := NewWriter(&out)
		for n := 0; ; n++ {
			kind, _, err := r.Peek()
			if errors.Is(err, os.ErrDeadlineExceeded) {
				continue
			}
			if err == io.EOF {
				break
			}
			assert.NilError(t, err, name)
			assert.Equal(t, kind, byte('d'))
			if n%2 == 0 && name != "timeouts" {
				assert.NilError(t, r.Forward(w))
				continue
			}
			frame := nextFrame(t, r)
			_, err = w.Write(frame)
			assert.NilError(t, err)
		}
		assert.NilError(t, w.Flush())
		assert.Assert(t, bytes.Equal(out.Bytes(), input), name)
		r.Release()
		assert.Equal(t, r.pooled == nil && len(r.buf) <= idleBufferBytes, true, "an idle reader holds a large buffer")
	}
}

func nextFrame(t *testing.T, r *Reader) []byte {
	for {
		_, frame, err := r.ReadFrame()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		assert.NilError(t, err)
		return frame
	}
}

// Guards against unbounded memory use for large frames and against truncated input
// reported as a clean end of input.
func TestLimits(t *testing.T) {
	r := NewReader(bytes.NewReader(encodeFrames(t)), 100)
	var err error
	for err == nil {
		_, _, err = r.ReadMessage()
	}
	assert.ErrorIs(t, err, ErrTooLarge)
	r = NewReader(bytes.NewReader([]byte{'Q', 0, 0, 0, 9, 'x'}), 100)
	_, _, err = r.ReadMessage()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against panics, reads past the end of the input and frames that differ
// from it.
func FuzzReader(f *testing.F) {
	f.Add([]byte{'Q', 0, 0, 0, 5, 0})
	f.Add([]byte{'Q', 0, 0, 0, 3})
	f.Add([]byte{'Q', 0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f})
	f.Fuzz(func(t *testing.T, input []byte) {
		r := NewReader(iotest.OneByteReader(bytes.NewReader(input)), 1000)
		used := 0
		for {
			_, frame, err := r.ReadFrame()
			if err != nil {
				break
			}
			assert.Assert(t, bytes.Equal(frame, input[used:used+len(frame)]))
			used += len(frame)
			ErrorField(frame[headerBytes:], 'C')
			_, _, _ = ParseParameterStatus(frame[headerBytes:])
			_ = ValidateParameterTypes(frame[headerBytes:])
		}
		r = NewReader(bytes.NewReader(input), 1000)
		if body, err := r.ReadStartup(1000); err == nil {
			assert.Assert(t, len(body) >= 4 && len(body) <= len(input))
		}
	})
}
