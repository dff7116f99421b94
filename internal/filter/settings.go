package filter

import (
	"maps"
	"slices"
	"strings"

	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
)

// Setting is a session setting: its SQL value as written and the value itself
// where that is a single literal.
type Setting struct {
	SQL  string
	Text string
}

// change is a SET or RESET that takes effect at commit.
type change struct {
	name  string
	value *Setting
	all   bool
}

// Settings are the tracked settings of a session.
type Settings struct {
	values  map[string]Setting
	pending []change
}

// IsOn reports whether a boolean setting is set to on.
func (s *Settings) IsOn(name string) bool {
	switch strings.ToLower(s.values[name].Text) {
	case "on", "true", "yes", "1", "t", "y":
		return true
	}
	return false
}

// Reported returns the value of a setting under the name that upstreams report.
func (s *Settings) Reported(name string) (string, bool) {
	for setting, reported := range reportedNames {
		if v, ok := s.values[setting]; ok && reported == name {
			return v.Text, true
		}
	}
	return "", false
}

// Set sets a setting.
func (s *Settings) Set(name string, value Setting) {
	if s.values == nil {
		s.values = map[string]Setting{}
	}
	s.values[name] = value
}

// Remove removes a setting, or all when name is empty.
func (s *Settings) Remove(name string) {
	if name == "" {
		s.values = nil
		return
	}
	delete(s.values, name)
}

// maxSettings bounds the settings of one session.
const maxSettings = 256

// Full reports whether the session can take no further setting.
func (s *Settings) Full() bool { return len(s.values)+len(s.pending) >= maxSettings }

// Record notes a SET or RESET that the upstream has run; Commit or Rollback
// decides about it.
func (s *Settings) Record(statement sqltext.Statement) {
	switch {
	case statement.Kind == sqltext.Reset:
		s.pending = append(s.pending, change{name: statement.Name, all: statement.Name == ""})
	case statement.Kind == sqltext.Set && statement.Local:
	case statement.Kind == sqltext.Set && statement.Default:
		s.pending = append(s.pending, change{name: statement.Name})
	case statement.Kind == sqltext.Set:
		// Clone keeps the setting from holding the whole query in memory.
		value := Setting{SQL: strings.Clone(statement.Value), Text: strings.Clone(statement.Text)}
		s.pending = append(s.pending, change{name: strings.Clone(statement.Name), value: &value})
	}
}

// Commit applies the recorded changes to the session and to the settings applied
// on the connection.
func (s *Settings) Commit(applied map[string]string) {
	for _, c := range s.pending {
		switch {
		case c.all:
			s.values = nil
			clear(applied)
		case c.value == nil:
			delete(s.values, c.name)
			delete(applied, c.name)
		default:
			s.Set(c.name, *c.value)
			applied[c.name] = c.value.SQL
		}
	}
	s.pending = nil
}

// Rollback drops the recorded changes.
func (s *Settings) Rollback() { s.pending = nil }

// ReadOnlySetting makes an upstream refuse writes outside of transactions that
// ask for them. It is on for every connection leased for reads, because the class
// of a statement does not show what the functions that it calls do.
const ReadOnlySetting = "default_transaction_read_only"

var readOnly = Setting{SQL: "on", Text: "on"}

// wanted returns the settings that a connection needs for a read or a write.
func (s *Settings) wanted(read bool) map[string]Setting {
	if !read {
		return s.values
	}
	if len(s.values) == 0 {
		return readOnlyOnly
	}
	values := maps.Clone(s.values)
	values[ReadOnlySetting] = readOnly
	return values
}

var readOnlyOnly = map[string]Setting{ReadOnlySetting: readOnly}

// Matches reports whether a connection has exactly the settings of the session.
func (s *Settings) Matches(applied map[string]string, read bool) bool {
	n := len(s.values)
	for name, v := range s.values {
		if read && name == ReadOnlySetting {
			n--
		} else if old, ok := applied[name]; !ok || old != v.SQL {
			return false
		}
	}
	if read {
		n++
		if applied[ReadOnlySetting] != readOnly.SQL {
			return false
		}
	}
	return n == len(applied)
}

// Difference returns the statements that bring a connection with the applied
// settings and the reported parameters to the session's settings, or "".
func (s *Settings) Difference(applied, reported map[string]string, read bool) string {
	if s.Matches(applied, read) {
		return ""
	}
	values := s.wanted(read)
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(applied)) {
		if _, ok := values[name]; !ok {
			b.WriteString("RESET " + QuoteName(name) + ";")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		v := values[name]
		if old, ok := applied[name]; ok && old == v.SQL {
			continue
		} else if !ok && isReported(reported, name, v.Text) {
			continue
		}
		b.WriteString("SET " + QuoteName(name) + " TO " + v.SQL + ";")
	}
	return b.String()
}

// MarkApplied records that a connection has the session's settings.
func (s *Settings) MarkApplied(applied map[string]string, read bool) {
	clear(applied)
	for name, v := range s.wanted(read) {
		applied[name] = v.SQL
	}
}

// reportedNames maps settings to the parameter names that upstreams report.
var reportedNames = map[string]string{
	"client_encoding": "client_encoding", "application_name": "application_name", "datestyle": "DateStyle",
	"timezone": "TimeZone", "intervalstyle": "IntervalStyle", "standard_conforming_strings": "standard_conforming_strings",
}

func isReported(reported map[string]string, name, text string) bool {
	key, known := reportedNames[name]
	value, ok := reported[key]
	return known && ok && strings.EqualFold(value, text)
}

// QuoteName quotes a setting name of one or two parts.
func QuoteName(name string) string {
	parts := strings.Split(name, ".")
	for i, p := range parts {
		parts[i] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}

// QuoteLiteral quotes a string value.
func QuoteLiteral(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }
