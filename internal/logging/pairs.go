package logging

import (
	"cmp"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
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

// pair is a field of a line.
type pair struct {
	name, value string
	rank        int
}

func formatPairs(event []byte) ([]byte, error) {
	if !gjson.ValidBytes(event) {
		return nil, errors.Newf("not a JSON object: %q", event)
	}
	pairs := make([]pair, 0, usualFields)
	size := 0
	gjson.ParseBytes(event).ForEach(func(name, value gjson.Result) bool {
		p := pair{name: name.Str, value: value.Raw, rank: fieldRank(name.Str)}
		if value.Type == gjson.String {
			p.value = value.Str
		}
		pairs = append(pairs, p)
		size += len(p.name) + len(p.value) + len(` =""`)
		return true
	})
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(a.rank-b.rank, strings.Compare(a.name, b.name))
	})
	line := make([]byte, 0, size)
	for i, p := range pairs {
		if i > 0 {
			line = append(line, ' ')
		}
		line = append(append(append(line, quote(p.name)...), '='), quote(p.value)...)
	}
	return append(line, '\n'), nil
}

// usualFields is the capacity for the fields of a line; more are possible.
const usualFields = 24

func fieldRank(name string) int {
	switch name {
	case fieldTime:
		return 0
	case fieldLevel:
		return 1
	case fieldEvent:
		return 2
	case fieldError:
		return 3
	}
	return 4
}
