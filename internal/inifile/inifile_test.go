package inifile

import (
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const code = resultcode.NoteSyntax

// Guards against control bytes, a byte order mark or bytes that are not UTF-8 in a name or a
// value, which a later writer of the value would take for its end or change.
func TestBytesThatNoValueHolds(t *testing.T) {
	for _, odd := range []string{"\x00", "\x01", "\x1b[2J", "\x7f", "\v", "\f", "\ufeff", "\xff", "\ufffd", "\u0085", "\u2028", "\u2029", "\r"} {
		for _, line := range []string{"name = a" + odd + "b", "na" + odd + "me = a", "[sec" + odd + "tion]", "# a" + odd + "b", odd + "name = a", "name = a" + odd, odd} {
			text := "[first]\na = b\n" + line + "\nc = d\n"
			sections, problems := Parse("f", []byte(text), code)
			if line == "name = a\r" || line == "\r" {
				assert.Equal(t, len(problems), 0, "%q", line) // a line end of another system
				continue
			}
			assert.Assert(t, len(problems) > 0, "%q: %q", line, sections)
			assert.Equal(t, problems[0].Line, 3, "%q", line)
			assert.Assert(t, !strings.Contains(problems[0].Error(), odd), "%q", problems[0].Error())
		}
	}
	sections, problems := Parse("f", []byte("\ufeff[first]\r\na = b\tc\r\nd = ä\n"), code)
	assert.Equal(t, len(problems), 0)
	assert.DeepEqual(t, sections, []Section{{Name: "first", Line: 1, Settings: []Setting{{"a", "b\tc", 2}, {"d", "ä", 3}}}})
}

// Guards against a value that is divided, joined or unquoted into another one.
func TestValuesAreReadAsTheyAre(t *testing.T) {
	for raw, want := range map[string]string{
		`a = b=c`: "b=c", `a = [x]`: "[x]", `a = b\`: `b\`, `a = %(b)s`: "%(b)s", `a = x;y`: "x;y", `a = x#y`: "x#y", `a =b`: "b", `a = "`: `"`,
		`a = """`: `"""`, "a = ```": "`", `a = 'x`: "'x", `a = x # y`: "x",
	} {
		sections, problems := Parse("f", []byte("[s]\n"+raw+"\nz = 1\n"), code)
		if len(problems) > 0 {
			assert.Equal(t, problems[0].Line, 2, raw)
			continue
		}
		assert.Equal(t, len(sections), 1, raw)
		assert.Equal(t, len(sections[0].Settings), 2, "%s: %v", raw, sections[0].Settings)
		assert.Equal(t, sections[0].Settings[0].Value, want, raw)
		assert.Equal(t, sections[0].Settings[1], Setting{"z", "1", 3})
	}
	for _, line := range []string{"[s] a = b", "[s] # x] a = b", "[s]x", "[s", "[]", "[a]b]", "a", "= b", `"a = b`} {
		sections, problems := Parse("f", []byte("[first]\n"+line+"\n"), code)
		assert.Assert(t, len(problems) > 0, "%s: %v", line, sections)
	}
}

// FuzzParse looks for a line whose reading depends on another line, and for values that hold a
// byte that ends a line elsewhere.
func FuzzParse(f *testing.F) {
	for _, line := range []string{"a = b", "[s]", "a = \"b\"", "a = b\\", "a = \"\"\"b", "a = `b", "# c", "[s] # c", "a = b\x00", "\ufeffa = b", "a = \"b\" c", "a\r"} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		if strings.Contains(line, "\n") {
			t.Skip()
		}
		sections, problems := Parse("f", []byte("[first]\na = b\n"+line+"\nc = d\n[last]\ne = f\n"), code)
		assert.Assert(t, len(problems) <= 1)
		assert.DeepEqual(t, sections[0].Settings[0], Setting{"a", "b", 2})
		last := sections[len(sections)-1]
		assert.DeepEqual(t, last, Section{Name: "last", Line: 5, Settings: []Setting{{"e", "f", 6}}})
		before := sections[len(sections)-2].Settings
		assert.DeepEqual(t, before[len(before)-1], Setting{"c", "d", 4})
		for _, s := range sections {
			for _, setting := range s.Settings {
				text := s.Name + setting.Name + setting.Value
				assert.Assert(t, !strings.ContainsAny(text, "\x00\r\n") && !strings.Contains(text, "\ufeff") && utf8.ValidString(text), "%q", text)
			}
		}
	})
}
