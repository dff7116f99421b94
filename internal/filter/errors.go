package filter

import (
	"context"
	"errors"
	"fmt"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// RetryReason is the reason why a request can be retried.
type RetryReason uint8

// Reasons of RetryableError.
const (
	// ReasonNotSent means that no byte reached the upstream, or that the bytes that
	// reached it cannot have had an effect.
	ReasonNotSent RetryReason = iota
	// ReasonReadOnly means that the upstream rejected the request because it is
	// read-only.
	ReasonReadOnly
	// ReasonStaleResponse means that the connection delivered the response to an earlier
	// request. The connection was closed, and the bytes that reached the upstream
	// cannot have had an effect.
	ReasonStaleResponse
	// ReasonSerialization means that the upstream rolled the transaction back with 40001.
	ReasonSerialization
)

// RetryableError reports that a request had no effect and that no response to it was
// forwarded to the client, so that it can be sent to another upstream.
type RetryableError struct {
	Reason RetryReason
	// Cause is the error of the connection or the error with which the request was
	// rejected.
	Cause error
	// Response is the ErrorResponse frame of the upstream, if it sent one.
	Response []byte
}

// Error returns a message with the cause.
func (e *RetryableError) Error() string {
	if e.Cause != nil {
		return "request not run: " + e.Cause.Error()
	}
	return "request not run: refused by the upstream"
}

// Unwrap returns the cause.
func (e *RetryableError) Unwrap() error { return e.Cause }

// ClientConnError reports an error of the client connection, which ends the session.
type ClientConnError struct{ Cause error }

// Error returns a message with the cause.
func (e *ClientConnError) Error() string { return "client connection failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ClientConnError) Unwrap() error { return e.Cause }

// ErrInterrupted is returned by Client.Peek after Interrupt.
var ErrInterrupted = errors.New("interrupted")

// ErrCancelled is the cause of a context whose wait the client cancelled with a
// CancelRequest.
var ErrCancelled = fmt.Errorf("cancelled by the client: %w", context.Canceled)

// ErrStopping is the cause of a context whose wait a planned stop ended.
var ErrStopping = fmt.Errorf("the VM stops: %w", context.Canceled)

// IsEnded reports whether the client or a planned stop ended the wait of ctx.
func IsEnded(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, ErrCancelled) || errors.Is(cause, ErrStopping)
}

// StoppingError is the error for a request that does not run because the VM stops.
func StoppingError() error {
	return resultcode.New(resultcode.ShuttingDown, "the VM stops; connect again")
}

// WaitError returns the error for a wait that ended because ctx is done: Cancelled if
// the client cancelled the request, ShuttingDown if a planned stop ended the wait, otherwise
// the given code.
func WaitError(ctx context.Context, code resultcode.Code, detail string) error {
	if errors.Is(context.Cause(ctx), ErrCancelled) {
		return resultcode.New(resultcode.Cancelled, "cancelled before the request ran")
	}
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return StoppingError()
	}
	return resultcode.New(code, "%s", detail)
}
