// Package inifile reads INI text and keeps the line of every section and
// setting, which gopkg.in/ini.v1 does not report. The library parses each line;
// this package only attributes the results to lines. Values that continue on the
// next line are refused.
package inifile

import (
	"fmt"
	"sort"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Setting is one "name = value" line.
type Setting struct {
	Name  string
	Value string
	Line  int
}

// Section is a section heading with its settings, in the order of the file.
type Section struct {
	Name     string
	Line     int
	Settings []Setting
}

// Problem is a fault of a file, with its line (from 1; 0 for the whole file).
type Problem struct {
	File string          `json:"file"`
	Line int             `json:"line"`
	Code resultcode.Code `json:"code"`
	Text string          `json:"text"`
}

// Error formats the problem as file:line: code: text.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Code, p.Text)
}

// Problems are the faults of one file, reported together.
type Problems []Problem

// Error puts every problem on its own line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the problems by line and keeps the order of those on one line.
func (p Problems) Sort() {
	sort.SliceStable(p, func(i, j int) bool { return p[i].Line < p[j].Line })
}

var options = ini.LoadOptions{
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
	SpaceBeforeInlineComment: true,
}

// Parse reads the text. Problems carry the given syntax code; the sections that
// could be read are returned along with them.
func Parse(file string, data []byte, syntax resultcode.Code) ([]Section, Problems) {
	var sections []Section
	var problems Problems
	report := func(line int, format string, args ...any) {
		problems = append(problems, Problem{File: file, Line: line, Code: syntax, Text: fmt.Sprintf(format, args...)})
	}
	text := strings.TrimPrefix(string(data), "\ufeff")
	for i, raw := range strings.Split(text, "\n") {
		line := i + 1
		raw = strings.TrimSuffix(raw, "\r")
		if strings.ContainsFunc(raw, isUnreadable) {
			// The text may hold a password.
			report(line, "the line holds a control byte, a byte order mark or a byte that is not UTF-8")
			continue
		}
		raw = strings.TrimSpace(raw)
		if raw == "" || raw[0] == '#' || raw[0] == ';' {
			continue
		}
		parsed, err := ini.LoadSources(options, []byte(raw))
		if err != nil {
			// The library's text may quote the line, which can hold a password.
			report(line, "expected a [section] or a name = value on one line")
			continue
		}
		if raw[0] == '[' {
			if !isHeading(raw) {
				report(line, "expected nothing but a comment behind the [section]")
				continue
			}
			names := parsed.SectionStrings()
			sections = append(sections, Section{Name: names[len(names)-1], Line: line})
			continue
		}
		keys := parsed.Section(ini.DefaultSection).Keys()
		if len(keys) != 1 {
			report(line, "expected a [section] or a name = value on one line")
			continue
		}
		if len(sections) == 0 {
			report(line, "setting %q stands before the first section", keys[0].Name())
			continue
		}
		last := &sections[len(sections)-1]
		last.Settings = append(last.Settings, Setting{Name: keys[0].Name(), Value: keys[0].Value(), Line: line})
	}
	return sections, problems
}

// isHeading reports whether a line holds one section heading and nothing else but a comment. The
// library drops what stands behind the last bracket.
func isHeading(line string) bool {
	name, rest, found := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	return found && strings.TrimSpace(name) != "" && !strings.Contains(name, "[") && (rest == "" || rest[0] == '#' || rest[0] == ';') && !strings.Contains(rest, "]")
}

// isUnreadable reports whether a character has no place in a line: other programs end a line or
// a text at it, or do not show it. utf8.RuneError stands for bytes that are not UTF-8.
func isUnreadable(r rune) bool {
	return unicode.IsControl(r) && r != '\t' || unicode.In(r, unicode.Zl, unicode.Zp) || r == '\ufeff' || r == utf8.RuneError
}
