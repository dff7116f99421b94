package frontend

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// sentTexts divides the input after a login into messages, without the code under test, and
// returns the texts of Query and Parse messages.
func sentTexts(input []byte) (queries, parses []string) {
	for len(input) >= minFrame {
		size := 1 + int(int32(binary.BigEndian.Uint32(input[1:])))
		if size < minFrame || size > len(input) {
			break
		}
		body := input[minFrame:size]
		switch input[0] {
		case 'Q':
			text, rest, found := bytes.Cut(body, zero)
			if !found || len(rest) > 0 {
				return queries, parses
			}
			queries = append(queries, string(text))
		case 'P':
			_, rest, _ := bytes.Cut(body, zero)
			text, _, _ := bytes.Cut(rest, zero)
			parses = append(parses, string(text))
		}
		input = input[size:]
	}
	return queries, parses
}

// ofProxy reports whether the proxy may send the text of its own accord.
func ofProxy(sql string) bool {
	for _, prefix := range []string{"BEGIN", "COMMIT", "ROLLBACK", "DISCARD ALL", `SET "`, `RESET "`} {
		if strings.HasPrefix(sql, prefix) {
			return true
		}
	}
	return false
}

// FuzzStatementsThatRun guards against statements that reach the upstream and were not sent, or in
// another order, whatever bytes follow the login and however they are cut.
func FuzzStatementsThatRun(f *testing.F) {
	for seed := range uint64(4) {
		messages, _ := script(rand.New(rand.NewPCG(seed, 3)))
		f.Add(seed, bytes.Join(messages, nil))
	}
	f.Add(uint64(1), append(frame('P', []byte("s\x00select $1\x00\x00\x00")), append(frame('B', []byte("\x00s\x00\x00\x00\x00\x01\x00\x00\x00\x01a\x00\x00")), frame('E', make([]byte, 5))...)...))
	f.Add(uint64(2), frame('Q', []byte("select 1;commit;insert b;commit;select 2\x00")))
	f.Add(uint64(3), append(frame('Q', []byte("set a.b = 'c;d'\x00")), frame('Q', []byte("select 1\x00"))...))
	f.Add(uint64(4), append(header('S', 2), frame('Q', []byte("insert smuggled\x00"))...))
	f.Add(uint64(5), append(frame('Q', []byte("select 1\x00Q\x00\x00\x00\x06x\x00")), frame('Q', []byte("insert b\x00"))...))
	f.Fuzz(func(t *testing.T, seed uint64, input []byte) {
		r, u := newScriptedRig(t, nil, nil)
		u.echo = true
		r.play(rand.New(rand.NewPCG(seed, 4)), true, input)
		queries, parses := sentTexts(input)
		u.mu.Lock()
		defer u.mu.Unlock()
		next := 0
		for _, m := range u.received {
			text, rest, err := wire.CutCString(m[minFrame:])
			switch m[0] {
			case 'Q':
				assert.Assert(t, err == nil && len(rest) == 0)
				if ofProxy(string(text)) {
					continue
				}
				for next < len(queries) && !strings.Contains(queries[next], string(text)) {
					next++
				}
				assert.Assert(t, next < len(queries), "%q was not sent, or not in this order", text)
			case 'P':
				sql, _, err := wire.CutCString(rest)
				assert.NilError(t, err)
				found := false
				for _, p := range parses {
					found = found || p == string(sql)
				}
				assert.Assert(t, found, "%q was not sent", sql)
			}
		}
	})
}

// echoAnswer returns an ordinary response to a message.
func echoAnswer(kind byte, status byte) []byte {
	switch kind {
	case 'P':
		return parseComplete
	case 'B':
		return bindComplete
	case 'D':
		return noData
	case 'E':
		return encodeAll(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	case 'S':
		return frame('Z', []byte{status})
	}
	return nil
}
