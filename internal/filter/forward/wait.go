package forward

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/group"
)

const (
	// pollInterval is how long an answer may be outstanding before the proxy asks
	// whether the group has a newer primary, because a paused or cut-off primary
	// does not close its connections.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds that question.
	pollTimeout = 50 * time.Millisecond
	// pollsPerProbe is the number of poll intervals between probes of an upstream
	// that runs a long read.
	pollsPerProbe = 10
	// pollsBeforeOutcomeQuery is the number of polls after which the group is asked for the
	// outcome of an unanswered commit.
	pollsBeforeOutcomeQuery = 2
	// pollsAfterCancel is the number of polls for which a cancelled statement may
	// stay unanswered.
	pollsAfterCancel = 10
)

// errReplaced reports that the upstream is no longer the primary.
var errReplaced = errors.New("the upstream was replaced as primary")

// errUnresponsive reports that the upstream does not respond.
var errUnresponsive = errors.New("the upstream does not respond")

// errOutcomeKnown reports an unanswered commit whose outcome the group knows.
var errOutcomeKnown = errors.New("the commit was not answered")

// errClientGone reports that the caller has closed its connection.
var errClientGone = errors.New("the caller has left")

// errClosedByUpstream reports that the upstream ended the connection.
var errClosedByUpstream = errors.New("the upstream ended the connection")

// peek waits for the next message. Before it blocks, the caller gets what was
// passed on so far.
func (x *exchange) peek() (byte, int, error) {
	if x.conn.Reader.Buffered() < minFrame {
		if err := x.flushClient(); err != nil {
			return 0, 0, err
		}
		x.polling = true
		_ = x.conn.SetReadDeadline(time.Now().Add(pollInterval))
	}
	for {
		kind, size, err := x.conn.Reader.Peek()
		if err == nil || !isTimeout(err) {
			return kind, size, err
		}
		if err := x.handleReadTimeout(); err != nil {
			return 0, 0, err
		}
		_ = x.conn.SetReadDeadline(time.Now().Add(pollInterval))
	}
}

// flushClient sends what was written to the caller, which may be answers of
// earlier requests only.
func (x *exchange) flushClient() error {
	earlier := !x.responseSent() && x.w.Pending() == x.pendingMark
	if x.w.Pending() == 0 || !earlier && !x.responseForwarded {
		return nil
	}
	if err := x.w.Flush(); err != nil {
		return &filter.ClientConnError{Cause: err}
	}
	if earlier {
		x.mark, x.pendingMark = x.w.Sent(), 0
	}
	return nil
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// handleReadTimeout decides whether to wait longer for an answer. On the primary only a
// newer primary or a known outcome ends the wait, because before that the outcome
// could not be resolved. A replica must respond to a probe.
func (x *exchange) handleReadTimeout() error {
	x.polls++
	if x.s.Client.Gone() {
		_ = x.lease.Cancel() // nobody waits for the statement
		return &filter.ClientConnError{Cause: errClientGone}
	}
	if x.lease.Cancelled() {
		if x.pollsSinceCancel++; x.pollsSinceCancel >= pollsAfterCancel {
			return errUnresponsive
		}
	}
	switch {
	case x.s.OnPrimary:
		if x.replaced() {
			return errReplaced
		}
		if x.polls >= pollsBeforeOutcomeQuery && x.outcomeKnown() {
			return errOutcomeKnown
		}
	case x.polls%pollsPerProbe == 2:
		if !x.h.cfg.Pools.Responds(x.lease.Target()) {
			return errUnresponsive
		}
	}
	return nil
}

// outcomeKnown asks whether the outcome of an unanswered commit is known.
func (x *exchange) outcomeKnown() bool {
	if !x.mayHaveCommitted || x.lease.TransactionID == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	state, err := x.h.cfg.Router.Transaction(ctx, x.s.Grant.Database, x.lease.TransactionID)
	return err == nil && (state == group.TransactionCommitted || state == group.TransactionAborted)
}

// replaced asks whether the group has a newer primary than the connection's.
func (x *exchange) replaced() bool {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	now, err := x.h.cfg.Router.Primary(ctx, x.s.Grant.Database)
	return err == nil && now.Term > x.lease.Target().Term
}
