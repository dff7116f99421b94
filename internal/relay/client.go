package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/framing"
)

// ErrNotSent means that the request did certainly not reach the other VM.
var ErrNotSent = errors.New("request not sent")

// ErrNoResponse means that the request may have been handled, but no response arrived.
var ErrNoResponse = errors.New("no response to request")

// ErrResponseTooLarge means that the other VM handled the request and that its response exceeds
// the maximum size of a message.
var ErrResponseTooLarge = errors.New("response to request exceeds the maximum size")

// ErrRejected means that the other VM did not handle the request.
var ErrRejected = errors.New("request rejected")

const (
	path = "/relay"
	// dialTimeout limits the opening of a connection. A round trip between regions takes
	// some tens of milliseconds.
	dialTimeout = time.Second
	// writeTimeout limits a write. The connection to a peer that does not read for this
	// long is closed.
	writeTimeout = time.Second
)

// Client sends requests to one VM. It is safe for concurrent use.
type Client struct {
	// OnRejected, if set, is called with the error of a message of the other VM that is invalid,
	// or of a request that is not sent. It must be set before the first call.
	OnRejected func(sent bool, err error)

	self       Identity
	address    string
	httpClient *http.Client

	mu      sync.Mutex
	conn    *clientConn
	dialing chan struct{} // closed when the current dial ends; nil without one
}

// NewClient returns a client for the VM at address. It connects on the first call.
func NewClient(self Identity, address string, dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
	return &Client{self: self, address: address, httpClient: &http.Client{Transport: transport}}
}

// clientConn is a connection with its pending requests.
type clientConn struct {
	socket  *websocket.Conn
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan frame
	closed  bool
}

// Call sends a request and decodes the response. The error is ErrNotSent, ErrRejected,
// ErrResponseTooLarge or ErrNoResponse, or that of the decoder. A request above the maximum size
// is not sent: the error is then also a framing.Error.
func (c *Client) Call(ctx context.Context, kind Kind, request, response any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	id, result := conn.register()
	if result == nil {
		return ErrNotSent
	}
	defer conn.unregister(id)
	message, err := encodeRequest(id, kind, request)
	if err != nil {
		c.rejected(true, err)
		return errors.Mark(err, ErrNotSent)
	}
	go func() { // a write to a VM that does not read outlasts ctx
		if conn.write(message) != nil {
			c.drop(conn)
		}
	}()
	select {
	case f, ok := <-result:
		switch {
		case ok && f.Failure == Rejected:
			return ErrRejected
		case ok && f.Failure == ResponseTooLarge:
			return ErrResponseTooLarge
		case !ok || f.Failure != 0: // a newer VM may know other failures
			return ErrNoResponse
		}
		return Decode(f.Body, response)
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrNoResponse)
	}
}

// Reset closes the connection. Pending calls return ErrNoResponse.
func (c *Client) Reset() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.drop(conn)
	}
}

// drop closes a connection and no longer uses it for new calls.
func (c *Client) drop(conn *clientConn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.close()
}

// connect returns the open connection, or opens one. Concurrent calls share a dial, which
// goes on if their contexts end.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	for {
		c.mu.Lock()
		if c.conn != nil {
			defer c.mu.Unlock()
			return c.conn, nil
		}
		if c.dialing == nil {
			c.dialing = make(chan struct{})
			go c.dial()
		}
		dialing := c.dialing
		c.mu.Unlock()
		select {
		case <-dialing:
			c.mu.Lock()
			conn := c.conn
			c.mu.Unlock()
			if conn == nil {
				return nil, ErrNotSent
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial opens the connection and closes c.dialing.
func (c *Client) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(ctx, "ws://"+c.address+path, &websocket.DialOptions{HTTPClient: c.httpClient})
	var conn *clientConn
	if err == nil {
		socket.SetReadLimit(MaxFrameBytes)
		conn = &clientConn{socket: socket, pending: map[uint64]chan frame{}}
		var identity []byte
		if identity, err = cbor.Marshal(c.self); err == nil {
			err = conn.write(identity)
		}
	}
	c.mu.Lock()
	close(c.dialing)
	c.dialing = nil
	if err == nil {
		c.conn = conn
	}
	c.mu.Unlock()
	if err == nil {
		c.readResponses(conn)
	}
}

// readResponses delivers responses to the pending calls until the connection ends.
func (c *Client) readResponses(conn *clientConn) {
	defer c.drop(conn)
	for {
		var f frame
		err := readFrame(context.Background(), conn.socket, &f)
		if err == nil {
			err = conn.deliver(f)
		}
		if err != nil {
			c.rejected(false, err)
			return
		}
	}
}

// rejected reports an invalid message. Other errors are those of the connection.
func (c *Client) rejected(sent bool, err error) {
	if c.OnRejected != nil && framing.ReasonOf(err) != "" {
		c.OnRejected(sent, err)
	}
}

func (c *clientConn) write(message []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return c.socket.Write(ctx, websocket.MessageBinary, message)
}

// register allocates a request ID and the channel for its response. The channel is nil
// if the connection is closed.
func (c *clientConn) register() (uint64, chan frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil
	}
	c.lastID++
	result := make(chan frame, 1)
	c.pending[c.lastID] = result
	return c.lastID, result
}

func (c *clientConn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// deliver passes a response to its call, unless that has ended. The error is a framing.Error if
// the frame cannot be a response to any request.
func (c *clientConn) deliver(f frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !f.Response || f.ID == 0 || f.ID > c.lastID {
		return framing.New(framing.Sequence, "message %d is no response to a request", f.ID)
	}
	if result, ok := c.pending[f.ID]; ok {
		delete(c.pending, f.ID)
		result <- f
	}
	return nil
}

func (c *clientConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for id, result := range c.pending {
		delete(c.pending, id)
		close(result)
	}
	go c.socket.CloseNow()
}
