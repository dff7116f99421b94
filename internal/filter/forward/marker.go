package forward

import (
	"bytes"
	"errors"

	"github.com/rosemarywall/rosemarywall/internal/upstream"
	"github.com/rosemarywall/rosemarywall/internal/wire"
)

// A duplicate or late response of the upstream looks like the response to the next
// request. Each segment therefore begins with one to three Close messages for a
// statement that does not exist, one more or fewer than the previous segment. The
// upstream responds with the same number of CloseComplete messages, so a stale response
// begins with a different number of them. The messages need no parsing and no round
// trip of their own.

// errStaleResponse reports a response to an earlier request.
var errStaleResponse = errors.New("the connection delivered the response to an earlier request")

// closeUnusedStatement closes a prepared statement whose name is never used.
var closeUnusedStatement = []byte{'C', 0, 0, 0, 8, 'S', 'r', 'w', 0}

// markers holds the marker of n Close messages at index n.
var markers = func() (out [upstream.MarkerCount + 1][]byte) {
	for n := range out {
		out[n] = bytes.Repeat(closeUnusedStatement, n)
	}
	return out
}()

// handleMarkerResponse handles a message while CloseComplete messages for the marker are
// outstanding.
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
		_, body, err := x.conn.Reader.ReadMessage()
		if err != nil {
			return err
		}
		if isFatal(body) {
			return errClosedByUpstream
		}
	}
	return errStaleResponse
}

// isFatal reports whether an ErrorResponse terminates the connection.
func isFatal(body []byte) bool {
	severity := wire.ErrorField(body, 'V')
	return severity == "FATAL" || severity == "PANIC"
}
