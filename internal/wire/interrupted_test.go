package wire

import (
	"bytes"
	"errors"
	"io"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// interruptedReader returns a timeout once, before the byte at the offset.
type interruptedReader struct {
	input  []byte
	offset int
	done   bool
}

func (s *interruptedReader) Read(p []byte) (int, error) {
	if !s.done && s.offset == 0 {
		s.done = true
		return 0, os.ErrDeadlineExceeded
	}
	if len(s.input) == 0 {
		return 0, io.EOF
	}
	n := min(len(p), len(s.input))
	if !s.done {
		n = min(n, s.offset)
		s.offset -= n
	}
	copy(p, s.input[:n])
	s.input = s.input[n:]
	return n, nil
}

// Guards against a frame that begins within the one before it after a read was interrupted, at
// every byte of a frame.
func TestInterruptedReadKeepsBoundaries(t *testing.T) {
	for _, size := range []int{0, 1, 100, idleBufferBytes, bufferBytes, bufferBytes + 1, 2 * bufferBytes} {
		var b bytes.Buffer
		w := NewWriter(&b)
		body := bytes.Repeat([]byte{'Q', 0, 0, 0, 4}, size/5+1)[:size]
		assert.NilError(t, w.WriteFrame('a', body))
		assert.NilError(t, w.WriteFrame('b', []byte("next")))
		assert.NilError(t, w.Flush())
		first := headerBytes + size
		step := max(1, size/97)
		for offset := 0; offset < first; offset += step {
			for name, use := range map[string]func(r *Reader, w *Writer) error{
				"forward": func(r *Reader, w *Writer) error { return r.Forward(w) },
				"run":     func(r *Reader, w *Writer) error { return r.ForwardRun(w, 'a') },
				"skip":    func(r *Reader, _ *Writer) error { return r.Skip() },
				"read":    func(r *Reader, _ *Writer) error { _, _, err := r.ReadFrame(); return err },
			} {
				r := NewReader(&interruptedReader{input: b.Bytes(), offset: offset}, 4*bufferBytes)
				var out bytes.Buffer
				w := NewWriter(&out)
				err := use(r, w)
				assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%s: %v", name, err)
				consumed := r.remaining > 0
				kind, frame, err := r.ReadFrame()
				assert.NilError(t, err)
				if !consumed {
					assert.Assert(t, kind == 'a' && len(frame) == first, "%s of %d bytes, interrupted at %d", name, size, offset)
					kind, frame, err = r.ReadFrame()
					assert.NilError(t, err)
				}
				assert.Assert(t, kind == 'b' && string(frame[headerBytes:]) == "next", "%s of %d bytes, interrupted at %d", name, size, offset)
				assert.NilError(t, w.Flush())
				assert.Assert(t, bytes.HasPrefix(b.Bytes()[:first], out.Bytes()))
				assert.Assert(t, first > bufferBytes || out.Len() == 0, "a part of a frame that fits the buffer was forwarded")
			}
		}
	}
}
