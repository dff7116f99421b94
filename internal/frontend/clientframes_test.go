package frontend

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// write sends bytes that need not be messages.
func (x *raw) write(parts ...[]byte) {
	x.t.Helper()
	_, err := x.c.Write(bytes.Join(parts, nil))
	assert.NilError(x.t, err)
}

// wantRejected asserts that the connection ends with one error of the state.
func (x *raw) wantRejected(state string) {
	x.t.Helper()
	x.want("E:" + state)
	end := x.next()
	assert.Assert(x.t, strings.HasPrefix(end, "closed") && strings.Contains(end, "EOF"), end)
}

// header returns the header of a message with any length.
func header(kind byte, length uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, length)
}

const (
	stateMalformed = "08P01"
	stateTooLarge  = "54000"
)

// Guards against a message after one whose end is unknown, in or outside a batch, a transaction
// or a COPY, and against connections that end without an error.
func TestInvalidLengthsEndSession(t *testing.T) {
	insert := &pgproto3.Query{String: "INSERT smuggled"}
	for name, length := range map[string]uint32{"zero": 0, "three": 3, "negative": 0xffffffff, "smallest": 0x80000000} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, false, nil)
			for _, kind := range []byte("QPBDECHSdcfFX") {
				x := r.raw()
				x.send(&pgproto3.Query{String: "SELECT 1"})
				x.write(header(kind, length))
				x.send(insert)
				x.want("RowDescription D:1 C:SELECT_1 Z:I")
				x.wantRejected(stateMalformed)

				x = r.raw()
				x.send(prepare("", "INSERT batch"), bindTo(""), executeIt)
				x.write(header(kind, length))
				x.send(syncIt, insert)
				x.wantRejected(stateMalformed)

				x = r.raw()
				x.query("BEGIN", "C:BEGIN Z:T")
				x.query("INSERT open", "C:INSERT_0_1 Z:T")
				x.write(header(kind, length))
				x.send(&pgproto3.Query{String: "COMMIT"}, insert)
				x.wantRejected(stateMalformed)

				x = r.raw()
				x.query("COPY t FROM STDIN", "CopyInResponse")
				x.write(header(kind, length))
				x.send(&pgproto3.CopyDone{}, insert)
				x.wantRejected(stateMalformed)
			}
			assert.Equal(t, r.primary.count("INSERT smuggled"), 0)
			assert.Equal(t, r.primary.count("INSERT batch"), 0)
			assert.Equal(t, r.primary.count("COMMIT"), 0)
			assert.Equal(t, r.server.Counters().Refusals(resultcode.MalformedMessage), int64(4*len("QPBDECHSdcfFX")))
		})
	}
}
