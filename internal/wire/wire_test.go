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

// stutter fails with a timeout after every byte.
type stutter struct {
	r    io.Reader
	fail bool
}

func (s *stutter) Read(p []byte) (int, error) {
	if s.fail = !s.fail; s.fail {
		return 0, os.ErrDeadlineExceeded
	}
	return s.r.Read(p[:1])
}

// stream returns frames of many sizes.
func stream(t testing.TB) []byte {
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, n := range []int{0, 1, idleSize - headerSize, idleSize, bufferSize, 3 * bufferSize} {
		assert.NilError(t, w.WriteFrame('d', bytes.Repeat([]byte{byte(n)}, n)))
	}
	assert.NilError(t, w.Flush())
	return b.Bytes()
}

// Guards against frames being cut, repeated or reordered at buffer borders, and
// against input lost to a timeout.
func TestFramesPassUnchanged(t *testing.T) {
	input := stream(t)
	for name, src := range map[string]io.Reader{
		"whole": bytes.NewReader(input), "bytes": iotest.OneByteReader(bytes.NewReader(input)), "timeouts": &stutter{r: bytes.NewReader(input)},
	} {
		r := NewReader(src, 4*bufferSize)
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
		assert.Equal(t, r.pooled == nil && len(r.buf) <= idleSize, true, "an idle reader keeps a large buffer")
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

// Guards against unbounded memory for large frames and against truncated input
// taken for a clean end.
func TestLimits(t *testing.T) {
	r := NewReader(bytes.NewReader(stream(t)), 100)
	var err error
	for err == nil {
		_, _, err = r.ReadMessage()
	}
	assert.ErrorIs(t, err, ErrTooLarge)
	r = NewReader(bytes.NewReader([]byte{'Q', 0, 0, 0, 9, 'x'}), 100)
	_, _, err = r.ReadMessage()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against panics, reads past the input and frames that differ from it.
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
			ErrorField(frame[headerSize:], 'C')
			_, _, _ = ParseParameterStatus(frame[headerSize:])
			_ = ValidateParameterTypes(frame[headerSize:])
		}
		r = NewReader(bytes.NewReader(input), 1000)
		if body, err := r.ReadStartup(1000); err == nil {
			assert.Assert(t, len(body) >= 4 && len(body) <= len(input))
		}
	})
}
