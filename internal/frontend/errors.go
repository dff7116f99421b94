package frontend

import (
	"errors"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

var (
	errNoStatement = &filter.SQLError{State: "26000", Message: "prepared statement does not exist"}
	errAborted     = &filter.SQLError{State: "25P02", Message: "current transaction is aborted, commands ignored until end of transaction block"}
)

// writeError writes an ErrorResponse and counts its code.
func (s *session) writeError(severity string, err error) {
	var retry *filter.RetryableError
	if errors.As(err, &retry) && retry.Response != nil {
		_, _ = s.conn.writer.Write(retry.Response)
		return
	}
	if code := resultcode.Of(err); code != 0 {
		s.server.cfg.Counters.RecordRefusal(code)
	}
	_, _ = s.conn.writer.Write(filter.ErrorFrame(severity, err))
}

// inputError returns the refusal for input of the caller that could not be read, or nil when
// the connection itself failed.
func inputError(err error) error {
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return framing.New(framing.TooLarge, "%s", err.Error())
	case errors.Is(err, wire.ErrLength):
		return framing.New(framing.Length, "%s", err.Error())
	case errors.Is(err, wire.ErrMalformed):
		return framing.New(framing.Field, "%s", err.Error())
	}
	return nil
}

func malformed(format string, args ...any) error {
	return resultcode.New(resultcode.MalformedMessage, format, args...)
}
