package explain

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/logging"
)

// Guards against ids of requests that are not found because the log quotes them, and against
// texts that make lines or fields of their own.
func TestOddTextsAreReadBack(t *testing.T) {
	for _, odd := range []string{
		`r"1`, `r\1`, `r\`, "r\t1", "r=1", "r\x001", "r\u20281", "r 1", `r" request="r2`, "r1\ntime=2026-12-04T09:00:00.000Z level=info event=x request=r2",
		"r1\r\ntime=2026-12-04T09:00:00.000Z level=info event=x request=r2", `r\n1`, `\"`, "ä", "time=2026-12-04T09:00:00.000Z request=r2",
	} {
		var out bytes.Buffer
		log, err := logging.New(&out, "info")
		assert.NilError(t, err)
		log.Info().Str("request", odd).Str("vm", "vm-1").Str("error", odd).Msg("statement refused")
		lines, err := Parse(strings.NewReader(out.String()))
		assert.NilError(t, err)
		assert.Equal(t, len(lines), 1, "%q", out.String())
		assert.Equal(t, lines[0].Fields["request"], odd)
		assert.Equal(t, lines[0].Fields["error"], odd)
		assert.Equal(t, lines[0].Fields["vm"], "vm-1")
		assert.Equal(t, len(Request(odd, lines)), 1)
		assert.Equal(t, len(Request("r2", lines)), 0)
	}
}

// FuzzParse looks for a value that is read as another one.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"r1", `r"1`, `r\`, "a\nb", "a=b c", "", "\xff", "\u2028", `a" b=c`} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		text = strings.ToValidUTF8(text, "?") // the logger replaces other bytes
		var out bytes.Buffer
		log, err := logging.New(&out, "info")
		assert.NilError(t, err)
		log.Info().Str("request", text).Str("z", "1").Msg("e")
		lines, err := Parse(strings.NewReader(out.String()))
		assert.NilError(t, err)
		assert.Equal(t, len(lines), 1)
		assert.Equal(t, lines[0].Fields["request"], text)
		assert.Equal(t, lines[0].Fields["z"], "1")
		assert.Equal(t, len(lines[0].Fields), 5)
	})
}
