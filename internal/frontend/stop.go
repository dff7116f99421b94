package frontend

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/core/shutdown"
	"github.com/rosemarywall/rosemarywall/internal/filter"
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
	return shutdown.Outstanding{Clients: len(s.sessions) + len(s.listeners), Quiet: noArrivals}
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
