package wire

import (
	"encoding/binary"
	"io"
)

// directSize is the size in bytes from which a write bypasses the buffer.
const directSize = bufferSize / 2

// Writer buffers frames. Its buffer is held only between the first write and the
// flush.
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

// Sent returns the number of bytes handed to the destination so far.
func (w *Writer) Sent() int64 { return w.sent }

// Buffered returns the number of buffered bytes.
func (w *Writer) Buffered() int { return w.n }

// Err returns the first error of the destination.
func (w *Writer) Err() error { return w.err }

// Truncate drops the buffered bytes after the first n.
func (w *Writer) Truncate(n int) { w.n = min(w.n, n) }

// Write buffers p and writes full buffers to the destination.
func (w *Writer) Write(p []byte) (int, error) {
	total := len(p)
	for len(p) > 0 && w.err == nil {
		if len(p) >= directSize {
			if w.n > 0 {
				w.send((*w.pooled)[:w.n])
				w.n = 0
			}
			w.send(p)
			break
		}
		if w.pooled == nil {
			w.pooled = buffers.Get().(*[]byte)
		}
		m := copy((*w.pooled)[w.n:], p)
		w.n += m
		p = p[m:]
		if w.n == bufferSize {
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

// Flush writes the buffered bytes and releases the buffer.
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
		buffers.Put(w.pooled)
		w.pooled = nil
	}
}

// WriteFrame buffers a frame whose body is the concatenation of parts.
func (w *Writer) WriteFrame(kind byte, parts ...[]byte) error {
	size := 4
	for _, p := range parts {
		size += len(p)
	}
	var header [headerSize]byte
	header[0] = kind
	binary.BigEndian.PutUint32(header[1:], uint32(size))
	w.Write(header[:])
	for _, p := range parts {
		w.Write(p)
	}
	return w.err
}

// WriteStringFrame buffers a frame whose body is a zero-terminated string.
func (w *Writer) WriteStringFrame(kind byte, text string) error {
	return w.WriteFrame(kind, []byte(text), zero)
}

var zero = []byte{0}
