package frontend

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/core/shutdown"
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

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
