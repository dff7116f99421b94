package forward

import (
	"bytes"
	"errors"

	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// An answer that the upstream sends twice, or late, looks like the answer to the
// next request. So each segment begins with one to three Close messages for a
// statement that does not exist, one more or fewer than the segment before, which
// the upstream answers with as many CloseComplete. An old answer begins with
// another number of them. The messages need no parsing and no exchange of their
// own.

// errStaleResponse reports the answer of an earlier request.
var errStaleResponse = errors.New("the connection held an answer of an earlier request")

// closeUnusedStatement closes a prepared statement whose name is never used.
var closeUnusedStatement = []byte{'C', 0, 0, 0, 8, 'S', 'r', 'w', 0}

// markers are the Close messages by their number.
var markers = func() (out [upstream.MarkerCount + 1][]byte) {
	for n := range out {
		out[n] = bytes.Repeat(closeUnusedStatement, n)
	}
	return out
}()

// handleMarkerResponse handles a message while CloseComplete messages of the marker are
// still to come.
func (x *exchange) handleMarkerResponse(e *expectedResponse, kind byte) error {
	switch kind {
	case '3':
		if e.marker--; e.marker == 0 {
			x.next++
		}
		return x.conn.Reader.Skip()
	case 'N', 'A':
		return x.conn.Reader.Skip()
	case 'S':
		return x.handleParameterStatus(e)
	case 'E':
		_, body, err := x.conn.Reader.Next()
		if err != nil {
			return err
		}
		if isFatal(body) {
			return errClosedByUpstream
		}
	}
	return errStaleResponse
}

// isFatal reports whether an ErrorResponse ends the connection.
func isFatal(body []byte) bool {
	severity := wire.ErrorField(body, 'V')
	return severity == "FATAL" || severity == "PANIC"
}
