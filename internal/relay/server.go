package relay

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	// helloTimeout bounds the time to the first message of a connection.
	helloTimeout = 2 * time.Second
	// idleTimeout is the time without a question after which a connection is closed. A VM
	// probes at least every 2.5 s over it, so one that is silent for longer has lost power
	// or is cut off, and its open transactions hold connections of upstreams.
	idleTimeout = 4 * time.Second
)

// Peer is the VM at the other end of a connection.
type Peer struct {
	Identity
	// ConnectionID is unique to the connection within this process.
	ConnectionID uint64
}

// Handler answers questions.
type Handler interface {
	// Handle returns the answer to a question; nil gives none. It runs on a goroutine
	// of its own and may block.
	Handle(ctx context.Context, from Peer, kind Kind, body cbor.RawMessage) any
	// Closed is called when a connection has ended.
	Closed(from Peer)
}

// Server answers the questions of other VMs.
type Server struct {
	handler Handler
	http    *http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	opened  chan uint64
}

// NewServer returns a server.
func NewServer(handler Handler) *Server {
	s := &Server{handler: handler, opened: make(chan uint64, 1)}
	s.opened <- 0
	s.ctx, s.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc(path, s.serve)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: helloTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	return s
}

// Serve answers connections of the listener until Close.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close ends all connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
}

func (s *Server) serve(w http.ResponseWriter, request *http.Request) {
	socket, err := websocket.Accept(w, request, &websocket.AcceptOptions{InsecureSkipVerify: true})
	if err != nil {
		return // Accept has answered with the reason
	}
	defer socket.CloseNow()
	socket.SetReadLimit(maxFrame)
	from, ok := s.hello(socket)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer s.handler.Closed(from)
	for {
		message, err := readWithin(ctx, socket, idleTimeout)
		if err != nil {
			return
		}
		var f frame
		if Decode(message, &f) != nil || f.Answer {
			return
		}
		go s.answer(ctx, socket, from, f)
	}
}

// readWithin reads one message; the connection is of no use after an error.
func readWithin(ctx context.Context, socket *websocket.Conn, limit time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, message, err := socket.Read(ctx)
	return message, err
}

func (s *Server) hello(socket *websocket.Conn) (Peer, bool) {
	var from Peer
	message, err := readWithin(s.ctx, socket, helloTimeout)
	if err != nil || Decode(message, &from.Identity) != nil {
		return from, false
	}
	if from.Version != ProtocolVersion {
		_ = socket.Close(websocket.StatusPolicyViolation, "unknown protocol version")
		return from, false
	}
	from.ConnectionID = <-s.opened + 1
	s.opened <- from.ConnectionID
	return from, true
}

func (s *Server) answer(ctx context.Context, socket *websocket.Conn, from Peer, f frame) {
	body := s.handler.Handle(ctx, from, f.Kind, f.Body)
	if body == nil {
		return
	}
	message, err := encode(f.ID, 0, true, body)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := socket.Write(ctx, websocket.MessageBinary, message); err != nil {
		_ = socket.CloseNow()
	}
}
