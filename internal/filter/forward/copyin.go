package forward

import (
	"errors"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// copyIn forwards CopyInResponse and streams the data of the client to the upstream. An
// early response of the upstream, which can only be an error, ends the stream.
func (x *exchange) copyIn(e *expectedResponse) error {
	if x.r.EndsWithFlush {
		return resultcode.New(resultcode.FeatureNotSupported, "COPY FROM STDIN is not supported in a batch that ends with Flush")
	}
	if err := x.forwardMessage(e); err != nil {
		return err
	}
	if err := x.w.Flush(); err != nil {
		return &filter.ClientConnError{Cause: err}
	}
	x.stopPolling()
	if x.writeDone != nil { // the data follows the messages of the segment
		err := <-x.writeDone
		x.writeDone = nil
		if err != nil {
			return err
		}
	}
	client := x.s.Client
	responded := make(chan struct{})
	go func() {
		defer close(responded)
		x.awaitCopyResponse()
		client.Interrupt()
	}()
	err := x.copyClientData(e.kind == 'E')
	if err != nil {
		// Unblocks the goroutine. The connection is closed afterwards.
		x.conn.Abort()
	}
	<-responded
	client.Resume()
	if err == nil && len(x.earlyMessages) > 0 {
		err = x.writeToClient(x.earlyMessages)
	}
	return err
}

// awaitCopyResponse waits for the message that ends the COPY, or for an error, and leaves
// it for readResponses to read. It keeps earlier notices and parameters.
func (x *exchange) awaitCopyResponse() {
	for {
		kind, _, err := x.conn.Reader.Peek()
		if err != nil || kind != 'N' && kind != 'S' && kind != 'A' {
			return
		}
		_, frame, err := x.conn.Reader.ReadFrame()
		if err != nil {
			return
		}
		if kind == 'S' {
			if internal, err := x.recordParameter(frame); internal || err != nil {
				continue
			}
		}
		if kind != 'A' && len(x.earlyMessages) < maxPooledBuffer {
			x.earlyMessages = append(x.earlyMessages, frame...)
		}
	}
}

// copyClientData copies CopyData until CopyDone or CopyFail, or until the upstream
// responds. In the extended protocol, the upstream has ignored the Sync that was sent
// before, so the client's next Sync is sent as well.
func (x *exchange) copyClientData(extended bool) error {
	client, reader, w := x.s.Client, x.s.Client.Reader(), x.conn.Writer
	done := false
	for {
		kind, size, err := client.Peek()
		if errors.Is(err, filter.ErrInterrupted) {
			x.needSync = extended
			return nil
		}
		if err != nil {
			return &filter.ClientConnError{Cause: err}
		}
		if reader.Buffered() < minFrame+size {
			if err := x.flushCopyData(); err != nil {
				return err
			}
		}
		position := w.Position()
		switch kind {
		case 'd':
			err = reader.Forward(w)
		case 'c', 'f', 'S', 'H':
			err = x.forwardCopyControl(kind, size, done)
		default:
			err = framing.New(framing.Sequence, "message type %q during COPY", kind)
		}
		if err != nil && isTimeout(err) {
			// The upstream responded while the message was arriving. If it has received a part,
			// its input is out of sync, so the connection is closed after the response was read.
			x.broken = w.Position() != position
			x.needSync = extended
			return nil
		}
		if err != nil && w.Err() != nil {
			return nil // reading the response fails too or returns the reason
		}
		if err != nil {
			return &filter.ClientConnError{Cause: err}
		}
		if done && kind == 'S' {
			return x.flushCopyData()
		}
		done = done || kind == 'c' || kind == 'f'
		if done && !extended {
			return x.flushCopyData()
		}
		if reader.Buffered() < minFrame {
			if err := x.flushCopyData(); err != nil {
				return err
			}
		}
	}
}

// flushCopyData flushes the data to the upstream. It ignores a write error, because
// reading the response fails too or returns the reason from the upstream.
func (x *exchange) flushCopyData() error {
	_ = x.conn.Writer.Flush()
	return nil
}

// forwardCopyControl forwards CopyDone, CopyFail and the Sync after them, and skips Flush and an
// earlier Sync.
func (x *exchange) forwardCopyControl(kind byte, size int, done bool) error {
	if kind != 'f' && size != 0 {
		return framing.New(framing.Field, "message type %q with a body during COPY", kind)
	}
	_, frame, err := x.s.Client.Reader().ReadFrame()
	if err != nil {
		return err
	}
	if kind == 'f' {
		if _, rest, err := wire.CutCString(frame[minFrame:]); err != nil || len(rest) != 0 {
			return framing.New(framing.Field, "text of CopyFail")
		}
	}
	if kind == 'H' || kind == 'S' && !done {
		return nil
	}
	_, err = x.conn.Writer.Write(frame)
	return err
}

// skipToSync discards the messages of the client up to the next Sync and sends the Sync, unless
// the connection is out of sync, so that there is no response to wait for.
func (x *exchange) skipToSync() error {
	for {
		kind, size, err := x.s.Client.Peek()
		if err != nil {
			return &filter.ClientConnError{Cause: err}
		}
		if kind == 'S' && size != 0 {
			return &filter.ClientConnError{Cause: framing.New(framing.Field, "Sync with a body")}
		}
		if err := x.s.Client.Reader().Skip(); err != nil {
			return &filter.ClientConnError{Cause: err}
		}
		if kind == 'S' && x.broken {
			x.next = len(x.expected)
			x.status = 'I'
			if x.s.InTransaction {
				x.status = 'E'
			}
			return nil
		}
		if kind == 'S' {
			_, _ = x.conn.Writer.Write(syncFrame)
			return x.flushCopyData()
		}
	}
}
