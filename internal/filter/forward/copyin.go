package forward

import (
	"errors"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
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
	client, reader := x.s.Client, x.s.Client.Reader()
	done := false
	for {
		kind, _, err := client.Peek()
		if errors.Is(err, filter.ErrInterrupted) {
			x.needSync = extended
			return nil
		}
		if err != nil {
			return &filter.ClientConnError{Cause: err}
		}
		switch kind {
		case 'd', 'c', 'f':
			if err := reader.Forward(x.conn.Writer); err != nil {
				return x.handleCopyError(err)
			}
			done = done || kind != 'd'
		case 'S', 'H':
			if done && kind == 'S' {
				_, frame, err := reader.ReadFrame()
				if err != nil {
					return &filter.ClientConnError{Cause: err}
				}
				_, _ = x.conn.Writer.Write(frame)
				return x.flushCopyData()
			}
			err = reader.Skip()
		default:
			return &filter.ClientConnError{Cause: resultcode.New(resultcode.MalformedMessage, "message type %q during COPY", kind)}
		}
		if err != nil {
			return &filter.ClientConnError{Cause: err}
		}
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

func (x *exchange) handleCopyError(err error) error {
	if x.conn.Writer.Err() != nil {
		return nil
	}
	if isTimeout(err) {
		// The upstream responded in the middle of a message. Its input is out of sync,
		// so the connection is closed after the response was read.
		x.broken = true
		return nil
	}
	return &filter.ClientConnError{Cause: err}
}

// skipToSync discards the messages of the client up to the next Sync and sends the Sync.
func (x *exchange) skipToSync() error {
	for {
		kind, _, err := x.s.Client.Peek()
		if err != nil {
			return &filter.ClientConnError{Cause: err}
		}
		if err := x.s.Client.Reader().Skip(); err != nil {
			return &filter.ClientConnError{Cause: err}
		}
		if kind == 'S' {
			_, _ = x.conn.Writer.Write(syncFrame)
			return x.flushCopyData()
		}
	}
}
