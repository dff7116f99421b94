package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// headerSize is the size of a message header in bytes: type and length.
	headerSize = 5
	// bufferSize is the size of the buffer of a busy reader or writer, in bytes.
	bufferSize = 16 << 10
	// idleSize is the size in bytes of the buffer with which a reader waits for
	// the next message. It keeps idle callers small and holds most short queries.
	idleSize = 512
)

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// ErrTooLarge reports a frame above the reader's limit.
var ErrTooLarge = errors.New("message exceeds the size limit")

// ErrMalformed reports input that is not a PostgreSQL message.
var ErrMalformed = errors.New("malformed message")

// Reader reads frames.
type Reader struct {
	src    io.Reader
	buf    []byte
	pooled *[]byte
	start  int
	end    int
	limit  int
	// left is the number of bytes of a streamed frame that an error kept back.
	left int
}

// NewReader returns a reader that refuses frames with a body above limit bytes.
func NewReader(src io.Reader, limit int) *Reader { return &Reader{src: src, limit: limit} }

// SetSource replaces the source, for example after a TLS handshake. Input that
// was buffered before is an error, because it was not protected by TLS.
func (r *Reader) SetSource(src io.Reader) error {
	if r.Buffered() > 0 {
		return fmt.Errorf("%w: data before the TLS handshake", ErrMalformed)
	}
	r.src = src
	return nil
}

// SetLimit changes the largest accepted body in bytes.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// Buffered returns the number of bytes that can be read without blocking.
func (r *Reader) Buffered() int { return r.end - r.start }

// Release returns the buffer to the pool when it is empty.
func (r *Reader) Release() {
	if r.Buffered() > 0 {
		return
	}
	r.start, r.end = 0, 0
	if r.pooled != nil {
		buffers.Put(r.pooled)
		r.pooled, r.buf = nil, nil
	} else if len(r.buf) > idleSize {
		r.buf = nil
	}
}

// fill makes at least n bytes available in the buffer.
func (r *Reader) fill(n int) error {
	if r.Buffered() >= n {
		return nil
	}
	r.makeRoom(n)
	for r.Buffered() < n {
		m, err := r.src.Read(r.buf[r.end:])
		r.end += m
		if err != nil && r.Buffered() < n {
			if errors.Is(err, io.EOF) && r.Buffered() > 0 {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

func (r *Reader) makeRoom(n int) {
	if r.start == r.end {
		r.start, r.end = 0, 0
	}
	if n <= len(r.buf) {
		if r.start+n > len(r.buf) {
			r.end = copy(r.buf, r.buf[r.start:r.end])
			r.start = 0
		}
		return
	}
	old, oldPooled := r.buf[r.start:r.end], r.pooled
	switch {
	case n <= idleSize:
		r.buf, r.pooled = make([]byte, idleSize), nil
	case n <= bufferSize:
		r.pooled = buffers.Get().(*[]byte)
		r.buf = *r.pooled
	default:
		r.buf, r.pooled = make([]byte, n), nil
	}
	r.end = copy(r.buf, old)
	r.start = 0
	if oldPooled != nil {
		buffers.Put(oldPooled)
	}
}

// Grow gives the reader a full-size buffer, for sources that send bulk data.
func (r *Reader) Grow() {
	if len(r.buf) < bufferSize {
		r.makeRoom(bufferSize)
	}
}

// Peek returns the type and body length of the next frame without consuming it.
func (r *Reader) Peek() (kind byte, size int, err error) {
	if r.left > 0 {
		if err := r.stream(r.left, discard); err != nil {
			return 0, 0, err
		}
	}
	if err := r.fill(headerSize); err != nil {
		return 0, 0, err
	}
	length := int(int32(binary.BigEndian.Uint32(r.buf[r.start+1:])))
	if length < 4 {
		return 0, 0, fmt.Errorf("%w: length %d", ErrMalformed, length)
	}
	return r.buf[r.start], length - 4, nil
}

func discard([]byte) error { return nil }

// ReadMessage consumes a frame. The body is valid until the next call.
func (r *Reader) ReadMessage() (kind byte, body []byte, err error) {
	kind, frame, err := r.ReadFrame()
	if err != nil {
		return 0, nil, err
	}
	return kind, frame[headerSize:], nil
}

// ReadFrame consumes a frame and returns it with its header. It is valid until
// the next call.
func (r *Reader) ReadFrame() (kind byte, frame []byte, err error) {
	kind, size, err := r.Peek()
	if err != nil {
		return 0, nil, err
	}
	if size > r.limit {
		return kind, nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, r.limit)
	}
	if err := r.fill(headerSize + size); err != nil {
		return kind, nil, err
	}
	frame = r.buf[r.start : r.start+headerSize+size]
	r.start += headerSize + size
	return kind, frame, nil
}

// Forward consumes a frame of any size and writes it unchanged, holding at most
// one buffer of it.
func (r *Reader) Forward(w *Writer) error {
	_, size, err := r.Peek()
	if err != nil {
		return err
	}
	return r.stream(headerSize+size, func(part []byte) error { _, err := w.Write(part); return err })
}

// ForwardRun consumes the frames of one type that are completely buffered, at
// least one frame in any case, and writes them unchanged.
func (r *Reader) ForwardRun(w *Writer, kind byte) error {
	end := r.start
	for end+headerSize <= r.end && r.buf[end] == kind {
		length := int(binary.BigEndian.Uint32(r.buf[end+1:]))
		if length < 4 || length > r.end-end-1 {
			break
		}
		end += 1 + length
	}
	if end == r.start {
		return r.Forward(w)
	}
	run := r.buf[r.start:end]
	r.start = end
	_, err := w.Write(run)
	return err
}

// Skip consumes a frame of any size and drops it.
func (r *Reader) Skip() error {
	_, size, err := r.Peek()
	if err != nil {
		return err
	}
	return r.stream(headerSize+size, discard)
}

func (r *Reader) stream(size int, use func([]byte) error) error {
	r.left = size
	for r.left > 0 {
		if r.Buffered() == 0 {
			if r.left > idleSize {
				r.Grow()
			}
			if err := r.fill(1); err != nil {
				return err
			}
		}
		part := r.buf[r.start:min(r.end, r.start+r.left)]
		r.start += len(part)
		r.left -= len(part)
		if err := use(part); err != nil {
			return err
		}
	}
	return nil
}

// ReadStartup consumes a startup packet, which has no type byte, of at most limit
// bytes. The body is valid until the next call.
func (r *Reader) ReadStartup(limit int) ([]byte, error) {
	if err := r.fill(4); err != nil {
		return nil, err
	}
	length := int(int32(binary.BigEndian.Uint32(r.buf[r.start:])))
	if length < 8 || length > limit {
		return nil, fmt.Errorf("%w: startup packet length %d", ErrMalformed, length)
	}
	if err := r.fill(length); err != nil {
		return nil, err
	}
	body := r.buf[r.start+4 : r.start+length]
	r.start += length
	return body, nil
}
