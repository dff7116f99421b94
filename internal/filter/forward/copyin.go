package forward

import (
	"errors"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// copyIn passes CopyInResponse on and streams the caller's data to the upstream.
// An early answer of the upstream, which can only be an error, ends the stream.
func (x *exchange) copyIn(e *expectedResponse) error {
	if x.r.EndsWithFlush {
		return resultcode.New(resultcode.FeatureNotSupported, "COPY FROM STDIN in a batch that ends with Flush")
	}
	if err := x.forwardMessage(e); err != nil {
		return err
	}
	if err := x.w.Flush(); err != nil {
		return &filter.ClientConnError{Cause: err}
	}
	x.stopPolling()
	caller := x.s.Client
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		x.awaitCopyResponse()
		caller.Interrupt()
	}()
	err := x.copyClientData(e.kind == 'E')
	if err != nil {
		// Wakes the goroutine; the connection is closed afterwards.
		x.conn.Abort()
	}
	<-answered
	caller.Resume()
	if err == nil && len(x.earlyMessages) > 0 {
		err = x.writeToClient(x.earlyMessages)
	}
	return err
}

// awaitCopyResponse waits for the message that ends the COPY, or an error, which answers
// reads again. Notices and parameters that come before are kept.
func (x *exchange) awaitCopyResponse() {
	for {
		kind, _, err := x.conn.Reader.Peek()
		if err != nil || kind != 'N' && kind != 'S' && kind != 'A' {
			return
		}
		_, frame, err := x.conn.Reader.NextFrame()
		if err != nil {
			return
		}
		if kind == 'S' {
			if own, err := x.recordParameter(frame); own || err != nil {
				continue
			}
		}
		if kind != 'A' && len(x.earlyMessages) < maxPooledBuffer {
			x.earlyMessages = append(x.earlyMessages, frame...)
		}
	}
}

// copyClientData copies CopyData until CopyDone or CopyFail, or until the upstream answers. In the extended protocol the
// upstream has ignored the Sync sent before, so the caller's next one follows.
func (x *exchange) copyClientData(extended bool) error {
	caller, reader := x.s.Client, x.s.Client.Reader()
	done := false
	for {
		kind, _, err := caller.Peek()
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
				_, frame, err := reader.NextFrame()
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

// flushCopyData sends the data on. A failed write is found again when the answer is
// read, which tells the upstream's reason.
func (x *exchange) flushCopyData() error {
	_ = x.conn.Writer.Flush()
	return nil
}

func (x *exchange) handleCopyError(err error) error {
	if x.conn.Writer.Err() != nil {
		return nil
	}
	if isTimeout(err) {
		// The upstream answered in the middle of a message; its input is out of
		// step, so the connection is closed once the answer was read.
		x.broken = true
		return nil
	}
	return &filter.ClientConnError{Cause: err}
}

// skipToSync drops the caller's messages up to Sync and sends that.
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
