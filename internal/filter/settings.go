package filter

import (
	"maps"
	"slices"
	"strings"

	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
)

// Setting is the value of a session setting. SQL is the value as the client wrote it;
// Text is the unquoted value if it is a single literal.
type Setting struct {
	SQL  string
	Text string
}

// settingChange is a SET or RESET that takes effect at commit.
type settingChange struct {
	name  string
	value *Setting
	all   bool
}

// Settings tracks the settings of a session.
type Settings struct {
	values  map[string]Setting
	pending []settingChange
}

// IsOn reports whether a boolean setting is on.
func (s *Settings) IsOn(name string) bool {
	switch strings.ToLower(s.values[name].Text) {
	case "on", "true", "yes", "1", "t", "y":
		return true
	}
	return false
}

// Reported returns the value of the setting that upstreams report under the name in
// ParameterStatus.
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

// Remove removes a setting, or all settings if name is empty.
func (s *Settings) Remove(name string) {
	if name == "" {
		s.values = nil
		return
	}
	delete(s.values, name)
}

// maxSettings is the maximum number of settings of one session.
const maxSettings = 256

// Full reports whether the session has reached its maximum number of settings.
func (s *Settings) Full() bool { return len(s.values)+len(s.pending) >= maxSettings }

// Record records a SET or RESET that the upstream has run. Commit applies it and
// Rollback discards it.
func (s *Settings) Record(statement sqltext.Statement) {
	switch {
	case statement.Kind == sqltext.Reset:
		s.pending = append(s.pending, settingChange{name: statement.Name, all: statement.Name == ""})
	case statement.Kind == sqltext.Set && statement.Local:
	case statement.Kind == sqltext.Set && statement.Default:
		s.pending = append(s.pending, settingChange{name: statement.Name})
	case statement.Kind == sqltext.Set:
		// The strings are cloned because they would keep the whole query in memory.
		value := Setting{SQL: strings.Clone(statement.Value), Text: strings.Clone(statement.Literal)}
		s.pending = append(s.pending, settingChange{name: strings.Clone(statement.Name), value: &value})
	}
}

// Commit applies the recorded changes to the session and to applied, the settings of
// the connection.
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

// Rollback discards the recorded changes.
func (s *Settings) Rollback() { s.pending = nil }

// ReadOnlySetting is the setting that makes an upstream reject writes, except in
// transactions that are explicitly READ WRITE. It is on for every connection leased
// for reads, because a statement classified as a read may call a function that writes.
const ReadOnlySetting = "default_transaction_read_only"

var readOnly = Setting{SQL: "on", Text: "on"}

// required returns the settings that a connection needs for a read or a write.
func (s *Settings) required(read bool) map[string]Setting {
	if !read {
		return s.values
	}
	if len(s.values) == 0 {
		return readOnlySettings
	}
	values := maps.Clone(s.values)
	values[ReadOnlySetting] = readOnly
	return values
}

var readOnlySettings = map[string]Setting{ReadOnlySetting: readOnly}

// Matches reports whether the settings applied to a connection are exactly those that
// a read or a write of the session requires.
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

// Difference returns the SET and RESET statements that change a connection from the
// applied settings and reported parameters to the settings that a read or a write of
// the session requires. It returns "" if there is nothing to change.
func (s *Settings) Difference(applied, reported map[string]string, read bool) string {
	if s.Matches(applied, read) {
		return ""
	}
	values := s.required(read)
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

// MarkApplied records in applied that a connection has the required settings.
func (s *Settings) MarkApplied(applied map[string]string, read bool) {
	clear(applied)
	for name, v := range s.required(read) {
		applied[name] = v.SQL
	}
}

// reportedNames maps settings to the parameter names that upstreams report in
// ParameterStatus.
var reportedNames = map[string]string{
	"client_encoding": "client_encoding", "application_name": "application_name", "datestyle": "DateStyle",
	"timezone": "TimeZone", "intervalstyle": "IntervalStyle", "standard_conforming_strings": "standard_conforming_strings",
}

func isReported(reported map[string]string, name, text string) bool {
	key, known := reportedNames[name]
	value, ok := reported[key]
	return known && ok && strings.EqualFold(value, text)
}

// QuoteName quotes a setting name, which may consist of two parts separated by a dot.
func QuoteName(name string) string {
	parts := strings.Split(name, ".")
	for i, p := range parts {
		parts[i] = `"` + strings.ReplaceAll(p, `"`, `""`) + `"`
	}
	return strings.Join(parts, ".")
}

// QuoteLiteral quotes a string literal. One with a backslash has the form E'...', which has the
// same meaning whether or not standard_conforming_strings is on.
func QuoteLiteral(text string) string {
	quoted := "'" + strings.ReplaceAll(text, "'", "''") + "'"
	if strings.Contains(text, `\`) {
		return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
	}
	return quoted
}
