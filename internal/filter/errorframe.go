package filter

import (
	"encoding/binary"
	"errors"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// SQLError is an error that PostgreSQL itself would have answered.
type SQLError struct {
	State   string
	Message string
}

// Error returns the message.
func (e *SQLError) Error() string { return e.Message }

// Severities of ErrorResponse.
const (
	SeverityError = "ERROR"
	SeverityFatal = "FATAL"
)

// ErrorFrame returns the ErrorResponse message for an error.
func ErrorFrame(severity string, err error) []byte {
	state, message, detail := describe(err)
	frame := append(make([]byte, 0, 256), 'E', 0, 0, 0, 0)
	for _, field := range [...]struct {
		kind byte
		text string
	}{{'S', severity}, {'V', severity}, {'C', state}, {'M', message}, {'D', detail}} {
		if field.text != "" {
			frame = append(append(append(frame, field.kind), field.text...), 0)
		}
	}
	frame = append(frame, 0)
	binary.BigEndian.PutUint32(frame[1:], uint32(len(frame)-1))
	return frame
}

// describe returns SQLSTATE, message and detail for an error. Causes are left out,
// because their text is not under our control.
func describe(err error) (state, message, detail string) {
	var sql *SQLError
	if errors.As(err, &sql) {
		return sql.State, sql.Message, ""
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
