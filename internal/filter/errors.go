package filter

import (
	"context"
	"errors"
	"fmt"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Reason says why a request can be sent again.
type Reason uint8

// Reasons of Retry.
const (
	// NotSent means that no byte reached the upstream, or that what did reach it
	// cannot have had an effect.
	NotSent Reason = iota
	// Refused means that the upstream refused the request as a read-only member.
	Refused
	// Stale means that the connection held the answer of an earlier request. It was
	// closed, and what reached the upstream cannot have had an effect.
	Stale
	// Serialization means that the upstream rolled the transaction back with 40001.
	Serialization
)

// Retry reports a request that had no effect and of which nothing was passed on,
// so that it can be sent to another upstream.
type Retry struct {
	Reason Reason
	// Cause is the error of the connection or the refusal.
	Cause error
	// Answer is the upstream's ErrorResponse frame when there was one.
	Answer []byte
}

// Error names the cause.
func (e *Retry) Error() string {
	if e.Cause != nil {
		return "request not run: " + e.Cause.Error()
	}
	return "request not run: refused by the upstream"
}

// Unwrap returns the cause.
func (e *Retry) Unwrap() error { return e.Cause }

// Lost reports an error of the caller's own connection; the session ends.
type Lost struct{ Cause error }

// Error names the cause.
func (e *Lost) Error() string { return "caller connection lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Lost) Unwrap() error { return e.Cause }

// ErrInterrupted is returned by Caller.Peek after Interrupt.
var ErrInterrupted = errors.New("interrupted")

// ErrCancelled is the cause of a waiting context that the caller cancelled.
var ErrCancelled = fmt.Errorf("cancelled by the caller: %w", context.Canceled)

// WaitError returns the refusal for a wait that ended with ctx: Cancelled when the
// caller asked for it, else the code given.
func WaitError(ctx context.Context, code resultcode.Code, detail string) error {
	if errors.Is(context.Cause(ctx), ErrCancelled) {
		return resultcode.New(resultcode.Cancelled, "cancelled before the request ran")
	}
	return resultcode.New(code, "%s", detail)
}
