package wire

import (
	"encoding/binary"
	"io"
	"strings"

	"github.com/rosemarywall/rosemarywall/internal/framing"
)

// directWriteBytes is the minimum size of a write that bypasses the buffer.
const directWriteBytes = bufferBytes / 2

// Writer buffers frames. It holds a buffer only between the first buffered write and
// the next Flush.
type Writer struct {
	dst    io.Writer
	pooled *[]byte
	n      int
	sent   int64
	err    error
}

// NewWriter returns a writer to dst.
func NewWriter(dst io.Writer) *Writer { return &Writer{dst: dst} }

// SetDestination replaces the destination, for example after a TLS handshake.
func (w *Writer) SetDestination(dst io.Writer) { w.dst = dst }

// Sent returns the number of bytes written to the destination so far.
func (w *Writer) Sent() int64 { return w.sent }

// Buffered returns the number of buffered bytes.
func (w *Writer) Buffered() int { return w.n }

// Err returns the error of the destination, if any. Later calls of Write discard
// their input.
func (w *Writer) Err() error { return w.err }

// Truncate discards all buffered bytes after the first n.
func (w *Writer) Truncate(n int) { w.n = min(w.n, n) }

// Position returns the number of bytes written so far, sent or buffered.
func (w *Writer) Position() int64 { return w.sent + int64(w.n) }

// Rewind discards what was written after the position. It reports false, and keeps all, if
// some of it was sent.
func (w *Writer) Rewind(position int64) bool {
	if position < w.sent {
		return false
	}
	w.Truncate(int(position - w.sent))
	return true
}

// Write buffers p and writes full buffers to the destination. Large writes bypass
// the buffer.
func (w *Writer) Write(p []byte) (int, error) {
	total := len(p)
	for len(p) > 0 && w.err == nil {
		if len(p) >= directWriteBytes {
			if w.n > 0 {
				w.send((*w.pooled)[:w.n])
				w.n = 0
			}
			if w.err == nil {
				w.send(p)
			}
			break
		}
		if w.pooled == nil {
			w.pooled = bufferPool.Get().(*[]byte)
		}
		m := copy((*w.pooled)[w.n:], p)
		w.n += m
		p = p[m:]
		if w.n == bufferBytes {
			w.send((*w.pooled)[:w.n])
			w.n = 0
		}
	}
	return total, w.err
}

func (w *Writer) send(p []byte) {
	n, err := w.dst.Write(p)
	w.sent += int64(n)
	if err != nil {
		w.err = err
	}
}

// Flush writes the buffered bytes and returns the buffer to the pool.
func (w *Writer) Flush() error {
	if w.n > 0 && w.err == nil {
		w.send((*w.pooled)[:w.n])
	}
	w.n = 0
	w.release()
	return w.err
}

func (w *Writer) release() {
	if w.pooled != nil {
		bufferPool.Put(w.pooled)
		w.pooled = nil
	}
}

// WriteFrame buffers a frame whose body is the concatenation of parts.
func (w *Writer) WriteFrame(kind byte, parts ...[]byte) error {
	size := 4
	for _, p := range parts {
		size += len(p)
	}
	var header [headerBytes]byte
	header[0] = kind
	binary.BigEndian.PutUint32(header[1:], uint32(size))
	w.Write(header[:])
	for _, p := range parts {
		w.Write(p)
	}
	return w.err
}

// WriteStringFrame buffers a frame whose body is a NUL-terminated string. It rejects a text that
// contains a NUL with a framing.Error and buffers nothing.
func (w *Writer) WriteStringFrame(kind byte, text string) error {
	if strings.IndexByte(text, 0) >= 0 {
		return framing.New(framing.Field, "text of message type %q contains a NUL", kind)
	}
	return w.WriteFrame(kind, []byte(text), nulTerminator)
}

var nulTerminator = []byte{0}
