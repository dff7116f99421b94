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
	// retryDelay is the delay before the next attempt when every eligible upstream has
	// been tried or none is known, for example during a failover.
	retryDelay = 25 * time.Millisecond
	// findDivisor divides the latency target to give the time in which an upstream must be
	// found for a statement. An early error leaves the client more time to try another VM.
	findDivisor = 5
	// maxQueueRefusals is the number of VMs and upstreams that may refuse a statement because
	// of their queues before the client gets an error. It is the usual number of upstreams of
	// a group and of hubs in a zone.
	maxQueueRefusals = 3
	// maxInvalidAnswers is the number of invalid answers to a read before the client gets an
	// error. A second upstream may answer correctly.
	maxInvalidAnswers = 2
	// maxAttempts limits the attempts of one statement.
	maxAttempts = 40
)

// attempt runs a statement, trying one eligible upstream after another.
type attempt struct {
	session     *Session
	requirement Requirement
	request     execution.Request
	// beganAt is when the operation began.
	beganAt time.Duration
	// writes is set if only the primary can run the statement.
	writes bool
	// hasEffect is set if the statement itself may have a lasting effect, in which case
	// it isn't retried after an unknown outcome.
	hasEffect bool
	// allowLeaderRead permits execution.LeaderRead for a read without a known position.
	allowLeaderRead bool
	// reached is set once the statement has, or may have, been sent to an upstream, or one has
	// refused a connection for it. It is then tried until its time limit.
	reached bool
	trace   Trace
}

// run returns the result of the statement, or the error for the client. A statement for
// which no upstream is found fails after a short wait, so that the client can try another
// VM. One that waits for an upstream waits up to its time limit, because a late answer is
// worth more than an error.
func (a *attempt) run(ctx context.Context) (execution.Result, Choice, error) {
	now := a.session.services.Now
	start := now()
	deadline, findDeadline := start+a.request.Timeout, start+a.requirement.Grant.Route.LatencyTarget/findDivisor
	var last execution.Result
	queueRefusals, invalidAnswers := 0, 0
	for n := 0; n < maxAttempts && ctx.Err() == nil && now() < deadline && (a.reached || now() < findDeadline); n++ {
		attemptedAt := now()
		choice, ok := a.session.services.Router.Choose(a.requirement)
		if ok {
			last = a.execute(ctx, choice, deadline-now())
			// An upstream that counts connections of former processes has a place within seconds.
			a.reached = a.reached || last.Sent || last.Outcome == execution.Unknown || last.Code == statement.TooManyConnections
			if last.Outcome == execution.Done {
				return last, choice, nil
			}
			if err := a.finalError(last); err != nil {
				return last, choice, err
			}
			if last.Reason == execution.InvalidAnswer && last.Outcome == execution.Unknown {
				if invalidAnswers++; invalidAnswers == maxInvalidAnswers {
					break
				}
			}
			if last.Reason == execution.NoConnection || last.Reason == execution.Refused {
				findDeadline += now() - attemptedAt // an upstream has been found
			}
			if last.Reason == execution.NoConnection {
				if queueRefusals++; queueRefusals == maxQueueRefusals {
					break
				}
			}
			if last.Reason != execution.PeerLost && last.Reason != execution.Stopping { // faults of the executing VM
				a.requirement.Exclude = append(a.requirement.Exclude, choice.Target.Upstream)
			}
			continue
		}
		triedAll := len(a.requirement.Exclude) > 0
		a.requirement.Exclude = nil
		if triedAll && last.Reason == execution.NoConnection {
			continue // other VMs may have connections to them
		}
		if now()+retryDelay >= deadline || !clock.Sleep(ctx, retryDelay) {
			break
		}
	}
	if a.trace.Attempts == 0 {
		a.trace = grantTrace(a.requirement.Grant)
	}
	return last, Choice{}, a.exhaustedError(last)
}

func (a *attempt) execute(ctx context.Context, choice Choice, timeout time.Duration) execution.Result {
	if a.request.Mode == execution.Begin && a.trace.Attempts > 0 {
		// The rollback of the former attempt may arrive after this one.
		a.request.TransactionID = a.session.services.NewTransactionID()
	}
	r := a.request
	r.Target, r.MinPosition = choice.Target, choice.MinPosition
	r.ConnectionLimit, r.DialLimit = choice.ConnectionLimit, choice.DialLimit
	r.Slots, r.SlotShare = choice.Slots, choice.SlotShare
	r.AcquireTimeout, r.Timeout = timeout, timeout
	if r.Mode == execution.Single && a.allowLeaderRead && choice.VerifyLeadership {
		r.Mode = execution.LeaderRead
	}
	if r.Mode == execution.Begin {
		r.ReadOnly = !a.writes && !choice.VerifyLeadership
	}
	sentAt := a.session.services.Now()
	r.TargetLeft = targetLeft(a.requirement.Grant, a.beganAt, sentAt)
	a.session.running.Store(&choice)
	result := choice.Executor.Execute(ctx, r)
	if r.Mode == execution.Begin && result.Outcome != execution.Done && result.TransactionOpen {
		// The next attempt begins another transaction, also at the same upstream.
		choice.Executor.Rollback(choice.Target, r.TransactionID)
	}
	a.session.services.Router.Observe(choice, r.Writes || r.EndsTransaction && a.writes, sentAt, result)
	attempts := a.trace.Attempts + 1
	a.trace = newTrace(a.requirement.Grant, choice, result)
	a.trace.Attempts = attempts
	return result
}

// finalError returns the error that ends the attempts, or nil if the statement may be
// retried.
func (a *attempt) finalError(result execution.Result) error {
	switch {
	case result.Reason == execution.Malformed:
		return resultcode.New(resultcode.MalformedMessage, "the statement cannot be sent to an upstream")
	case result.Reason == execution.TooLarge:
		return resultcode.New(resultcode.MessageTooLarge, "the statement exceeds the size limit of upstreams")
	case result.Reason == execution.AnswerLost:
		return resultcode.New(resultcode.AnswerIncomplete, "the answer cannot be passed on between VMs")
	case result.Outcome == execution.NotRun:
		return nil
	case result.Outcome == execution.Failed:
		return upstreamError(result)
	case a.hasEffect:
		return resultcode.New(resultcode.OutcomeUnknown, "the statement was sent and not answered")
	}
	return nil
}

// exhaustedError returns the error for a statement whose attempts all failed without an
// effect.
func (a *attempt) exhaustedError(last execution.Result) error {
	switch {
	case last.Outcome == 0 && a.requirement.Primary:
		return resultcode.New(resultcode.NoPrimary, "no primary is known")
	case last.Outcome == 0:
		return resultcode.New(resultcode.NoUpstream, "no upstream is known")
	case last.Reason == execution.InvalidAnswer && last.Outcome == execution.Unknown:
		return resultcode.New(resultcode.AnswerIncomplete, "the upstream's answer cannot be read")
	case last.Outcome == execution.Unknown:
		return resultcode.New(resultcode.StatementTimeout, "no answer in time")
	case last.Reason == execution.NoConnection:
		return resultcode.New(resultcode.QueueDeadline, "no upstream connection became free")
	case a.requirement.Primary:
		return resultcode.New(resultcode.NoPrimary, "%s", describe(last))
	}
	return resultcode.New(resultcode.NoUpstream, "%s", describe(last))
}

// upstreamError returns the error for a statement that failed at an upstream.
func upstreamError(result execution.Result) error {
	if result.Code == statement.Timeout {
		return resultcode.New(resultcode.StatementTimeout, "reported by the upstream")
	}
	return resultcode.New(resultcode.StatementFailed, "%s", describe(result))
}

// describe returns the reason for a result as a text for the client. It contains no
// client data.
func describe(result execution.Result) string {
	if result.Reason == execution.Refused || result.Outcome == execution.Failed {
		return "upstream answered " + result.Code.String()
	}
	if result.Outcome == execution.Unknown {
		return "no answer"
	}
	return result.Reason.String()
}
