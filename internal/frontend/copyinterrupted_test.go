package frontend

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Guards against clients without a response, and against the rest of a message that is taken for
// the next one, when the upstream ends a COPY while a message of the client has arrived in part.
func TestCopyEndsWithinMessage(t *testing.T) {
	for _, size := range []int{50, 1000, 40_000, 200_000} {
		rest := bytes.Repeat([]byte("Q\x00\x00\x00\x0dINSERT x\x00"), size/14+1)[:size]
		data, err := (&pgproto3.CopyData{Data: rest}).Encode(nil)
		assert.NilError(t, err)
		for _, cut := range []int{1, 4, 5, 6, len(data) / 2, len(data) - 1} {
			for _, extended := range []bool{false, true} {
				for _, block := range []bool{false, true} {
					t.Run(fmt.Sprint(size, cut, extended, block), func(t *testing.T) {
						r := newRig(t, false, nil)
						x := r.raw()
						ready := "Z:I"
						if block {
							x.query("BEGIN", "C:BEGIN Z:T")
							x.query("INSERT open", "C:INSERT_0_1 Z:T")
							ready = "Z:E"
						}
						if extended {
							x.send(prepare("", "COPY t FROM STDIN"), bindTo(""), executeIt, syncIt)
							x.want("ParseComplete BindComplete CopyInResponse")
						} else {
							x.query("COPY t FROM STDIN", "CopyInResponse")
						}
						bad, err := (&pgproto3.CopyData{Data: []byte("bad")}).Encode(nil)
						assert.NilError(t, err)
						x.write(bad, data[:cut])
						x.want("NoticeResponse E:22P02")
						if extended {
							x.write(data[cut:])
							x.send(&pgproto3.CopyDone{}, syncIt)
							x.want(ready)
						} else {
							x.want(ready)
							x.write(data[cut:])
							x.send(&pgproto3.CopyDone{})
						}
						if block {
							x.query("ROLLBACK", "C:ROLLBACK Z:I")
						}
						x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
						assert.Equal(t, r.primary.count("INSERT x"), 0)
					})
				}
			}
		}
	}
}
