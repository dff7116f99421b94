package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// CutCString returns the NUL-terminated string at the start of body and the bytes
// after it.
func CutCString(body []byte) (text, rest []byte, err error) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return nil, nil, fmt.Errorf("%w: unterminated string", ErrMalformed)
	}
	return body[:i], body[i+1:], nil
}

// ParseParameterStatus parses the body of a ParameterStatus message.
func ParseParameterStatus(body []byte) (name, value string, err error) {
	n, rest, err := CutCString(body)
	if err != nil {
		return "", "", err
	}
	v, rest, err := CutCString(rest)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("%w: bytes after the parameter", ErrMalformed)
	}
	return string(n), string(v), err
}

// ErrorField returns a field of an ErrorResponse body, or "" if it is absent or
// malformed.
func ErrorField(body []byte, field byte) string {
	for len(body) > 1 {
		kind := body[0]
		text, rest, err := CutCString(body[1:])
		if err != nil {
			return ""
		}
		if kind == field {
			return string(text)
		}
		body = rest
	}
	return ""
}

// ValidateParameterTypes checks the length of the parameter type list at the end of
// a Parse message.
func ValidateParameterTypes(rest []byte) error {
	if len(rest) < 2 || len(rest) != 2+4*int(binary.BigEndian.Uint16(rest)) {
		return fmt.Errorf("%w: parameter types", ErrMalformed)
	}
	return nil
}
