package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// CutCString splits a zero-terminated string off the front of a body.
func CutCString(body []byte) (text, rest []byte, err error) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return nil, nil, fmt.Errorf("%w: unterminated string", ErrMalformed)
	}
	return body[:i], body[i+1:], nil
}

// ParseParameterStatus decodes the body of a ParameterStatus message.
func ParseParameterStatus(body []byte) (name, value string, err error) {
	n, rest, err := CutCString(body)
	if err != nil {
		return "", "", err
	}
	v, _, err := CutCString(rest)
	return string(n), string(v), err
}

// ErrorField returns a field of the body of an ErrorResponse, or "".
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

// ValidateParameterTypes decodes the parameter type list that ends a Parse message.
func ValidateParameterTypes(rest []byte) error {
	if len(rest) < 2 || len(rest) != 2+4*int(binary.BigEndian.Uint16(rest)) {
		return fmt.Errorf("%w: parameter types", ErrMalformed)
	}
	return nil
}
