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

// ValidateBind checks the part of a Bind message behind the names: parameter formats,
// parameters and result formats.
func ValidateBind(rest []byte) error {
	rest, ok := cutCounted(rest, func([]byte) int { return 2 })
	if ok {
		rest, ok = cutCounted(rest, parameterBytes)
	}
	if ok {
		rest, ok = cutCounted(rest, func([]byte) int { return 2 })
	}
	if !ok || len(rest) != 0 {
		return fmt.Errorf("%w: parameters of Bind", ErrMalformed)
	}
	return nil
}

// cutCounted cuts a count and as many items off rest. size returns the size of the item at the
// start of its argument, or -1 if there is none.
func cutCounted(rest []byte, size func([]byte) int) ([]byte, bool) {
	if len(rest) < 2 {
		return nil, false
	}
	n := int(binary.BigEndian.Uint16(rest))
	rest = rest[2:]
	for range n {
		m := size(rest)
		if m < 0 || m > len(rest) {
			return nil, false
		}
		rest = rest[m:]
	}
	return rest, true
}

// parameterBytes returns the size of a parameter with its length, which is -1 for NULL.
func parameterBytes(rest []byte) int {
	if len(rest) < 4 {
		return -1
	}
	length := int(int32(binary.BigEndian.Uint32(rest)))
	switch {
	case length == -1:
		return 4
	case length < 0:
		return -1
	}
	return 4 + length
}
