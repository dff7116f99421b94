package framing

import (
	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Reason tells why the boundaries of a message are invalid. It is a log value and a label of
// metrics.
type Reason string

// Reasons.
const (
	// LineFeed is a line feed that does not follow a carriage return.
	LineFeed Reason = "line_feed"
	// CarriageReturn is a carriage return that no line feed follows.
	CarriageReturn Reason = "carriage_return"
	// TooLarge is a message above the maximum size.
	TooLarge Reason = "too_large"
	// Length is a length that no message can have.
	Length Reason = "length"
	// Field is a value that cannot be a field of the message: it is empty, or holds a byte that
	// ends a field.
	Field Reason = "field"
	// Encoding is a frame between VMs that does not hold exactly one item of the expected form.
	Encoding Reason = "encoding"
	// Sequence is a message that may not follow the one before it.
	Sequence Reason = "sequence"
)

// Error is the error of a message whose boundaries are invalid. It wraps an error with a result
// code.
type Error struct {
	Reason Reason
	cause  *resultcode.Error
}

// New returns an error with the formatted detail. Its code is MessageTooLarge for TooLarge and
// MalformedMessage otherwise.
func New(reason Reason, format string, args ...any) *Error {
	code := resultcode.MalformedMessage
	if reason == TooLarge {
		code = resultcode.MessageTooLarge
	}
	return &Error{Reason: reason, cause: resultcode.New(code, format, args...)}
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the error with the result code.
func (e *Error) Unwrap() error { return e.cause }

// ReasonOf returns the reason of the Error in err's chain, or "" without one.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}
