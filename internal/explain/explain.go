// Package explain gathers the log lines of one request from the logs of several
// processes, with the state that decided it.
package explain

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// stateFields are the fields by which a line about the state of a process concerns
// a request, each with the field of the request's lines that names the same thing.
var stateFields = map[string]string{"group": "group", "peer": "via", "upstream": "upstream"}

// stateAge is the age up to which the newest line of each kind about the state is
// shown. Older state is taken for steady.
const stateAge = 30 * time.Second

// maxLine is the longest line in bytes that is read.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	// Text is the line without what stands before its time field.
	Text   string
	Time   time.Time
	Fields map[string]string
	// State says that the line is about the state of a process and not about the request.
	State bool
}

// Parse reads the key=value lines of a log; other lines are passed over. What stands
// before the time field, as a collector adds it, is dropped.
func Parse(log io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := strings.Index(scanner.Text(), "time=")
		if start < 0 {
			continue
		}
		text := scanner.Text()[start:]
		fields := parseFields(text)
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			continue
		}
		lines = append(lines, Line{Text: text, Time: at, Fields: fields})
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// parseFields splits a line of key=value pairs; values with blanks are quoted.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for text != "" {
		name, rest, ok := strings.Cut(text, "=")
		if !ok {
			return fields
		}
		value, after := cutValue(rest)
		fields[strings.TrimSpace(name)] = value
		text = after
	}
	return fields
}

// cutValue returns the value at the start of a text and what follows it.
func cutValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	escaped := false
	for i := 1; i < len(text); i++ {
		switch {
		case escaped:
			escaped = false
		case text[i] == '\\':
			escaped = true
		case text[i] == '"':
			value, err := strconv.Unquote(text[:i+1])
			if err != nil {
				value = text[1:i] // not written by package logging
			}
			return value, text[i+1:]
		}
	}
	return text, ""
}

// Request returns the lines of a request in the order of their times, each preceded
// by the newest lines about the state that concerns it: of the same VM, or of the
// group, the upstream and the VM that the request's lines name.
func Request(id string, lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var own []Line
	for _, l := range lines {
		if l.Fields["request"] == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	out := append(stateBefore(own, lines), own...)
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// stateBefore returns the newest line of each kind about the state that concerns the
// request, up to the request's last line.
func stateBefore(own, lines []Line) []Line {
	last := own[len(own)-1].Time
	newest := map[string]Line{}
	for _, l := range lines {
		if l.Fields["request"] != "" || l.Time.After(last) || last.Sub(l.Time) > stateAge || !concerns(l, own) {
			continue
		}
		l.State = true
		newest[kindOf(l)] = l
	}
	out := make([]Line, 0, len(newest))
	for _, l := range newest {
		out = append(out, l)
	}
	return out
}

// kindOf returns what a state line is about; a later line of the kind replaces it.
func kindOf(l Line) string {
	kind := []string{l.Fields["event"], l.Fields["vm"]}
	if strings.HasPrefix(l.Fields["event"], "dependency") {
		kind[0] = "dependency"
	}
	for _, name := range []string{"group", "peer", "upstream", "dependency"} {
		kind = append(kind, l.Fields[name])
	}
	return strings.Join(kind, " ")
}

// concerns reports whether a line is about the state of a VM that the request's lines
// name, and of nothing that they do not name.
func concerns(l Line, own []Line) bool {
	if event := l.Fields["event"]; strings.HasPrefix(event, "statement ") || strings.HasPrefix(event, "caller ") {
		return false
	}
	if !slices.ContainsFunc(own, func(o Line) bool { return l.Fields["vm"] == o.Fields["vm"] || l.Fields["vm"] == o.Fields["via"] }) {
		// A takeover runs on any VM.
		return l.Fields["group"] != "" && strings.HasPrefix(l.Fields["event"], "takeover") && named(l, own, "group")
	}
	return slices.ContainsFunc(own, func(o Line) bool {
		named := false
		for field, requestField := range stateFields {
			if value := l.Fields[field]; value != "" {
				if value == o.Fields[requestField] {
					return true
				}
				named = true
			}
		}
		return !named && l.Fields["vm"] == o.Fields["vm"]
	})
}

// named reports whether a request's line has the same value of a field.
func named(l Line, own []Line, field string) bool {
	return slices.ContainsFunc(own, func(o Line) bool { return o.Fields[field] == l.Fields[field] })
}
