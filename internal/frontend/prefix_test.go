package frontend

import (
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// statementText returns a statement with a number and bytes that look like messages, lines and
// other encodings. It has no NUL, which ends a text, and no semicolon and dollar sign, at which
// the fake upstream divides it.
func statementText(rnd *rand.Rand, n int, write bool) string {
	verb := "SELECT"
	if write {
		verb = "INSERT"
	}
	parts := []string{"\r\n", "\n", "Q\x01\x01\x01\x0dINSERT smuggled", "\xff\xfe\x80", "'x'", " ", "--\r\n", "X", "日本", strings.Repeat("y", rnd.IntN(3000))}
	text := fmt.Sprintf("%s %d", verb, n)
	for range rnd.IntN(4) {
		text += parts[rnd.IntN(len(parts))]
	}
	return strings.TrimSpace(text + "z")
}

// script returns the messages of a session after its login, and the statements in their order.
func script(rnd *rand.Rand) (messages [][]byte, statements []string) {
	encode := func(list ...pgproto3.FrontendMessage) {
		for _, m := range list {
			b, err := m.Encode(nil)
			if err != nil {
				panic(err)
			}
			messages = append(messages, b)
		}
	}
	block := false
	for n := range 6 {
		write := rnd.IntN(2) == 0
		text := statementText(rnd, n, write)
		switch rnd.IntN(6) {
		case 0:
			if !block {
				encode(&pgproto3.Query{String: "BEGIN"})
			} else {
				encode(&pgproto3.Query{String: "COMMIT"})
			}
			block = !block
		case 1, 2:
			encode(&pgproto3.Query{String: text})
			statements = append(statements, text)
		case 3:
			encode(&pgproto3.Parse{Name: fmt.Sprint("s", n), Query: text}, &pgproto3.Bind{PreparedStatement: fmt.Sprint("s", n)}, executeIt, syncIt)
			statements = append(statements, text)
		default:
			for i := range 1 + rnd.IntN(3) {
				text := statementText(rnd, 10*n+i, write)
				encode(&pgproto3.Parse{Query: text}, &pgproto3.Bind{}, executeIt)
				statements = append(statements, text)
			}
			encode(syncIt)
		}
	}
	return messages, statements
}

// ran returns the statements that clients sent and that the upstream ran.
func (f *fakeUpstream) ran() (out []string) {
	for _, sql := range f.statements() {
		if strings.HasPrefix(sql, "SELECT") || strings.HasPrefix(sql, "INSERT") {
			out = append(out, sql)
		}
	}
	return out
}

// assertPrefix asserts that what ran is a prefix of what was sent.
func assertPrefix(t *testing.T, ran, sent []string) {
	t.Helper()
	assert.Assert(t, len(ran) <= len(sent), "%d statements ran, %d were sent", len(ran), len(sent))
	for i := range ran {
		assert.Equal(t, ran[i], sent[i], "statement %d", i)
	}
}

// play logs in and sends the input in cuts of random sizes. It returns once the server has ended
// the connection.
func (r *rig) play(rnd *rand.Rand, login bool, input []byte) {
	r.t.Helper()
	if login {
		startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop", "database": "orders"}}).Encode(nil)
		assert.NilError(r.t, err)
		password, err := (&pgproto3.PasswordMessage{Password: testKey}).Encode(nil)
		assert.NilError(r.t, err)
		input = append(append(startup, password...), input...)
	}
	c := r.dial()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for len(input) > 0 {
			n := min(len(input), 1+rnd.IntN(1+rnd.IntN(2000)))
			if _, err := c.Write(input[:n]); err != nil {
				return
			}
			input = input[n:]
		}
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	var out bytes.Buffer
	_, err := out.ReadFrom(c)
	assert.Assert(r.t, !errors.Is(err, os.ErrDeadlineExceeded), "the session does not end; it has sent %q", out.Bytes()[max(0, out.Len()-200):])
	_ = c.Close()
	<-written
}

// Guards against statements that run and were not sent, or were sent differently or in another
// order, in any cut of the bytes, with any rest of the input lost, and with one byte changed to a
// wrong length.
func TestStatementsThatRunArePrefixOfThoseSent(t *testing.T) {
	for seed := range uint64(30) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		messages, sent := script(rnd)
		input := bytes.Join(messages, nil)
		r := newRig(t, false, nil)
		r.play(rnd, true, input)
		assert.DeepEqual(t, r.primary.ran(), sent)

		r = newRig(t, false, nil)
		r.play(rnd, true, input[:rnd.IntN(len(input))])
		assertPrefix(t, r.primary.ran(), sent)

		// A message with an invalid length ends the session.
		r = newRig(t, false, nil)
		broken := messages[:rnd.IntN(len(messages))]
		bad := bytes.Clone(messages[len(broken)])
		binary.BigEndian.PutUint32(bad[1:], uint32(rnd.IntN(4))|uint32(rnd.IntN(2))<<31)
		r.play(rnd, true, bytes.Join(append(append([][]byte{}, broken...), bad, input), nil))
		assertPrefix(t, r.primary.ran(), sent)

		// Nothing runs without a login.
		r = newRig(t, false, nil)
		r.play(rnd, false, input)
		assert.Equal(t, len(r.primary.ran()), 0)
	}
}

// Guards against messages that run before the end of the authentication, or that are lost behind
// a request for encryption.
func TestMessagesAroundLogin(t *testing.T) {
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "shop", "database": "orders"}}).Encode(nil)
	assert.NilError(t, err)
	password := func(key string) []byte { return frame('p', append([]byte(key), 0)) }
	query := frame('Q', []byte("INSERT x\x00"))
	ssl, gss := []byte{0, 0, 0, 8, 4, 0xd2, 0x16, 0x2f}, []byte{0, 0, 0, 8, 4, 0xd2, 0x16, 0x30}
	cancel := append([]byte{0, 0, 0, 16, 4, 0xd2, 0x16, 0x2e}, make([]byte, 8)...)
	withTLS := func(c *Config) { c.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t, 1)}} }
	for name, test := range map[string]struct {
		input  [][]byte
		change func(*Config)
		runs   int
	}{
		"query behind the password":           {[][]byte{startup, password(testKey), query}, nil, 1},
		"query behind refused encryption":     {[][]byte{ssl, gss, startup, password(testKey), query}, nil, 1},
		"query before the startup":            {[][]byte{query, startup, password(testKey), query}, nil, 0},
		"query before the password":           {[][]byte{startup, query, password(testKey), query}, nil, 0},
		"query behind a wrong password":       {[][]byte{startup, password("wrong"), query}, nil, 0},
		"second password":                     {[][]byte{startup, password("wrong"), password(testKey), query}, nil, 0},
		"two startups":                        {[][]byte{startup, startup, password(testKey), query}, nil, 0},
		"startup behind the login":            {[][]byte{startup, password(testKey), startup, query}, nil, 0},
		"password with a rest":                {[][]byte{startup, frame('p', []byte(testKey+"\x00x")), query}, nil, 0},
		"password above the limit":            {[][]byte{startup, password(strings.Repeat("k", 5000)), query}, nil, 0},
		"startup behind a cancel request":     {[][]byte{cancel, startup, password(testKey), query}, nil, 0},
		"startup behind a request for TLS":    {[][]byte{ssl, startup, password(testKey), query}, withTLS, 0},
		"encryption request with a body":      {[][]byte{{0, 0, 0, 12, 4, 0xd2, 0x16, 0x2f, 0, 0, 0, 0}, startup, password(testKey), query}, nil, 0},
		"GSS encryption request with a body":  {[][]byte{{0, 0, 0, 12, 4, 0xd2, 0x16, 0x30, 0, 0, 0, 0}, startup, password(testKey), query}, nil, 0},
		"too many requests for encryption":    {[][]byte{ssl, gss, ssl, startup, password(testKey), query}, nil, 0},
		"startup with a length below its own": {[][]byte{{0, 0, 0, 7, 0, 3, 0}, startup, password(testKey), query}, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				r := newRig(t, false, test.change)
				r.play(rand.New(rand.NewPCG(seed, 2)), false, bytes.Join(test.input, nil))
				assert.Equal(t, r.primary.count("INSERT x"), test.runs)
			}
		})
	}
}
