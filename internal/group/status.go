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

// questionRetry is the pause after a failed attempt to open the question
// connection; calls use plain requests meanwhile.
const questionRetry = time.Second

// errQuestionsClosed says that the question connection broke before the answer.
var errQuestionsClosed = errors.New("question connection to the member agent closed")

// StatusResponse answers one question of GET /v1/questions.
type StatusResponse struct {
	// ID is the number that the question carried.
	ID     uint64 `json:"id"`
	Status Status `json:"status"`
}

// questions asks for the status over one WebSocket connection with many questions
// in flight. A plain HTTP request costs several times the processor time, and read
// indexes ask two members for each round.
type questions struct {
	agent *HTTPAgent

	mu      sync.Mutex
	conn    *questionConn
	dialing bool
	failed  time.Time
	closed  bool
}

// questionConn is an open connection.
type questionConn struct {
	socket *websocket.Conn

	mu      sync.Mutex
	next    uint64
	waiting map[uint64]chan Status // nil once the connection is closed
}

// current returns the open connection, or nil while there is none; it then starts to
// open one.
func (q *questions) current() *questionConn {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.conn == nil && !q.dialing && !q.closed && time.Since(q.failed) > questionRetry {
		q.dialing = true
		go q.dial()
	}
	return q.conn
}

func (q *questions) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), DefaultTimeout)
	defer cancel()
	header := http.Header{}
	if q.agent.zone != "" {
		header.Set("X-Availability-Zone", string(q.agent.zone))
	}
	socket, _, err := websocket.Dial(ctx, q.agent.base+"/v1/questions", &websocket.DialOptions{HTTPClient: q.agent.client, HTTPHeader: header})
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dialing = false
	if err != nil {
		q.failed = time.Now()
		return
	}
	if q.closed {
		_ = socket.CloseNow()
		return
	}
	q.conn = &questionConn{socket: socket, waiting: map[uint64]chan Status{}}
	go q.read(q.conn)
}

// read passes answers on until the connection breaks.
func (q *questions) read(c *questionConn) {
	for {
		_, text, err := c.socket.Read(context.Background())
		var answer StatusResponse
		if err == nil {
			err = json.Unmarshal(text, &answer)
		}
		if err != nil {
			q.drop(c)
			return
		}
		c.mu.Lock()
		waiter := c.waiting[answer.ID]
		delete(c.waiting, answer.ID)
		c.mu.Unlock()
		if waiter != nil {
			waiter <- answer.Status
		}
	}
}

// drop closes a connection and fails its questions.
func (q *questions) drop(c *questionConn) {
	q.mu.Lock()
	if q.conn == c {
		q.conn = nil
	}
	q.mu.Unlock()
	_ = c.socket.CloseNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, waiter := range c.waiting {
		close(waiter)
	}
	c.waiting = nil
}

// close closes the connection for good.
func (q *questions) close() {
	q.mu.Lock()
	c := q.conn
	q.closed = true
	q.mu.Unlock()
	if c != nil {
		q.drop(c)
	}
}

// ask sends one question and waits for its answer.
func (q *questions) ask(ctx context.Context, c *questionConn) (Status, error) {
	waiter := make(chan Status, 1)
	c.mu.Lock()
	if c.waiting == nil {
		c.mu.Unlock()
		return Status{}, errQuestionsClosed
	}
	c.next++
	id := c.next
	c.waiting[id] = waiter
	c.mu.Unlock()
	if err := c.socket.Write(ctx, websocket.MessageText, strconv.AppendUint(nil, id, 10)); err != nil {
		q.drop(c)
		return Status{}, errors.Wrap(err, "ask member agent")
	}
	select {
	case status, ok := <-waiter:
		if !ok {
			return Status{}, errQuestionsClosed
		}
		return status, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
		return Status{}, ctx.Err()
	}
}
