package frontend

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/frontend/sqltext"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// settingPrefix begins the names of the proxy's own settings.
	settingPrefix = "rosemarywall."
	settingToken  = "rosemarywall.session_token"
	settingAge    = "rosemarywall.accepted_age"
	// maxAcceptedAge bounds the accepted age.
	maxAcceptedAge = time.Hour
	// textOID is the type of the values that SHOW returns.
	textOID = 25
)

// isOwnSetting reports whether a statement concerns a setting of the proxy.
func isOwnSetting(s sqltext.Statement) bool {
	switch s.Kind {
	case sqltext.Set, sqltext.Show, sqltext.Reset:
		return strings.HasPrefix(s.Name, settingPrefix)
	}
	return false
}

// isLocal reports whether the proxy itself answers the statement.
func (s *session) isLocal(statement sqltext.Statement) bool {
	switch statement.Kind {
	case sqltext.Deallocate:
		return true
	case sqltext.Reset:
		return isOwnSetting(statement) || !s.inBlock()
	}
	return isOwnSetting(statement) || s.deferrable(statement) || s.endsDeferred(statement)
}

// answerLocal carries a local statement out and returns the answer. The row
// description of SHOW is part of it in the simple protocol.
func (s *session) answerLocal(statement sqltext.Statement, describe bool) ([]byte, error) {
	switch statement.Kind {
	case sqltext.Deallocate:
		if statement.Name == "" {
			s.statements = nil
			return tagFrame("DEALLOCATE ALL"), nil
		}
		if s.statements[statement.Name] == nil {
			return nil, errNoStatement
		}
		delete(s.statements, statement.Name)
		return tagFrame("DEALLOCATE"), nil
	case sqltext.Begin, sqltext.Commit, sqltext.Rollback:
		return s.answerBlock(statement)
	case sqltext.Reset:
		return s.reset(statement)
	case sqltext.Set:
		text := statement.Literal
		if statement.Default {
			text = ""
		}
		if err := s.setOwn(statement.Name, text); err != nil {
			return nil, err
		}
		return tagFrame("SET"), nil
	}
	value, err := s.showOwn(statement.Name)
	if err != nil {
		return nil, err
	}
	var answer []byte
	if describe {
		answer = rowDescription(statement.Name)
	}
	return append(append(answer, dataRow(value)...), tagFrame("SHOW")...), nil
}

func (s *session) reset(statement sqltext.Statement) ([]byte, error) {
	switch {
	case isOwnSetting(statement):
		if err := s.setOwn(statement.Name, ""); err != nil {
			return nil, err
		}
	case statement.Dirty: // DISCARD ALL
		s.resetOwn()
		s.shared.Settings.Remove("")
		s.statements = nil
		return tagFrame("DISCARD ALL"), nil
	default:
		if statement.Name == "" { // RESET ALL
			s.resetOwn()
		}
		s.shared.Settings.Remove(statement.Name)
	}
	return tagFrame("RESET"), nil
}

// resetOwn restores the defaults of the proxy's settings. A connection pool resets all
// settings before it gives the connection to another user, who brings no token and has
// accepted no age. The position of the session's own writes remains.
func (s *session) resetOwn() {
	s.carries, s.acceptedAge, s.acceptedText = false, 0, ""
}

// setOwn changes a setting of the proxy.
func (s *session) setOwn(name, value string) error {
	switch name {
	case settingToken:
		return s.setToken(value)
	case settingAge:
		age, err := parseAge(value)
		if err != nil {
			return err
		}
		s.acceptedAge, s.acceptedText = age, strings.Clone(value)
		return nil
	}
	return resultcode.New(resultcode.InvalidSetting, "unknown setting of the proxy")
}

func (s *session) showOwn(name string) (string, error) {
	switch name {
	case settingToken:
		return s.token(), nil
	case settingAge:
		return s.acceptedText, nil
	}
	return "", resultcode.New(resultcode.InvalidSetting, "unknown setting of the proxy")
}

// setToken takes a token of the caller. An empty one only asks for tokens: until the next
// write, the caller may have written elsewhere what this session knows no position of.
func (s *session) setToken(text string) error {
	s.carries = false
	if text != "" {
		t, err := routing.DecodeToken(text)
		if err != nil {
			return err
		}
		if t.Group != s.shared.Grant.Database {
			return resultcode.New(resultcode.InvalidSetting, "the session token belongs to another database")
		}
		if t.Point.Compare(s.shared.LogPoint) > 0 {
			s.shared.LogPoint = t.Point
		}
		s.carries = true
	}
	s.asked = true
	return nil
}

// token returns the token of the session, or "" before its first write.
func (s *session) token() string {
	if s.shared.LogPoint.IsZero() {
		return ""
	}
	return routing.EncodeToken(routing.Token{Group: s.shared.Grant.Database, Point: s.shared.LogPoint})
}

// parseAge parses a duration such as 5s, 250ms or 1min; a number without a unit
// is in milliseconds, as for PostgreSQL's settings. Empty and 0 turn it off.
func parseAge(text string) (time.Duration, error) {
	text = strings.ReplaceAll(text, " ", "")
	if text == "" {
		return 0, nil
	}
	if _, err := strconv.Atoi(text); err == nil {
		text += "ms"
	}
	age, err := time.ParseDuration(strings.ReplaceAll(text, "min", "m"))
	if err != nil || age < 0 || age > maxAcceptedAge {
		return 0, resultcode.New(resultcode.InvalidSetting, "accepted age must be a duration of 0 to %s", maxAcceptedAge)
	}
	return age, nil
}

// frame builds a message.
func frame(kind byte, body []byte) []byte {
	out := binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body)))
	return append(out, body...)
}

func tagFrame(tag string) []byte { return frame('C', append([]byte(tag), 0)) }

// rowDescription describes one column of type text.
func rowDescription(name string) []byte {
	body := append(append([]byte{0, 1}, name...), 0)
	body = append(body, 0, 0, 0, 0, 0, 0) // no table, no column number
	body = binary.BigEndian.AppendUint32(body, textOID)
	body = append(body, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0) // variable size, no modifier, text format
	return frame('T', body)
}

func dataRow(value string) []byte {
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	return frame('D', append(body, value...))
}

// applyStartup takes the session settings of the startup message.
func (s *session) applyStartup(p startupParams) error {
	for name, value := range p.values {
		switch name {
		case "user", "database":
		case "replication":
			if value != "false" && value != "off" && value != "0" && value != "no" {
				return resultcode.New(resultcode.FeatureNotSupported, "replication connections")
			}
		case "options":
			if err := s.applyOptions(value); err != nil {
				return err
			}
		default:
			if err := s.applySetting(strings.ToLower(name), value); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyOptions takes settings in the form "-c name=value" and "--name=value".
func (s *session) applyOptions(options string) error {
	words := strings.Fields(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "--"), strings.HasPrefix(word, "-c"):
			word = word[2:]
		default:
			return resultcode.New(resultcode.InvalidSetting, "startup option that is not a setting")
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return resultcode.New(resultcode.InvalidSetting, "startup option without a value")
		}
		if err := s.applySetting(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) applySetting(name, value string) error {
	if strings.HasPrefix(name, settingPrefix) {
		return s.setOwn(name, value)
	}
	if s.shared.Settings.Full() || !validName(name) || name == "role" || name == "session_authorization" ||
		name == "standard_conforming_strings" && value != "on" {
		return resultcode.New(resultcode.InvalidSetting, "startup setting that is not supported")
	}
	s.shared.Settings.Set(name, filter.Setting{SQL: filter.QuoteLiteral(value), Text: value})
	return nil
}

// validName reports whether a setting name consists of letters, digits and
// underscores in one or two parts.
func validName(name string) bool {
	if name == "" || len(name) > 63 || strings.Count(name, ".") > 1 {
		return false
	}
	for _, c := range []byte(name) {
		if c != '_' && c != '.' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}
