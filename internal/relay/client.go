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
)

// ErrNotSent means that the question certainly did not reach the other VM.
var ErrNotSent = errors.New("question not sent")

// ErrNoResponse means that the question was sent and not answered.
var ErrNoResponse = errors.New("question not answered")

const (
	path = "/relay"
	// dialTimeout bounds the opening of a connection; round trips between regions
	// take some tens of milliseconds.
	dialTimeout = time.Second
	// writeTimeout bounds one write. A peer that does not read for this long is cut.
	writeTimeout = time.Second
)

// Client asks one VM. It is safe for concurrent use.
type Client struct {
	self    Identity
	address string
	dialer  *http.Client

	mu      sync.Mutex
	conn    *clientConn
	opening chan struct{} // closed when the dial in progress has ended
}

// NewClient returns a client of the VM at address. Connections open on demand.
func NewClient(self Identity, address string, dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
	return &Client{self: self, address: address, dialer: &http.Client{Transport: transport}}
}

// clientConn is one connection with its unanswered questions.
type clientConn struct {
	socket *websocket.Conn
	mu     sync.Mutex
	last   uint64
	asked  map[uint64]chan cbor.RawMessage
	closed bool
}

// Call sends a question and decodes its answer. The error is ErrNotSent or ErrLost,
// or the decoder's.
func (c *Client) Call(ctx context.Context, kind Kind, question, answer any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	id, answered := conn.register()
	if answered == nil {
		return ErrNotSent
	}
	defer conn.forget(id)
	message, err := encode(id, kind, false, question)
	if err != nil {
		return errors.Mark(err, ErrNotSent)
	}
	if err := conn.write(message); err != nil {
		c.drop(conn)
		return errors.Mark(err, ErrNoResponse)
	}
	select {
	case body, ok := <-answered:
		if !ok {
			return ErrNoResponse
		}
		return Decode(body, answer)
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrNoResponse)
	}
}

// Reset closes the connection; its questions end as unanswered.
func (c *Client) Reset() {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil {
		c.drop(conn)
	}
}

func (c *Client) drop(conn *clientConn) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mu.Unlock()
	conn.close()
}

// connect returns the open connection, or opens one. Concurrent callers share a dial.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	for {
		c.mu.Lock()
		if c.conn != nil {
			defer c.mu.Unlock()
			return c.conn, nil
		}
		if c.opening == nil {
			c.opening = make(chan struct{})
			c.mu.Unlock()
			return c.open()
		}
		opening := c.opening
		c.mu.Unlock()
		select {
		case <-opening:
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

func (c *Client) open() (*clientConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(ctx, "ws://"+c.address+path, &websocket.DialOptions{HTTPClient: c.dialer})
	var conn *clientConn
	if err == nil {
		socket.SetReadLimit(maxFrame)
		conn = &clientConn{socket: socket, asked: map[uint64]chan cbor.RawMessage{}}
		var hello []byte
		if hello, err = cbor.Marshal(c.self); err == nil {
			err = conn.write(hello)
		}
	}
	c.mu.Lock()
	close(c.opening)
	c.opening = nil
	if err == nil {
		c.conn = conn
	}
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	go c.read(conn)
	return conn, nil
}

// read passes answers on until the connection ends.
func (c *Client) read(conn *clientConn) {
	defer c.drop(conn)
	for {
		_, message, err := conn.socket.Read(context.Background())
		if err != nil {
			return
		}
		var f frame
		if Decode(message, &f) != nil || !f.Answer {
			return
		}
		conn.answer(f)
	}
}

func (c *clientConn) write(message []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return c.socket.Write(ctx, websocket.MessageBinary, message)
}

func (c *clientConn) register() (uint64, chan cbor.RawMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil
	}
	c.last++
	answered := make(chan cbor.RawMessage, 1)
	c.asked[c.last] = answered
	return c.last, answered
}

func (c *clientConn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.asked, id)
}

func (c *clientConn) answer(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered, ok := c.asked[f.ID]; ok {
		delete(c.asked, f.ID)
		answered <- f.Body
	}
}

func (c *clientConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for id, answered := range c.asked {
		delete(c.asked, id)
		close(answered)
	}
	go c.socket.CloseNow()
}
