package relay

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
)

const (
	// identityTimeout limits the time until the first message of a connection.
	identityTimeout = 2 * time.Second
	// idleTimeout is the time without a request after which a connection is closed. A VM
	// sends a probe at least every 2.5 s. One that sends nothing for longer has lost power
	// or its network, and its open transactions occupy upstream connections.
	idleTimeout = 4 * time.Second
	// maxConcurrentRequests limits the requests of one connection that are handled
	// concurrently. Those of a busy VM are some hundreds; a peer that sends more does not
	// wait for responses.
	maxConcurrentRequests = 2048
)

// Peer is the VM at the other end of a connection.
type Peer struct {
	Identity
	// ConnectionID is unique to the connection within this process.
	ConnectionID uint64
}

// Handler handles the requests of other VMs.
type Handler interface {
	// Handle returns the response to a request, or Rejected for one that it did not handle.
	// It is called on a new goroutine and may block. If it returns nil or panics, the
	// response is Failed.
	Handle(ctx context.Context, from Peer, kind Kind, body cbor.RawMessage) any
	// Closed is called when a connection has closed.
	Closed(from Peer)
}

// Server accepts connections of other VMs and passes their requests to a Handler.
type Server struct {
	// OnRejected, if set, is called with the error of a message of another VM that is invalid, or
	// of a response that is not sent. It must be set before Serve.
	OnRejected func(peer ident.VMName, sent bool, err error)

	handler          Handler
	log              zerolog.Logger
	http             *http.Server
	ctx              context.Context
	cancel           context.CancelFunc
	lastConnectionID chan uint64
}

// NewServer returns a server that is started by Serve.
func NewServer(handler Handler, log zerolog.Logger) *Server {
	s := &Server{handler: handler, log: log, lastConnectionID: make(chan uint64, 1)}
	s.lastConnectionID <- 0
	s.ctx, s.cancel = context.WithCancel(context.Background())
	mux := http.NewServeMux()
	mux.HandleFunc(path, s.serve)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: identityTimeout, ErrorLog: stdlog.New(io.Discard, "", 0)}
	return s
}

// Serve accepts connections of the listener until Close is called.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
}

func (s *Server) serve(w http.ResponseWriter, request *http.Request) {
	socket, err := websocket.Accept(w, request, &websocket.AcceptOptions{InsecureSkipVerify: true})
	if err != nil {
		return // Accept has sent the error to the client
	}
	defer socket.CloseNow()
	socket.SetReadLimit(MaxFrameBytes)
	from, ok := s.readIdentity(socket)
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer s.handler.Closed(from)
	requests := requests{running: map[uint64]struct{}{}}
	for {
		f, err := readRequest(ctx, socket)
		if err == nil {
			err = requests.begin(f.ID)
		}
		switch {
		case errors.Is(err, errTooManyRequests):
			s.respond(ctx, from, socket, f.ID, Rejected)
		case err != nil:
			s.rejected(from, false, err)
			return
		default:
			go func() {
				defer requests.end(f.ID)
				s.respond(ctx, from, socket, f.ID, s.handle(ctx, from, f))
			}()
		}
	}
}

// requests are the requests of a connection that are handled.
type requests struct {
	mu      sync.Mutex
	running map[uint64]struct{}
}

var errTooManyRequests = errors.New("too many concurrent requests")

// begin adds a request. The error is errTooManyRequests, or a framing.Error if a request with this
// ID is handled: the sender could not tell the responses apart.
func (r *requests) begin(id uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.running[id]; ok || id == 0 {
		return framing.New(framing.Sequence, "request %d has the ID of another one", id)
	}
	if len(r.running) == maxConcurrentRequests {
		return errTooManyRequests
	}
	r.running[id] = struct{}{}
	return nil
}

func (r *requests) end(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
}

// rejected reports an invalid message. Other errors are those of the connection.
func (s *Server) rejected(peer Peer, sent bool, err error) {
	if s.OnRejected != nil && framing.ReasonOf(err) != "" {
		s.OnRejected(peer.VM, sent, err)
	}
}

// handle returns the response to a request: a body or a Failure.
func (s *Server) handle(ctx context.Context, from Peer, f frame) (body any) {
	if recovery.Run(s.log, "peer request", func() { body = s.handler.Handle(ctx, from, f.Kind, f.Body) }) || body == nil {
		return Failed
	}
	return body
}

// readRequest reads the next request of a connection.
func readRequest(ctx context.Context, socket *websocket.Conn) (frame, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	var f frame
	err := readFrame(ctx, socket, &f)
	if err == nil && f.Response {
		err = framing.New(framing.Sequence, "response %d instead of a request", f.ID)
	}
	return f, err
}

// readIdentity reads the first message of a connection and checks the protocol version.
func (s *Server) readIdentity(socket *websocket.Conn) (Peer, bool) {
	var from Peer
	ctx, cancel := context.WithTimeout(s.ctx, identityTimeout)
	defer cancel()
	err := readFrame(ctx, socket, &from.Identity)
	if err == nil && from.Version == ProtocolVersion && from.VM == "" {
		err = framing.New(framing.Sequence, "the first message names no VM")
	}
	if err != nil {
		s.rejected(from, false, err)
		return from, false
	}
	if from.Version != ProtocolVersion {
		_ = socket.Close(websocket.StatusPolicyViolation, "unknown protocol version")
		return from, false
	}
	from.ConnectionID = <-s.lastConnectionID + 1
	s.lastConnectionID <- from.ConnectionID
	return from, true
}

func (s *Server) respond(ctx context.Context, from Peer, socket *websocket.Conn, id uint64, body any) {
	message, err := encodeResponse(id, body)
	if err != nil {
		failure := Failed
		if framing.ReasonOf(err) == framing.TooLarge {
			failure = ResponseTooLarge
			s.rejected(from, true, err)
		} else {
			s.log.Error().Err(err).Msg("cannot encode response to peer")
		}
		if message, err = encodeResponse(id, failure); err != nil {
			return // not reached: the frame holds two numbers
		}
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := socket.Write(ctx, websocket.MessageBinary, message); err != nil {
		_ = socket.CloseNow()
	}
}
