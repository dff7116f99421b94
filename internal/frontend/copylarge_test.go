package frontend

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Guards against data of a COPY that is written into the messages of its batch, which are still
// being sent. The race detector shows it.
func TestCopyBeforeLargeMessages(t *testing.T) {
	r := newRig(t, false, nil)
	x := r.raw()
	large := prepare("", "SELECT "+strings.Repeat("x", 4<<20))
	x.send(prepare("", "COPY t FROM STDIN"), bindTo(""), executeIt, large, syncIt)
	x.want("ParseComplete BindComplete CopyInResponse")
	for range 20 {
		x.send(&pgproto3.CopyData{Data: []byte("1\n")})
	}
	x.send(&pgproto3.CopyDone{}, syncIt)
	// The upstream drops the large message during COPY, so its response never comes.
	x.want("NoticeResponse E:40001 Z:I")
	x.query("SELECT 1", "RowDescription D:1 C:SELECT_1 Z:I")
}
