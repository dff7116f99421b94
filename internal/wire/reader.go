package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// headerBytes is the size of a message header: type byte and length.
	headerBytes = 5
	// bufferBytes is the buffer size of an active reader or writer.
	bufferBytes = 16 << 10
	// idleBufferBytes is the buffer size of a reader that waits for the next message.
	// It limits the memory of idle clients and fits most short queries.
	idleBufferBytes = 512
)

var bufferPool = sync.Pool{New: func() any { b := make([]byte, bufferBytes); return &b }}

// ErrTooLarge is returned for a frame whose body exceeds the reader's limit.
var ErrTooLarge = errors.New("message exceeds the size limit")

// ErrMalformed is returned for input that is not a valid PostgreSQL message.
var ErrMalformed = errors.New("malformed message")

// ErrLength is an ErrMalformed for a length that no message can have, so that the end of the
// message is unknown.
var ErrLength = errors.New("length of a message")

// lengthError is an ErrLength.
type lengthError struct{ detail string }

func (e *lengthError) Error() string { return ErrMalformed.Error() + ": " + e.detail }

// Is implements the interface of errors.Is.
func (e *lengthError) Is(target error) bool { return target == ErrLength || target == ErrMalformed }

// Reader reads frames.
type Reader struct {
	src    io.Reader
	buf    []byte
	pooled *[]byte
	start  int
	end    int
	limit  int
	// remaining is the number of bytes of a streamed frame not yet consumed. It is
	// positive between calls only after an error.
	remaining int
}

// NewReader returns a reader that rejects frames with a body of more than limit
// bytes.
func NewReader(src io.Reader, limit int) *Reader { return &Reader{src: src, limit: limit} }

// SetSource replaces the source, for example after a TLS handshake. It fails if
// input is buffered, because that input was not protected by TLS.
func (r *Reader) SetSource(src io.Reader) error {
	if r.Buffered() > 0 {
		return fmt.Errorf("%w: data before the TLS handshake", ErrMalformed)
	}
	r.src = src
	return nil
}

// SetLimit sets the maximum accepted body size in bytes.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// Buffered returns the number of bytes of the next frames that can be read without blocking.
// The rest of a frame whose Forward or Skip has failed is no part of them.
func (r *Reader) Buffered() int { return max(0, r.available()-r.remaining) }

func (r *Reader) available() int { return r.end - r.start }

// Release gives up a large buffer if it is empty: it returns a pooled buffer to the
// pool and drops one that was allocated for a large frame.
func (r *Reader) Release() {
	if r.available() > 0 {
		return
	}
	r.start, r.end = 0, 0
	if r.pooled != nil {
		bufferPool.Put(r.pooled)
		r.pooled, r.buf = nil, nil
	} else if len(r.buf) > idleBufferBytes {
		r.buf = nil
	}
}

// fill reads until the buffer contains at least n bytes.
func (r *Reader) fill(n int) error {
	if r.available() >= n {
		return nil
	}
	r.ensureCapacity(n)
	for r.available() < n {
		m, err := r.src.Read(r.buf[r.end:])
		r.end += m
		if err != nil && r.available() < n {
			if errors.Is(err, io.EOF) && r.available() > 0 {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// ensureCapacity makes room for n bytes from the start of the buffered input. It
// moves the input to the front or replaces the buffer if necessary.
func (r *Reader) ensureCapacity(n int) {
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
	case n <= idleBufferBytes:
		r.buf, r.pooled = make([]byte, idleBufferBytes), nil
	case n <= bufferBytes:
		r.pooled = bufferPool.Get().(*[]byte)
		r.buf = *r.pooled
	default:
		r.buf, r.pooled = make([]byte, n), nil
	}
	r.end = copy(r.buf, old)
	r.start = 0
	if oldPooled != nil {
		bufferPool.Put(oldPooled)
	}
}

// Grow switches to a full-size buffer, for sources that send bulk data.
func (r *Reader) Grow() {
	if len(r.buf) < bufferBytes {
		r.ensureCapacity(bufferBytes)
	}
}

// Peek returns the type and body length of the next frame without consuming it.
func (r *Reader) Peek() (kind byte, size int, err error) {
	if r.remaining > 0 {
		if err := r.stream(r.remaining, discard); err != nil {
			return 0, 0, err
		}
	}
	if err := r.fill(headerBytes); err != nil {
		return 0, 0, err
	}
	length := int(int32(binary.BigEndian.Uint32(r.buf[r.start+1:])))
	if length < 4 {
		return 0, 0, &lengthError{fmt.Sprintf("length %d", length)}
	}
	return r.buf[r.start], length - 4, nil
}

func discard([]byte) error { return nil }

// ReadMessage consumes a frame and returns its type and body. The body is valid
// until the next call.
func (r *Reader) ReadMessage() (kind byte, body []byte, err error) {
	kind, frame, err := r.ReadFrame()
	if err != nil {
		return 0, nil, err
	}
	return kind, frame[headerBytes:], nil
}

// ReadFrame consumes a frame and returns its type and the frame with its header.
// The frame is valid until the next call.
func (r *Reader) ReadFrame() (kind byte, frame []byte, err error) {
	kind, size, err := r.Peek()
	if err != nil {
		return 0, nil, err
	}
	if size > r.limit {
		return kind, nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, r.limit)
	}
	if err := r.fill(headerBytes + size); err != nil {
		return kind, nil, err
	}
	frame = r.buf[r.start : r.start+headerBytes+size]
	r.start += headerBytes + size
	return kind, frame, nil
}

// Forward consumes a frame of any size and writes it to w unchanged. A frame that exceeds
// the buffer is streamed through it, so that w has a part of the frame if the source fails;
// see Writer.Rewind. A smaller one is written once it is complete.
func (r *Reader) Forward(w *Writer) error {
	_, size, err := r.Peek()
	if err != nil {
		return err
	}
	if headerBytes+size <= bufferBytes {
		if err := r.fill(headerBytes + size); err != nil {
			return err
		}
	}
	return r.stream(headerBytes+size, func(part []byte) error { _, err := w.Write(part); return err })
}

// ForwardRun consumes consecutive frames of one type that are completely buffered
// and writes them to w unchanged. If there are none, it forwards the next frame.
func (r *Reader) ForwardRun(w *Writer, kind byte) error {
	end := r.start
	for end+headerBytes <= r.end && r.buf[end] == kind {
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

// Skip consumes a frame of any size and discards it.
func (r *Reader) Skip() error {
	_, size, err := r.Peek()
	if err != nil {
		return err
	}
	return r.stream(headerBytes+size, discard)
}

// SkipRest discards the rest of a frame whose Skip has failed.
func (r *Reader) SkipRest() error { return r.stream(r.remaining, discard) }

// stream consumes size bytes and passes them to consume in chunks.
func (r *Reader) stream(size int, consume func([]byte) error) error {
	r.remaining = size
	for r.remaining > 0 {
		if r.available() == 0 {
			if r.remaining > idleBufferBytes {
				r.Grow()
			}
			if err := r.fill(1); err != nil {
				return err
			}
		}
		part := r.buf[r.start:min(r.end, r.start+r.remaining)]
		r.start += len(part)
		r.remaining -= len(part)
		if err := consume(part); err != nil {
			return err
		}
	}
	return nil
}

// ReadStartup consumes a startup packet of at most limit bytes and returns its
// body. A startup packet has no type byte. The body is valid until the next call.
func (r *Reader) ReadStartup(limit int) ([]byte, error) {
	if err := r.fill(4); err != nil {
		return nil, err
	}
	length := int(int32(binary.BigEndian.Uint32(r.buf[r.start:])))
	if length < 8 || length > limit {
		return nil, &lengthError{fmt.Sprintf("startup packet length %d", length)}
	}
	if err := r.fill(length); err != nil {
		return nil, err
	}
	body := r.buf[r.start+4 : r.start+length]
	r.start += length
	return body, nil
}
