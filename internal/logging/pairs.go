package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
)

// Names of the fields that open every line, in this order.
const (
	fieldTime  = "time"
	fieldLevel = "level"
	fieldEvent = "event"
	fieldError = "error"
)

// pairsWriter turns zerolog's JSON into one line of key=value pairs: time, level,
// event, error, then the other fields in alphabetical order.
type pairsWriter struct{ out io.Writer }

// Write implements io.Writer for one event.
func (w pairsWriter) Write(event []byte) (int, error) {
	line, err := formatPairs(event)
	if err != nil {
		return 0, err
	}
	if _, err := w.out.Write(line); err != nil {
		return 0, err
	}
	return len(event), nil
}

func formatPairs(event []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(event, &fields); err != nil {
		return nil, err
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if ra, rb := fieldRank(a), fieldRank(b); ra != rb {
			return ra - rb
		}
		return strings.Compare(a, b)
	})
	var line bytes.Buffer
	for i, name := range names {
		if i > 0 {
			line.WriteByte(' ')
		}
		line.WriteString(name + "=" + quote(plain(fields[name])))
	}
	line.WriteByte('\n')
	return line.Bytes(), nil
}

func fieldRank(name string) int {
	if rank := slices.Index([]string{fieldTime, fieldLevel, fieldEvent, fieldError}, name); rank >= 0 {
		return rank
	}
	return len(fieldError)
}

// plain returns the text of a string, and the JSON of any other value.
func plain(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}
