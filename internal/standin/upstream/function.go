package upstream

import (
	"crypto/rand"
	"database/sql/driver"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"modernc.org/sqlite"
)

// timestampFormat is the text form of timestamps.
const timestampFormat = "2006-01-02 15:04:05.999999"

// volatileWords are functions that a write must not execute on each member, as
// members would differ.
var volatileWords = []string{"NOW", "CURRENT_TIMESTAMP", "RANDOM", "GEN_RANDOM_UUID"}

// withoutVolatile returns a copy of a write in which calls of volatile functions
// are replaced by their values, or the statement itself.
func (s *statement) withoutVolatile() *statement {
	if !s.volatile {
		return s
	}
	fixed := *s
	fixed.tokens = nil
	for i := 0; i < len(s.tokens); i++ {
		t := s.tokens[i]
		call := i+2 < len(s.tokens) && s.tokens[i+1].is("(") && s.tokens[i+2].is(")")
		if t.kind != tokenWord || !t.is(volatileWords...) || !call && !t.is("CURRENT_TIMESTAMP") {
			fixed.tokens = append(fixed.tokens, t)
			continue
		}
		fixed.tokens = append(fixed.tokens, token{kind: tokenString, text: volatileValue(t)})
		if call {
			i += 2
		}
	}
	fixed.sqlite = join(translate(fixed.tokens))
	return &fixed
}

// volatileValue evaluates a function as an SQL literal.
func volatileValue(function token) string {
	random := randomBytes()
	switch {
	case function.is("RANDOM"):
		return strconv.FormatFloat(fraction(random), 'f', -1, 64)
	case function.is("GEN_RANDOM_UUID"):
		return "'" + formatUUID(random) + "'"
	}
	return "'" + time.Now().UTC().Format(timestampFormat) + "'"
}

// fraction returns a number from 0 up to but excluding 1, as random() does.
func fraction(random [16]byte) float64 {
	return float64(binary.BigEndian.Uint64(random[:])>>11) / (1 << 53)
}

// formatUUID formats a random (version 4) UUID.
func formatUUID(random [16]byte) string {
	random[6] = random[6]&0x0f | 0x40
	random[8] = random[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", random[:4], random[4:6], random[6:8], random[8:10], random[10:])
}

func randomBytes() (random [16]byte) {
	_, _ = rand.Read(random[:])
	return random
}

// functions are functions of PostgreSQL that SQLite lacks or defines otherwise.
var functions = map[string]func() driver.Value{
	"now":             func() driver.Value { return time.Now().UTC().Format(timestampFormat) },
	"version":         func() driver.Value { return "PostgreSQL 16.0 (rosemarywall stand-in)" },
	"gen_random_uuid": func() driver.Value { return formatUUID(randomBytes()) },
	"random":          func() driver.Value { return fraction(randomBytes()) },
}

func init() {
	for name, function := range functions {
		sqlite.MustRegisterScalarFunction(name, 0, func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error) {
			return function(), nil
		})
	}
	sqlite.MustRegisterDeterministicScalarFunction("repeat", 2, func(_ *sqlite.FunctionContext, arguments []driver.Value) (driver.Value, error) {
		return strings.Repeat(string(appendText(nil, arguments[0], oidText)), int(max(0, integerOf(arguments[1])))), nil
	})
	sqlite.MustRegisterScalarFunction("pg_sleep", 1, func(_ *sqlite.FunctionContext, arguments []driver.Value) (driver.Value, error) {
		time.Sleep(time.Duration(floatOf(arguments[0]) * float64(time.Second)))
		return "", nil
	})
}
