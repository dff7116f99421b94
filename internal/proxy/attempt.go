package proxy

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

const (
	// retryPause is the time between attempts when every fitting upstream was tried
	// or none is known, as during a change of primary.
	retryPause = 25 * time.Millisecond
	// waitShare is the part of the latency target that a request waits for a
	// connection of one upstream. A later refusal is of less use to the caller than
	// an early one.
	waitShare = 5
	// minWait is the shortest wait for a connection; opening one takes some tens of
	// milliseconds.
	minWait = 50 * time.Millisecond
	// maxAttempts bounds the attempts of one statement.
	maxAttempts = 40
)

// attempt tries a statement on one upstream after the other.
type attempt struct {
	session *Session
	need    Requirement
	request execution.Request
	// writes says that only the primary can run the statement.
	writes bool
	// effect says that the statement itself may have a lasting effect, so that it is
	// not repeated when its outcome is unknown.
	effect bool
	// leader allows execution.Leader for reads without a known position.
	leader bool
	// offered says that an upstream has received the statement.
	offered bool
	trace   Trace
}

// run returns the result of the statement, or the error that the caller is told. A
// statement that no upstream was offered is refused after a short wait, so that the
// caller can try another VM.
func (a *attempt) run(ctx context.Context) (execution.Result, Choice, error) {
	now := a.session.services.Now
	start := now()
	wait := a.need.Grant.Route.LatencyTarget / waitShare
	deadline, offer := start+a.request.Timeout, start+wait
	var last execution.Result
	for n := 0; n < maxAttempts && now() < deadline && (a.offered || now() < offer); n++ {
		choice, ok := a.session.services.Router.Choose(a.need)
		if ok {
			last = a.execute(ctx, choice, max(minWait, offer-now()), deadline-now())
			a.offered = a.offered || last.Sent
			if last.Outcome == execution.Done {
				return last, choice, nil
			}
			if err := a.final(last); err != nil {
				return last, choice, err
			}
			a.need.Exclude = append(a.need.Exclude, choice.Target.Upstream)
			continue
		}
		a.need.Exclude = nil // every fitting upstream was tried
		if now()+retryPause >= deadline || !clock.Sleep(ctx, retryPause) {
			break
		}
	}
	if a.trace.Attempts == 0 {
		a.trace = grantTrace(a.need.Grant)
	}
	return last, Choice{}, a.refusal(last)
}

func (a *attempt) execute(ctx context.Context, choice Choice, wait, left time.Duration) execution.Result {
	r := a.request
	r.Target, r.MinPosition = choice.Target, choice.MinPosition
	r.ConnectionLimit, r.DialLimit = choice.ConnectionLimit, choice.DialLimit
	r.AcquireTimeout, r.Timeout = min(wait, left), left
	if r.Mode == execution.Single && a.leader && choice.VerifyLeadership {
		r.Mode = execution.LeaderRead
	}
	if r.Mode == execution.Begin {
		r.ReadOnly = !a.writes && !choice.VerifyLeadership
	}
	sentAt := a.session.services.Now()
	result := choice.Executor.Execute(ctx, r)
	a.session.services.Router.Observe(choice, r.Writes || r.EndsTransaction && a.writes, sentAt, result)
	attempts := a.trace.Attempts + 1
	a.trace = traceOf(a.need.Grant, choice, result)
	a.trace.Attempts = attempts
	return result
}

// final returns the error that ends the attempts, or nil when the statement may be
// tried again.
func (a *attempt) final(result execution.Result) error {
	switch {
	case result.Outcome == execution.NotRun:
		return nil
	case result.Outcome == execution.Failed:
		return upstreamError(result)
	case a.effect:
		return resultcode.New(resultcode.OutcomeUnknown, "the statement was sent and not answered")
	}
	return nil
}

// refusal returns the error after the last attempt, none of which had an effect.
func (a *attempt) refusal(last execution.Result) error {
	switch {
	case last.Outcome == 0 && a.need.Primary:
		return resultcode.New(resultcode.NoPrimary, "no primary is known")
	case last.Outcome == 0:
		return resultcode.New(resultcode.NoUpstream, "no upstream is known")
	case last.Outcome == execution.Unknown:
		return resultcode.New(resultcode.StatementTimeout, "no answer in time")
	case last.Reason == execution.NoConnection:
		return resultcode.New(resultcode.QueueDeadline, "no upstream connection became free")
	case a.need.Primary:
		return resultcode.New(resultcode.NoPrimary, "%s", describe(last))
	}
	return resultcode.New(resultcode.NoUpstream, "%s", describe(last))
}

// upstreamError returns the error of a statement that an upstream ran and failed.
func upstreamError(result execution.Result) error {
	if result.Code == statement.Timeout {
		return resultcode.New(resultcode.StatementTimeout, "reported by the upstream")
	}
	return resultcode.New(resultcode.StatementFailed, "%s", describe(result))
}

// describe names the reason of a result for callers; it holds no data of the caller.
func describe(result execution.Result) string {
	if result.Reason == execution.Refused || result.Outcome == execution.Failed {
		return "upstream answered " + result.Code.String()
	}
	if result.Outcome == execution.Unknown {
		return "no answer"
	}
	return result.Reason.String()
}
