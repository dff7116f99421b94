package frontend

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Guards against an error that a client reads as the rest of a row, because the upstream ended
// within the row.
func TestUpstreamEndsWithinRow(t *testing.T) {
	row := frame('D', append([]byte{0, 1, 0, 0, 0, 100}, bytes.Repeat([]byte{'x'}, 100)...))
	large := frame('D', append([]byte{0, 1, 0, 1, 0x86, 0xa0}, bytes.Repeat([]byte{'x'}, 100_000)...))
	const rows = 300
	for name, test := range map[string]struct {
		part []byte
		// kinds are the types of the complete frames that the client gets after the rows,
		// and rest is what it gets of the row that is incomplete.
		kinds string
		rest  bool
	}{
		"small row": {row[:60], "EZ", false},
		"header":    {row[:3], "EZ", false},
		"large row": {large[:60_000], "", true},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newScriptedRig(t, func(string) ([]byte, bool) {
				return append(append(encodeAll(rowDescriptionMessage), bytes.Repeat(row, rows)...), test.part...), true
			}, nil)
			x := r.raw()
			x.send(&pgproto3.Query{String: "SELECT half"})
			assert.NilError(t, x.c.(*net.TCPConn).CloseWrite())
			got, err := io.ReadAll(x.c)
			assert.NilError(t, err)
			kinds, rest := frameKinds(got)
			assert.Equal(t, strings.Replace(kinds, strings.Repeat("D", rows), "D*", 1), "TD*"+test.kinds, "%d bytes follow: %.80q", len(rest), rest)
			if test.rest {
				assert.Assert(t, bytes.HasPrefix(large, rest), "the client got other bytes in place of the rest of a row")
			} else {
				assert.Equal(t, len(rest), 0)
			}
		})
	}
}
