package frontend

import (
	"errors"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// sqlError is an error that PostgreSQL itself would have answered.
type sqlError struct {
	state   string
	message string
}

func (e *sqlError) Error() string { return e.message }

var (
	errNoStatement = &sqlError{"26000", "prepared statement does not exist"}
	errAborted     = &sqlError{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
)

// Severities of ErrorResponse.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// writeError writes an ErrorResponse and counts its code.
func (s *session) writeError(severity string, err error) {
	var retry *filter.Retry
	if errors.As(err, &retry) && retry.Answer != nil {
		_, _ = s.conn.writer.Write(retry.Answer)
		return
	}
	state, message, detail := describe(err)
	if code := resultcode.Of(err); code != 0 {
		s.server.cfg.Counters.Refuse(code)
	}
	body := make([]byte, 0, 256)
	for _, field := range [...]struct {
		kind byte
		text string
	}{{'S', severity}, {'V', severity}, {'C', state}, {'M', message}, {'D', detail}} {
		if field.text != "" {
			body = append(append(append(body, field.kind), field.text...), 0)
		}
	}
	_ = s.conn.writer.Frame('E', append(body, 0))
}

// describe returns SQLSTATE, message and detail for an error. Causes are left out,
// because their text is not under our control.
func describe(err error) (state, message, detail string) {
	var sql *sqlError
	if errors.As(err, &sql) {
		return sql.state, sql.message, ""
	}
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		return "XX000", "internal error of the proxy", ""
	}
	info := coded.Code.Info()
	effect := "not run"
	if info.Effect == resultcode.Unknown {
		effect = "outcome unknown"
	}
	name := coded.Code.String() + " " + info.Name
	return info.SQLState, name + ": " + coded.Detail, name + "; " + effect
}

// inputError returns the refusal for input that could not be read, or nil when
// the connection itself failed.
func inputError(err error) error {
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return resultcode.New(resultcode.MessageTooLarge, "%s", err.Error())
	case errors.Is(err, wire.ErrMalformed):
		return resultcode.New(resultcode.MalformedMessage, "%s", err.Error())
	}
	return nil
}

func malformed(format string, args ...any) error {
	return resultcode.New(resultcode.MalformedMessage, format, args...)
}
