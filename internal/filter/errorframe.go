package filter

import (
	"encoding/binary"
	"errors"
	"strings"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// SQLError is an error with the SQLSTATE that PostgreSQL returns in the same case.
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

// nulReplacer replaces the byte that ends a field of an ErrorResponse.
var nulReplacer = strings.NewReplacer("\x00", `\x00`)

// ErrorFrame encodes err as an ErrorResponse message. A NUL in a text is written as \x00.
func ErrorFrame(severity string, err error) []byte {
	state, message, detail := errorFields(err)
	frame := append(make([]byte, 0, 256), 'E', 0, 0, 0, 0)
	for _, field := range [...]struct {
		kind byte
		text string
	}{{'S', severity}, {'V', severity}, {'C', state}, {'M', message}, {'D', detail}} {
		if field.text != "" {
			frame = append(append(append(frame, field.kind), nulReplacer.Replace(field.text)...), 0)
		}
	}
	frame = append(frame, 0)
	binary.BigEndian.PutUint32(frame[1:], uint32(len(frame)-1))
	return frame
}

// errorFields returns the SQLSTATE, message and detail of an error. Wrapped causes are
// omitted, because the proxy does not control their text.
func errorFields(err error) (state, message, detail string) {
	var sql *SQLError
	if errors.As(err, &sql) {
		return sql.State, sql.Message, ""
	}
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		return "XX000", "internal proxy error", ""
	}
	info := coded.Code.Info()
	effect := "not run"
	if info.Effect == resultcode.Unknown {
		effect = "outcome unknown"
	}
	name := coded.Code.String() + " " + info.Name
	return info.SQLState, name + ": " + coded.Detail, name + "; " + effect
}
