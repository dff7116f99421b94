package frontend

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/shutdown"
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rs/zerolog"
)

const (
	// stopPollInterval is the interval at which a stopping server checks what is outstanding.
	stopPollInterval = 25 * time.Millisecond
	// lastResponseTime bounds the wait for the responses of statements that end with the
	// process.
	lastResponseTime = 200 * time.Millisecond
)

// InterruptedError reports the requests and transactions that a planned stop has ended or cut.
type InterruptedError struct {
	// Ended requests and transactions were answered with an error.
	Ended int
	// Cut connections were closed without a response.
	Cut int
}

// Error returns a message with the numbers.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("the stop ended %d requests or transactions and cut %d connections", e.Ended, e.Cut)
}

// Drain stops the server as package shutdown describes and returns when no caller is left. The
// deadline of ctx is the end of the drain time; without one, open transactions and running
// statements get all the time they need. If ctx ends, the rest is ended at once. The error is an
// *InterruptedError if a request or transaction was not completed.
func (s *Server) Drain(ctx context.Context) error {
	at, schedule := s.cfg.Now(), shutdown.Schedule{}
	deadline, limited := ctx.Deadline()
	if limited {
		schedule = shutdown.NewDrainSchedule(max(0, time.Until(deadline)))
	}
	s.beginDrain()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for stage := shutdown.Running; stage != shutdown.Ended; {
		next := shutdown.Closing
		switch {
		case ctx.Err() != nil:
			next = shutdown.Ended
		case limited:
			next = schedule.StageAt(s.cfg.Now()-at, s.outstanding())
		}
		if next != stage {
			s.beginStage(next, at)
		}
		stage = next
		select {
		case <-s.empty:
			stage = shutdown.Ended
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return s.endDrain(at)
}

// beginDrain makes Serve accept the connections that exist and close the listeners.
func (s *Server) beginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	for l := range s.listeners {
		if d, ok := l.(deadlineListener); !ok || d.SetDeadline(past) != nil {
			_ = l.Close()
		}
	}
	s.checkEmpty()
}

// endDrain waits for the last responses and closes the connections that are left.
func (s *Server) endDrain(at time.Duration) error {
	select {
	case <-s.empty:
	case <-time.After(lastResponseTime):
	}
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	interrupted := InterruptedError{}
	now := s.cfg.Now()
	for _, ses := range s.all() {
		if ses.running.active() {
			interrupted.Cut++
			ses.logStop(zerolog.WarnLevel, "stop cut statement", at, now)
		}
		ses.conn.abort()
	}
	interrupted.Ended = int(s.interrupted.Load())
	if interrupted == (InterruptedError{}) {
		return nil
	}
	return &interrupted
}

// Close disconnects all callers without a response, as the end of the process would.
func (s *Server) Close() {
	s.mu.Lock()
	s.draining, s.closed = true, true
	s.stage.Store(uint32(shutdown.Ended))
	listeners := make([]net.Listener, 0, len(s.listeners))
	for l := range s.listeners {
		listeners = append(listeners, l)
	}
	s.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	s.endProcess(filter.ErrStopping)
	for _, ses := range s.all() {
		ses.conn.abort()
	}
}

func (s *Server) currentStage() shutdown.Stage { return shutdown.Stage(s.stage.Load()) }

// stopping reports whether a planned stop has begun to disconnect callers.
func (s *Server) stopping() bool { return s.currentStage() >= shutdown.Closing }

// noArrivals is the time since the last new caller of a server that accepts none.
const noArrivals = time.Hour

func (s *Server) outstanding() shutdown.Outstanding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shutdown.Outstanding{Clients: len(s.sessions) + len(s.listeners), SinceAccept: noArrivals}
}

// beginStage applies a stage of a planned stop, which was ordered at the given time, to all
// sessions. A stage that has passed has no effect.
func (s *Server) beginStage(stage shutdown.Stage, at time.Duration) {
	for {
		current := s.stage.Load()
		if shutdown.Stage(current) >= stage {
			return
		}
		if s.stage.CompareAndSwap(current, uint32(stage)) {
			break
		}
	}
	sessions, now := s.all(), s.cfg.Now()
	s.logStage(stage, sessions, now-at)
	for _, ses := range sessions {
		if stage == shutdown.Cancelling {
			ses.cancelStatement(at, now)
		}
		if stage >= shutdown.Ending {
			ses.endStatement(at, now)
		}
	}
	if stage == shutdown.Ended {
		s.endProcess(filter.ErrStopping)
	}
	for _, ses := range sessions {
		ses.conn.wake(true)
	}
}

// logStage logs what is outstanding when a stage begins.
func (s *Server) logStage(stage shutdown.Stage, sessions []*session, after time.Duration) {
	statements, transactions := 0, 0
	for _, ses := range sessions {
		if ses.running.active() {
			statements++
		} else if state(ses.state.Load()) == stateTransaction {
			transactions++
		}
	}
	s.cfg.Logger.Info().Stringer("stage", stage).Dur("after_ms", after).Int("callers", len(sessions)).Int("statements", statements).
		Int("idle_transactions", transactions).Msg("stop stage")
}

// runningRequest describes the request of a session that runs or waits for an upstream.
type runningRequest struct {
	// since is when the request was read, on the process clock plus 1 ns; 0 without one.
	since atomic.Int64
	write atomic.Bool
	// ordered says that a planned stop has cancelled or ended the request.
	ordered atomic.Bool
}

func (r *runningRequest) begin(now time.Duration, write bool) {
	r.write.Store(write)
	r.since.Store(int64(now) + 1)
}

func (r *runningRequest) end() { r.since.Store(0) }

func (r *runningRequest) active() bool { return r.since.Load() != 0 }

// cancelStatement asks the upstream to cancel the running statement, whose response then tells
// the outcome.
func (s *session) cancelStatement(at, now time.Duration) {
	lease := s.shared.Lease.Load()
	if lease == nil || !s.running.active() {
		return
	}
	s.running.ordered.Store(true)
	s.logStop(zerolog.InfoLevel, "stop cancelled statement", at, now)
	go func() {
		if err := lease.Cancel(); err != nil {
			s.server.cfg.Logger.Warn().Err(err).Msg("cancel request failed")
		}
	}()
}

// endStatement ends the running statement: its wait for an upstream, or its connection to the
// upstream, so that the caller gets a response that says what is known.
func (s *session) endStatement(at, now time.Duration) {
	first := s.shared.Stopped.CompareAndSwap(false, true)
	if !s.running.active() {
		return
	}
	s.running.ordered.Store(true)
	if first {
		s.logStop(zerolog.WarnLevel, "stop ended statement", at, now)
	}
	if wait := s.wait.Load(); wait != nil {
		wait.end(filter.ErrStopping)
	}
	if lease := s.shared.Lease.Load(); lease != nil {
		lease.Abort()
	}
}

// logStop logs the effect of a planned stop on the running statement. Times are relative to the
// order to stop.
func (s *session) logStop(level zerolog.Level, message string, at, now time.Duration) {
	since := s.running.since.Load()
	if since == 0 {
		return
	}
	kind := "read"
	if s.running.write.Load() {
		kind = "write"
	}
	e := s.server.cfg.Logger.WithLevel(level).Str("organisation", string(s.shared.Grant.Organisation)).Str("database", string(s.shared.Grant.Database)).
		Str("kind", kind).Dur("read_ms", time.Duration(since-1)-at).Dur("after_ms", now-at)
	if lease := s.shared.Lease.Load(); lease != nil {
		e = e.Str("upstream", string(lease.Target().Upstream))
	}
	e.Msg(message)
}

// ended reports whether an order ends the session while it waits for its caller.
func (s *session) ended() bool {
	stage := s.server.currentStage()
	if state(s.state.Load()) == stateStartup {
		return stage >= shutdown.Closing
	}
	if stage < shutdown.Closing && s.epoch < s.server.epoch.Load() {
		stage = shutdown.Closing
	}
	if stage == shutdown.Running {
		return false
	}
	waiting := shutdown.Session{InTransaction: s.inTransaction() || s.batch.open(), Partial: s.partial}
	_, action := waiting.Wait(stage)
	switch action {
	case shutdown.RollBack:
		return true
	case shutdown.CloseSession:
		// The error tells the caller that a request in transit does not run, so no quiet
		// period is needed.
		return stage >= shutdown.RollingBack || !s.conn.hasInput()
	}
	return false
}

// inTransaction reports whether the caller is in a transaction, also in one that has failed.
func (s *session) inTransaction() bool {
	return s.shared.Lease.Load() != nil || s.aborted || s.begin != nil
}

// stopReason returns the error that ends the session, and counts an open transaction that ends
// with it.
func (s *session) stopReason() error {
	if s.begin != nil || s.shared.Lease.Load() != nil && s.request.Status != 'E' {
		s.server.interrupted.Add(1)
		s.server.cfg.Logger.Warn().Str("organisation", string(s.shared.Grant.Organisation)).Str("database", string(s.shared.Grant.Database)).
			Msg("stop rolled back transaction")
		return resultcode.New(resultcode.ShuttingDown, "the VM stops; the open transaction was rolled back; connect again")
	}
	return resultcode.New(resultcode.ShuttingDown, "the VM stops serving callers; connect again")
}
