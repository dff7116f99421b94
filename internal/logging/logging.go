// Package logging writes one line of key=value pairs for each event.
package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// New returns a logger at the given level, one of debug, info, warn and error.
func New(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, err
	}
	writer := zerolog.ConsoleWriter{
		Out:             out,
		NoColor:         true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		FormatTimestamp: keyed("time"),
		FormatLevel:     keyed("level"),
		FormatMessage:   keyed("event"),
		FormatFieldName: func(name any) string { return fmt.Sprintf("%s=", name) },
		FormatFieldValue: func(value any) string {
			return quote(fmt.Sprint(value))
		},
		FormatErrFieldName:  func(name any) string { return fmt.Sprintf("%s=", name) },
		FormatErrFieldValue: func(value any) string { return quote(fmt.Sprint(value)) },
	}
	return zerolog.New(writer).Level(parsed).With().Timestamp().Logger(), nil
}

func keyed(key string) zerolog.Formatter {
	return func(value any) string {
		if value == nil {
			return ""
		}
		return key + "=" + quote(fmt.Sprint(value))
	}
}

// quote returns text unchanged when it is one word, so that a line splits at spaces.
func quote(text string) string {
	if text != "" && !strings.ContainsAny(text, " \t\r\n\"=") {
		return text
	}
	if strings.HasPrefix(text, `"`) && strings.HasSuffix(text, `"`) && len(text) > 1 {
		return text // already quoted by zerolog
	}
	return strconv.Quote(text)
}
