package resultcode

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Code is a numbered result code, shown to callers as RW followed by four digits.
type Code uint16

// Codes of requests from callers start at 1000, codes of release notes at 2000,
// codes of settings at 3000, and codes of messages between processes at 4000.
const (
	MalformedMessage      Code = 1001
	UnknownDatabase       Code = 1002
	KeyRejected           Code = 1003
	KeyWithdrawn          Code = 1004
	ConfigurationNotFresh Code = 1005
	DatabaseNotAllowed    Code = 1006
	ZoneOut               Code = 1007
	RateExceeded          Code = 1008
	QueueDeadline         Code = 1009
	NoPrimary             Code = 1010
	NoUpstream            Code = 1011
	OutcomeUnknown        Code = 1012
	RolledBack            Code = 1013
	ShuttingDown          Code = 1014
	FeatureNotSupported   Code = 1015
	InvalidSetting        Code = 1016
	TLSRequired           Code = 1017
	MessageTooLarge       Code = 1018
	Cancelled             Code = 1019
	TooManyCallers        Code = 1020
	AnswerIncomplete      Code = 1021
	StatementTimeout      Code = 1022
	StatementFailed       Code = 1023
	UnknownStatement      Code = 1024
	ReadOnlyTransaction   Code = 1025
	TransactionFailed     Code = 1026

	NoteSyntax         Code = 2001
	NoteUnknownSection Code = 2002
	NoteUnknownSetting Code = 2003
	NoteInvalidValue   Code = 2004
	NoteAlreadyExists  Code = 2005
	NoteNotFound       Code = 2006
	NoteReference      Code = 2007
	NoteConflict       Code = 2008
	NoteNotAccepted    Code = 2009
	NoteEmpty          Code = 2010
	NoteTooLarge       Code = 2011

	SettingsSyntax  Code = 3001
	SettingsUnknown Code = 3002
	SettingsInvalid Code = 3003
	SettingsMissing Code = 3004
	SettingsTLS     Code = 3005

	MessageVersion           Code = 4001
	MessageStranger          Code = 4002
	MessageMalformed         Code = 4003
	UsageSourceUnknown       Code = 4004
	UsageOrganisationUnknown Code = 4005
	UsageWindowInFuture      Code = 4006
	UsageBaseUnknown         Code = 4007
	PlatformDown             Code = 4101
	PlatformQuota            Code = 4102
	PlatformConflict         Code = 4103
	PlatformNotFound         Code = 4104
	PlatformTooLarge         Code = 4105
	PlatformBadRequest       Code = 4106
	PlatformHistoryGone      Code = 4107
	PlatformUnavailable      Code = 4108
)

// Effect says what is known about the execution of a refused request.
type Effect uint8

// Effects of a refused request.
const (
	// NotRun means that the request had no effect and may be sent again.
	NotRun Effect = iota
	// Unknown means that the request may or may not have taken effect.
	Unknown
)

// Info describes a code.
type Info struct {
	Code     Code
	Name     string
	SQLState string // five characters; empty for codes that callers never see
	Effect   Effect
	Meaning  string
}

// String formats the code as RW followed by four digits.
func (c Code) String() string { return fmt.Sprintf("RW%04d", uint16(c)) }

// Info returns the description of the code.
func (c Code) Info() Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return Info{Code: c, Name: "unknown", SQLState: "XX000"}
}

// Error is an error with a result code. Its text holds no key and no SQL literal.
type Error struct {
	Code   Code
	Detail string
	Cause  error
}

// New returns a coded error with a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a coded error that keeps its cause for errors.Is and errors.As.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// Error formats the code, its effect and the detail.
func (e *Error) Error() string {
	text := e.Code.String() + ": " + e.Detail
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the code of err, or zero when it carries none.
func Of(err error) Code {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return 0
}

// Is reports whether err carries the code.
func Is(err error, code Code) bool { return Of(err) == code }
