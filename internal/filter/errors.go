package filter

import (
	"context"
	"errors"
	"fmt"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// RetryReason says why a request can be sent again.
type RetryReason uint8

// Reasons of Retry.
const (
	// ReasonNotSent means that no byte reached the upstream, or that what did reach it
	// cannot have had an effect.
	ReasonNotSent RetryReason = iota
	// ReasonReadOnly means that the upstream refused the request as a read-only member.
	ReasonReadOnly
	// ReasonStaleResponse means that the connection held the answer of an earlier request. It was
	// closed, and what reached the upstream cannot have had an effect.
	ReasonStaleResponse
	// ReasonSerialization means that the upstream rolled the transaction back with 40001.
	ReasonSerialization
)

// RetryableError reports a request that had no effect and of which nothing was passed on,
// so that it can be sent to another upstream.
type RetryableError struct {
	Reason RetryReason
	// Cause is the error of the connection or the refusal.
	Cause error
	// Response is the upstream's ErrorResponse frame when there was one.
	Response []byte
}

// Error names the cause.
func (e *RetryableError) Error() string {
	if e.Cause != nil {
		return "request not run: " + e.Cause.Error()
	}
	return "request not run: refused by the upstream"
}

// Unwrap returns the cause.
func (e *RetryableError) Unwrap() error { return e.Cause }

// ClientConnError reports an error of the caller's own connection; the session ends.
type ClientConnError struct{ Cause error }

// Error names the cause.
func (e *ClientConnError) Error() string { return "caller connection lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ClientConnError) Unwrap() error { return e.Cause }

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
