package frontend

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// scriptedUpstream answers statements with bytes that a test chooses and keeps the
// messages that it received.
type scriptedUpstream struct {
	// answer returns the response to a simple query, with its ReadyForQuery, and whether
	// the connection ends after it. Queries of the proxy have a response of their own.
	answer func(sql string) (response []byte, end bool)

	// echo gives an ordinary response to each message instead.
	echo bool

	mu       sync.Mutex
	received [][]byte
}

// newScriptedRig starts a server in front of an upstream that answers with answer.
func newScriptedRig(t *testing.T, answer func(sql string) ([]byte, bool), change func(*Config)) (*rig, *scriptedUpstream) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	u := &scriptedUpstream{answer: answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	r := newRig(t, false, change)
	r.control.set(func() { r.control.primary.Address = l.Addr().String() })
	return r, u
}

func (u *scriptedUpstream) serve(c net.Conn) {
	defer c.Close()
	if _, err := pgproto3.NewBackend(c, c).ReceiveStartupMessage(); err != nil {
		return
	}
	_, _ = c.Write(encodeAll(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{1, 2, 3, 4}}, &pgproto3.ReadyForQuery{TxStatus: 'I'}))
	status := byte('I')
	for {
		header := make([]byte, minFrame)
		if _, err := io.ReadFull(c, header); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(header[1:])-4)
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		u.mu.Lock()
		u.received = append(u.received, append(header, body...))
		u.mu.Unlock()
		var out []byte
		end := false
		switch header[0] {
		case 'C':
			out = closeComplete
		case 'Q':
			sql := string(bytes.TrimSuffix(body, zero))
			if u.echo && !ofProxy(sql) {
				out = append(tagFrame("INSERT 0 1"), frame('Z', []byte{status})...)
				break
			}
			switch sql {
			case "BEGIN":
				status = 'T'
				out = append(tagFrame(sql), frame('Z', []byte{status})...)
			case "COMMIT", "ROLLBACK", "DISCARD ALL", `SET "default_transaction_read_only" TO on;`, `RESET "default_transaction_read_only";`:
				status = 'I'
				out = append(tagFrame(sql), frame('Z', []byte{status})...)
			default:
				if u.echo {
					tag, _, _ := strings.Cut(sql, " ")
					out = append(tagFrame(tag), frame('Z', []byte{status})...)
					break
				}
				out, end = u.answer(sql)
			}
		default:
			out = echoAnswer(header[0], status)
		}
		if _, err := c.Write(out); err != nil || end {
			return
		}
	}
}

// encodeAll encodes messages of an upstream.
func encodeAll(messages ...pgproto3.BackendMessage) (out []byte) {
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			panic(err)
		}
	}
	return out
}

// frameKinds cuts input into frames. It returns their types, and the bytes after the last
// complete one.
func frameKinds(input []byte) (kinds string, rest []byte) {
	for len(input) >= minFrame {
		size := 1 + int(int32(binary.BigEndian.Uint32(input[1:])))
		if size < minFrame || size > len(input) {
			break
		}
		kinds += string(rune(input[0]))
		input = input[size:]
	}
	return kinds, input
}
