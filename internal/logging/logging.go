// Package logging writes one line of key=value pairs for each event.
package logging

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// timeFormat has milliseconds, so that lines of several processes can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() {
	zerolog.MessageFieldName = fieldEvent
	zerolog.TimeFieldFormat = timeFormat
	zerolog.DurationFieldUnit = time.Millisecond
}

// New returns a logger at the given level, one of debug, info, warn and error.
func New(out io.Writer, level string) (zerolog.Logger, error) {
	return newLogger(pairsWriter{out}, level)
}

func newLogger(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, err
	}
	return zerolog.New(out).Level(parsed).With().Timestamp().Logger(), nil
}

// quote returns text unchanged when it is one word of printable characters, so that a line
// splits at spaces, and no reader ends it early at another character.
func quote(text string) string {
	if text != "" && !strings.ContainsFunc(text, needsQuotes) {
		return text
	}
	return strconv.Quote(text)
}

func needsQuotes(r rune) bool { return r == ' ' || r == '"' || r == '=' || !strconv.IsPrint(r) }
