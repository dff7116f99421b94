package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// state is what a session is doing, for dumps.
type state int32

const (
	stateStartup state = iota
	stateIdle
	stateTransaction
	stateActive
)

// String names the state.
func (s state) String() string {
	return [...]string{"startup", "idle", "idle_in_transaction", "active"}[s]
}

// session serves one caller.
type session struct {
	server  *Server
	conn    *callerConn
	shared  filter.Session
	request filter.Request
	state   atomic.Int32
	epoch   int64
	surplus bool

	cancelKey cancelKey
	// wait is the wait of the running request for an upstream.
	wait    atomic.Pointer[waitContext]
	running runningRequest
	// partial says that a message has arrived in part.
	partial bool

	// aborted says that the open transaction was rolled back by the proxy.
	aborted bool
	// begin is a BEGIN that was answered and not sent yet.
	begin *sqltext.Statement
	// discarding says that an error has occurred in an extended batch and messages
	// are dropped until Sync.
	discarding bool
	batch      batch
	statements map[string]*filter.PreparedStatement
	portals    map[string]portal

	// asked says that the caller wants session tokens, and carries that it has one.
	asked, carries bool
	acceptedAge    time.Duration
	acceptedText   string
}

func newSession(server *Server, c net.Conn) *session {
	s := &session{server: server, epoch: server.epoch.Load()}
	s.conn = newCallerConn(c, &server.cfg, s.ended)
	s.shared.Client, s.shared.Process = s.conn, server.process
	return s
}

// run serves the caller until it leaves.
func (s *session) run() {
	defer s.server.remove(s)
	defer s.conn.close()
	defer s.shared.Rollback()
	defer s.recovered()
	err := s.start()
	if err == nil {
		err = s.loop()
	}
	s.end(err)
}

// recovered keeps a fault in one session from ending the process. The value of
// the panic is not logged, because it may hold a part of a statement.
func (s *session) recovered() {
	if r := recover(); r != nil {
		s.server.cfg.Logger.Error().Str("stack", string(debug.Stack())).Msg("session failed")
	}
}

// end tells the caller why its connection ends, where there is something to tell.
func (s *session) end(err error) {
	switch {
	case err == nil, errors.Is(err, errNoSession), errors.Is(err, io.EOF):
		return
	case errors.Is(err, errShed):
		err = s.stopReason()
	case resultcode.Of(err) == 0:
		if err = inputError(err); err == nil {
			return
		}
	}
	s.writeError(filter.SeverityFatal, err)
	_ = s.conn.writer.Flush()
	e := s.server.cfg.Logger.Debug().Str("organisation", string(s.shared.Grant.Organisation)).Str("code", resultcode.Of(err).String())
	if reason := framing.ReasonOf(err); reason != "" {
		e = e.Str("reason", string(reason))
	}
	e.Msg("caller disconnected")
}

// loop serves messages. An error ends the connection.
func (s *session) loop() error {
	for {
		kind, size, err := s.peek()
		if err != nil {
			return err
		}
		s.state.Store(int32(stateActive))
		if kind == 'X' {
			return s.conn.writer.Flush()
		}
		if !known(kind) {
			return malformed("unknown message type %q", kind)
		}
		if (kind == 'S' || kind == 'H') && size != 0 {
			return framing.New(framing.Field, "message type %q with a body", kind)
		}
		if size > s.server.cfg.MaxMessage {
			if err := s.tooLarge(kind, size); err != nil {
				return err
			}
			continue
		}
		if err := s.message(kind, size); err != nil {
			return err
		}
	}
}

// peek waits for the next message.
func (s *session) peek() (byte, int, error) {
	if s.batch.open() {
		return s.conn.Await()
	}
	if s.shared.Lease.Load() != nil || s.begin != nil {
		s.state.Store(int32(stateTransaction))
	} else {
		s.state.Store(int32(stateIdle))
	}
	if s.conn.reader.Buffered() == 0 {
		if err := s.conn.writer.Flush(); err != nil {
			return 0, 0, &filter.ClientConnError{Cause: err}
		}
		s.conn.reader.Release()
	}
	return s.conn.Await()
}

// known reports whether callers may send the message type after startup.
func known(kind byte) bool {
	switch kind {
	case 'Q', 'P', 'B', 'D', 'E', 'C', 'H', 'S', 'F', 'd', 'c', 'f':
		return true
	}
	return false
}

// tooLarge refuses a message and skips it.
func (s *session) tooLarge(kind byte, size int) error {
	if err := s.conn.writer.Flush(); err != nil {
		return &filter.ClientConnError{Cause: err}
	}
	s.partial = true
	err := s.conn.AwaitSkip()
	s.partial = false
	if err != nil {
		return err
	}
	if kind == 'd' || kind == 'c' || kind == 'f' || s.discarding {
		return nil
	}
	err = framing.New(framing.TooLarge, "message of %d bytes; the limit is %d", size, s.server.cfg.MaxMessage)
	if kind == 'Q' || kind == 'F' {
		s.refuse(err)
		return nil
	}
	s.refuseBatch(err)
	return nil
}

// message handles one message that fits the limit.
func (s *session) message(kind byte, size int) error {
	frame, err := s.readFrame(size)
	if err != nil {
		return err
	}
	switch kind {
	case 'd', 'c', 'f': // left over from a COPY that the upstream ended
		return nil
	case 'Q':
		if s.discarding {
			return nil
		}
		return s.simpleQuery(frame)
	case 'F':
		if !s.discarding {
			s.refuse(resultcode.New(resultcode.FeatureNotSupported, "function call messages"))
		}
		return nil
	case 'S':
		return s.sync(frame)
	}
	if s.discarding {
		return nil
	}
	if kind == 'H' {
		return s.flush(frame)
	}
	if err := s.batch.add(s, kind, frame); err != nil {
		if errors.Is(err, wire.ErrMalformed) {
			return err
		}
		s.refuseBatch(err)
	}
	return nil
}

// readFrame reads a message of the given size.
func (s *session) readFrame(size int) (frame []byte, err error) {
	if s.conn.reader.Buffered() >= minFrame+size {
		_, frame, err = s.conn.reader.ReadFrame()
		return frame, err
	}
	// The caller may wait for earlier responses before it sends the rest.
	if err := s.conn.writer.Flush(); err != nil {
		return nil, &filter.ClientConnError{Cause: err}
	}
	s.partial = true
	defer func() { s.partial = false }()
	_, frame, err = s.conn.AwaitFrame()
	return frame, err
}

// serve runs the request through the filter chain. It returns an error only when
// the caller's connection must end; a refusal is written to the caller.
func (s *session) serve() (refused bool, err error) {
	r := &s.request
	inTransaction := s.inBlock()
	s.prepareRequest()
	s.running.begin(s.server.cfg.Now(), r.Write)
	if s.shared.Lease.Load() != nil {
		err = s.serveIn(s.server.process, r)
	} else {
		wait := &waitContext{deadline: r.Deadline}
		s.wait.Store(wait)
		err = s.serveIn(wait, r)
		s.wait.Store(nil)
		wait.end(context.Canceled)
	}
	s.running.end()
	if s.running.ordered.Load() && (err != nil || r.Failed) {
		s.server.interrupted.Add(1)
	}
	if err != nil {
		if isLost(err) {
			return false, err
		}
		s.giveUp(inTransaction && !endsTransaction(r))
		s.writeError(filter.SeverityError, err)
		return true, nil
	}
	s.begin = nil
	if s.shared.Lease.Load() == nil {
		s.portals = nil
		s.aborted = r.Status == 'T' || r.Status == 'E'
	}
	if r.LogPointAdvanced && s.asked {
		s.writeParameter(settingToken, s.token())
		s.carries = true
	}
	return false, nil
}

// serveIn runs the request through the filter chain, unless a planned stop ends running
// statements.
func (s *session) serveIn(ctx context.Context, r *filter.Request) error {
	if s.shared.Stopped.Load() {
		return filter.StoppingError()
	}
	return s.server.chain.Serve(ctx, r)
}

func isLost(err error) bool {
	var lost *filter.ClientConnError
	return errors.As(err, &lost)
}

// giveUp rolls an open transaction back. The caller sees it as aborted when it was
// inside a transaction block.
func (s *session) giveUp(inTransaction bool) {
	s.shared.Rollback()
	s.begin = nil
	s.aborted = s.aborted || inTransaction
	s.portals = nil
}

// refuse answers a simple query with an error and ReadyForQuery. The error ends a batch that
// was not synchronised.
func (s *session) refuse(err error) {
	s.giveUp(s.inBlock())
	s.endBatch()
	s.writeError(filter.SeverityError, err)
	s.ready()
}

// ready writes ReadyForQuery with the state of the session.
func (s *session) ready() {
	status := byte('I')
	switch {
	case s.aborted:
		status = 'E'
	case s.begin != nil:
		status = 'T'
	case s.shared.InTransaction:
		status = s.request.Status
	}
	_ = s.conn.writer.WriteFrame('Z', []byte{status})
}
