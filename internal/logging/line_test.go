package logging

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// oddTexts hold what a reader of lines or pairs may take for an end.
var oddTexts = []string{
	"a\nb", "a\r\ntime=2026-01-01T00:00:00.000Z level=info event=forged request=r1", "a\rb", "a b", "a=b", `a"b`, `a\`, `"`, "", "a\tb", "a\x00b", "a\x1b[2Jb", "a\x85b", "a\u0085b",
	"a\u2028b", "a\u2029b", "a\vb", "a\fb", "a\xffb", "a\u00a0b", "a\u3000b", "a\ufeffb", "a\x7fb",
}

// Guards against a value or a name that becomes a line or a field of its own in the log, also
// for readers that end lines at other characters.
func TestNoTextBecomesALineOrField(t *testing.T) {
	for _, odd := range oddTexts {
		var out bytes.Buffer
		log, err := New(&out, "info")
		assert.NilError(t, err)
		log.Info().Str("value", odd).Strs("list", []string{odd, odd}).Interface("object", map[string]string{odd: odd}).Bytes("raw", []byte(odd)).
			Any(odd, "x").Msg(odd)
		log.Info().Msg("next")
		lines := strings.Split(out.String(), "\n")
		assert.Equal(t, len(lines), 3, "%q: %q", odd, out.String())
		for _, r := range out.String() {
			assert.Assert(t, r == '\n' || r > 0x1f && r != 0x7f && !strings.ContainsRune("\u0085\u2028\u2029\ufeff", r), "%q: %q", odd, out.String())
		}
		assert.Assert(t, strings.HasPrefix(lines[0], "time="))
		assert.Equal(t, strings.Count(unquoted(lines[0]), "request="), 0, "%q: %s", odd, lines[0])
	}
}

// unquoted returns a line without its quoted parts.
func unquoted(line string) string {
	var out strings.Builder
	quoted, escaped := false, false
	for _, r := range line {
		switch {
		case escaped:
			escaped = false
		case quoted && r == '\\':
			escaped = true
		case r == '"':
			quoted = !quoted
		case !quoted:
			out.WriteRune(r)
		}
	}
	return out.String()
}

// Guards against an event whose text ends the classification of a line early, so that its count
// of suppressed lines names another event.
func TestEventOfLine(t *testing.T) {
	for line, want := range map[string]string{
		`{"level":"info","event":"statement done"}`:                 "statement done",
		`{"level":"info","x":"\"event\":\"y\"","event":"caller a"}`: "caller a",
		`{"level":"info"}`: "",
	} {
		assert.Equal(t, eventOf([]byte(line)), want, line)
	}
}
