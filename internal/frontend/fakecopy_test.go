package frontend

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

func (c *fakeConn) copy(sql string) bool {
	if strings.Contains(sql, "TO STDOUT") {
		c.b.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0}})
		c.b.Send(&pgproto3.CopyData{Data: []byte("a\n")})
		c.b.Send(&pgproto3.CopyData{Data: []byte("b\n")})
		c.b.Send(&pgproto3.CopyDone{})
		c.b.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 2")})
		return true
	}
	c.b.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0}})
	// Neither a notice nor the identifier of the transaction ends the COPY.
	c.b.Send(&pgproto3.NoticeResponse{Message: "started"})
	c.b.Send(&pgproto3.ParameterStatus{Name: "group_transaction", Value: "copy"})
	_ = c.b.Flush()
	size := 0
	for {
		m, err := c.b.Receive()
		if err != nil {
			c.broken = true
			return false
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			size += len(m.Data)
			if strings.Contains(string(m.Data), "bad") {
				c.fail("22P02", "bad input")
				return false
			}
		case *pgproto3.CopyFail:
			c.fail("57014", "copy failed: "+m.Message)
			return false
		case *pgproto3.CopyDone:
			c.write()
			c.b.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "COPY %d", size)})
			return true
		}
	}
}
