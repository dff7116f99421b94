package frontend

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// bindBody returns the part of Bind behind the names: formats, parameters and result formats.
func bindBody(counts ...any) (out []byte) {
	for _, c := range counts {
		switch c := c.(type) {
		case int:
			out = binary.BigEndian.AppendUint16(out, uint16(c))
		case string:
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(c))), c...)
		case uint32:
			out = binary.BigEndian.AppendUint32(out, c)
		}
	}
	return out
}

// Guards against messages that reach the upstream although their bytes are not those that their
// counts tell.
func TestInvalidBodiesEndSession(t *testing.T) {
	bind := func(rest []byte) []byte { return frame('B', append([]byte{0, 0}, rest...)) }
	for name, message := range map[string][]byte{
		"Query without its NUL":        frame('Q', []byte("INSERT x")),
		"Query with two texts":         frame('Q', []byte("SELECT 1\x00INSERT x\x00")),
		"Query with bytes behind it":   frame('Q', []byte("INSERT x\x00Q")),
		"empty Query body":             frame('Q', nil),
		"Parse with too few types":     frame('P', []byte("s\x00INSERT x\x00\x00\x01")),
		"Parse with a rest":            frame('P', []byte("s\x00INSERT x\x00\x00\x00\x00")),
		"Parse without types":          frame('P', []byte("s\x00INSERT x\x00")),
		"Bind without counts":          bind(nil),
		"Bind with too few formats":    bind(bindBody(3, 0, 0)),
		"Bind with a negative count":   bind(bindBody(0xffff, 0, 0)),
		"Bind with too few parameters": bind(bindBody(0, 2, "a", 0)),
		"Bind with a long parameter":   bind(bindBody(0, 1, uint32(100), 0)),
		"Bind with a negative length":  bind(bindBody(0, 1, uint32(0xfffffffe), 0)),
		"Bind with a rest":             bind(bindBody(0, 1, "a", 0, 0)),
		"Bind without result formats":  bind(bindBody(0, 1, "a")),
		"Bind with too few results":    bind(bindBody(0, 1, "a", 2, 0)),
		"Execute without a limit":      frame('E', []byte{0}),
		"Execute with a rest":          frame('E', []byte{0, 0, 0, 0, 0, 0}),
		"Describe of another kind":     frame('D', []byte("X\x00")),
		"Describe with a rest":         frame('D', []byte("P\x00\x00")),
		"Close with a rest":            frame('C', []byte("P\x00x")),
		"Flush with a body":            frame('H', []byte{0}),
		"Sync with a body":             frame('S', frame('Q', []byte("INSERT x\x00"))),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, false, nil)
			x := r.raw()
			x.query("BEGIN", "C:BEGIN Z:T")
			x.query("INSERT open", "C:INSERT_0_1 Z:T")
			x.send(prepare("", "INSERT batch $1"), &pgproto3.Bind{Parameters: [][]byte{[]byte("a")}}, executeIt)
			x.write(message)
			x.send(syncIt, &pgproto3.Query{String: "COMMIT"})
			x.wantRejected(stateMalformed)
			for _, sql := range []string{"INSERT x", "INSERT batch", "COMMIT"} {
				assert.Equal(t, r.primary.count(sql), 0)
			}
		})
	}
}

// Guards against messages of a COPY that reach the upstream although their bytes are not those of
// their type.
func TestInvalidBodiesInCopyEndSession(t *testing.T) {
	for name, message := range map[string][]byte{
		"CopyDone with a body":         frame('c', []byte{0}),
		"CopyFail without its NUL":     frame('f', []byte("stop")),
		"CopyFail with a rest":         frame('f', []byte("stop\x00x")),
		"Sync with a body":             frame('S', []byte{0}),
		"Flush with a body":            frame('H', []byte{0}),
		"Query":                        frame('Q', []byte("INSERT x\x00")),
		"message of an unknown type":   frame('?', nil),
		"Sync with a large body":       header('S', 1<<30),
		"CopyFail with an endless one": header('f', 1<<30),
	} {
		for _, extended := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s %v", name, extended), func(t *testing.T) {
				r := newRig(t, false, nil)
				x := r.raw()
				if extended {
					x.send(prepare("", "COPY t FROM STDIN"), bindTo(""), executeIt, syncIt)
					x.want("ParseComplete BindComplete CopyInResponse")
				} else {
					x.query("COPY t FROM STDIN", "CopyInResponse")
				}
				x.send(&pgproto3.CopyData{Data: []byte("1\n")})
				x.write(message)
				x.send(&pgproto3.CopyDone{}, syncIt)
				if bytes.HasPrefix(message, header('f', 1<<30)) {
					x.wantRejected(stateTooLarge)
				} else {
					x.wantRejected(stateMalformed)
				}
				assert.Equal(t, r.primary.count("INSERT x"), 0)
				assert.Equal(t, len(r.control.confirmed), 0)
			})
		}
	}
}
