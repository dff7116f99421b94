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
	// pollInterval is the interval at which the proxy checks for a newer primary while
	// it waits for a response, because a paused or partitioned primary does not close
	// its connections.
	pollInterval = 500 * time.Millisecond
	// pollTimeout limits one such check.
	pollTimeout = 50 * time.Millisecond
	// pollsPerProbe is the number of polls between probes of a replica that runs a long
	// read.
	pollsPerProbe = 10
	// pollsBeforeOutcomeQuery is the number of polls after which the proxy queries the
	// outcome of a commit without a response.
	pollsBeforeOutcomeQuery = 2
	// pollsAfterCancel is the number of polls after which a cancelled statement without
	// a response means that the upstream does not respond.
	pollsAfterCancel = 10
)

// errReplaced reports that the upstream is no longer the primary.
var errReplaced = errors.New("the upstream was replaced as primary")

// errUnresponsive reports that the upstream does not respond.
var errUnresponsive = errors.New("the upstream does not respond")

// errOutcomeKnown reports a commit without a response whose outcome the group knows.
var errOutcomeKnown = errors.New("the upstream did not respond to the commit")

// errClientGone reports that the client has closed its connection.
var errClientGone = errors.New("the client closed its connection")

// errClosedByUpstream reports that the upstream has terminated the connection with a
// fatal error.
var errClosedByUpstream = errors.New("the upstream terminated the connection")

// peek waits for the next message of the upstream. Before it blocks, it flushes the
// messages forwarded so far to the client.
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

// flushClient flushes the writer of the client, unless it holds local responses of this
// request but none of the upstream. Those stay in the buffer, so that the request can be
// retried. It flushes responses to earlier requests if no local response follows them.
func (x *exchange) flushClient() error {
	earlier := !x.responseSent() && x.w.Buffered() == x.pendingMark
	if x.w.Buffered() == 0 || !earlier && !x.responseForwarded {
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

// handleReadTimeout decides whether to continue to wait for a response. On the primary,
// only a newer primary or a known outcome ends the wait, because the outcome could not
// be resolved before. A replica must respond to a probe. In both cases, the wait also
// ends if the client has gone or a cancelled statement gets no response.
func (x *exchange) handleReadTimeout() error {
	x.polls++
	if x.s.Client.Gone() {
		_ = x.lease.Cancel() // no client waits for the result
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

// outcomeKnown reports whether the group knows the outcome of the commit without a
// response.
func (x *exchange) outcomeKnown() bool {
	if !x.mayHaveCommitted || x.lease.TransactionID == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	state, err := x.h.cfg.Router.Transaction(ctx, x.s.Grant.Database, x.lease.TransactionID)
	return err == nil && (state == group.TransactionCommitted || state == group.TransactionAborted)
}

// replaced reports whether the group has a primary of a newer term than the connection.
func (x *exchange) replaced() bool {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	now, err := x.h.cfg.Router.Primary(ctx, x.s.Grant.Database)
	return err == nil && now.Term > x.lease.Target().Term
}
