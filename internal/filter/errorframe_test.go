package filter

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// Guards against a text that becomes another field of the error.
func TestErrorFrameKeepsTextsInTheirFields(t *testing.T) {
	for _, err := range []error{
		resultcode.New(resultcode.RolledBack, "a\x00C00000\x00VFATAL"),
		&SQLError{State: "22012", Message: "a\x00VFATAL"}, &SQLError{State: "2\x00VFATAL", Message: "a"},
	} {
		body := ErrorFrame(SeverityError, err)[5:]
		fields := 0
		for len(body) > 1 {
			_, rest, cutErr := wire.CutCString(body[1:])
			assert.NilError(t, cutErr)
			body = rest
			fields++
		}
		assert.Equal(t, len(body), 1)
		assert.Assert(t, fields <= 5, "%d fields", fields)
		assert.Equal(t, wire.ErrorField(ErrorFrame(SeverityError, err)[5:], 'V'), SeverityError)
	}
}

// Guards against a literal that ends early at an upstream without standard_conforming_strings.
func TestQuoteLiteral(t *testing.T) {
	for text, want := range map[string]string{"a": "'a'", "a'b": "'a''b'", `\'; DROP TABLE t; --`: ` E'\\''; DROP TABLE t; --'`} {
		assert.Equal(t, QuoteLiteral(text), want)
	}
}
