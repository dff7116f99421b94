package group

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

// statusDialRetryDelay is the delay after a failed attempt to open the status
// connection. Calls use plain HTTP requests in the meantime.
const statusDialRetryDelay = time.Second

// errStatusConnClosed reports that the status connection failed before the response.
var errStatusConnClosed = errors.New("status connection to the member agent closed")

// StatusResponse is the response to one request on the connection of GET
// /v1/questions.
type StatusResponse struct {
	// ID is the identifier of the request.
	ID     uint64 `json:"id"`
	Status Status `json:"status"`
}

// statusClient requests the status over one WebSocket connection with many requests
// in flight. A plain HTTP request costs several times the CPU time, and each read index
// round calls two members.
type statusClient struct {
	agent *HTTPAgent

	mu          sync.Mutex
	conn        *statusConn
	dialing     bool
	lastFailure time.Time
	closed      bool
}

// statusConn is an open status connection.
type statusConn struct {
	socket *websocket.Conn

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan Status // by request identifier; nil once closed
}

// current returns the open connection. If there is none, it returns nil and starts to
// open one.
func (s *statusClient) current() *statusConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil && !s.dialing && !s.closed && time.Since(s.lastFailure) > statusDialRetryDelay {
		s.dialing = true
		go s.dial()
	}
	return s.conn
}

func (s *statusClient) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), DefaultTimeout)
	defer cancel()
	header := http.Header{}
	if s.agent.zone != "" {
		header.Set("X-Availability-Zone", string(s.agent.zone))
	}
	socket, _, err := websocket.Dial(ctx, s.agent.base+"/v1/questions", &websocket.DialOptions{HTTPClient: s.agent.client, HTTPHeader: header})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing = false
	if err != nil {
		s.lastFailure = time.Now()
		return
	}
	if s.closed {
		_ = socket.CloseNow()
		return
	}
	s.conn = &statusConn{socket: socket, pending: map[uint64]chan Status{}}
	go s.read(s.conn)
}

// read delivers responses to their callers until the connection fails.
func (s *statusClient) read(c *statusConn) {
	for {
		_, text, err := c.socket.Read(context.Background())
		var response StatusResponse
		if err == nil {
			err = json.Unmarshal(text, &response)
		}
		if err != nil {
			s.closeConn(c)
			return
		}
		c.mu.Lock()
		waiter := c.pending[response.ID]
		delete(c.pending, response.ID)
		c.mu.Unlock()
		if waiter != nil {
			waiter <- response.Status
		}
	}
}

// closeConn closes a connection and fails its pending requests.
func (s *statusClient) closeConn(c *statusConn) {
	s.mu.Lock()
	if s.conn == c {
		s.conn = nil
	}
	s.mu.Unlock()
	_ = c.socket.CloseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, waiter := range c.pending {
		close(waiter)
	}
	c.pending = nil
}

// close closes the connection permanently.
func (s *statusClient) close() {
	s.mu.Lock()
	c := s.conn
	s.closed = true
	s.mu.Unlock()
	if c != nil {
		s.closeConn(c)
	}
}

// call sends one request and waits for its response.
func (s *statusClient) call(ctx context.Context, c *statusConn) (Status, error) {
	waiter := make(chan Status, 1)
	c.mu.Lock()
	if c.pending == nil {
		c.mu.Unlock()
		return Status{}, errStatusConnClosed
	}
	c.lastID++
	id := c.lastID
	c.pending[id] = waiter
	c.mu.Unlock()
	if err := c.socket.Write(ctx, websocket.MessageText, strconv.AppendUint(nil, id, 10)); err != nil {
		s.closeConn(c)
		return Status{}, errors.Wrap(err, "request status of member agent")
	}
	select {
	case status, ok := <-waiter:
		if !ok {
			return Status{}, errStatusConnClosed
		}
		return status, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
		return Status{}, ctx.Err()
	}
}
