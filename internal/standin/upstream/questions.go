package upstream

import (
	"net/http"
	"strconv"

	"github.com/coder/websocket"
	"github.com/coder/websocket/wsjson"

	"github.com/rosemarywall/rosemarywall/internal/group"
)

// questions answers status questions over a WebSocket: each question is a number, and
// the answer carries it with the status at that time.
func (m *Member) questions(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = socket.CloseNow() }()
	ended, finished := m.ended(), make(chan struct{})
	defer close(finished)
	go func() { // the HTTP server does not close connections that became WebSockets
		select {
		case <-ended:
			_ = socket.CloseNow()
		case <-finished:
		}
	}()
	for {
		_, text, err := socket.Read(r.Context())
		if err != nil {
			return
		}
		id, err := strconv.ParseUint(string(text), 10, 64)
		if err != nil || !m.mayAnswer() {
			return
		}
		if wsjson.Write(r.Context(), socket, group.StatusResponse{ID: id, Status: m.Status()}) != nil {
			return
		}
	}
}
