package upstream

import (
	"net"
	"sync"
	"time"
)

// queueBytes bounds the bytes in flight on a slow or cut link, like the socket
// buffers of both ends; further writes block.
const queueBytes = 4 << 20

// shapedListener applies network conditions and pauses to accepted connections.
type shapedListener struct {
	net.Listener
	member *Member
	class  string
}

func (l *shapedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &shapedConn{
		Conn: conn, member: l.member, self: []string{l.member.Endpoint()},
		clients: l.member.group.network.clientEndpoints(l.class, conn.RemoteAddr()),
		closed:  make(chan struct{}),
	}
	c.room = sync.NewCond(&c.mu)
	return c, nil
}

// shapedConn delays and withholds bytes as the member and its link require.
// Written bytes that cannot be delivered yet are queued, so that a link fault
// does not stop the member's work.
type shapedConn struct {
	net.Conn
	member        *Member
	self, clients []string

	once   sync.Once
	closed chan struct{}

	mu      sync.Mutex
	room    *sync.Cond
	queue   []delayedBytes
	queued  int
	sending bool
	closing bool // close after the queue is sent
}

type delayedBytes struct {
	due  time.Time
	data []byte
}

func (c *shapedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.awaitRunning() || !c.awaitLink(c.clients, c.self) {
		return 0, net.ErrClosed
	}
	if _, latency, _ := c.member.group.network.conditions(c.clients, c.self); latency > 0 && !c.sleep(latency) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends or queues the bytes.
func (c *shapedConn) Write(p []byte) (int, error) {
	if !c.awaitRunning() {
		return 0, net.ErrClosed
	}
	cut, latency, _ := c.member.group.network.conditions(c.self, c.clients)
	c.mu.Lock()
	if !cut && latency == 0 && !c.sending {
		// One goroutine writes to a connection, so the order is kept without the mutex,
		// which Close needs.
		c.mu.Unlock()
		return c.Conn.Write(p)
	}
	defer c.mu.Unlock()
	for c.queued > queueBytes && !c.isClosed() {
		c.room.Wait()
	}
	if c.isClosed() || c.closing {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, delayedBytes{time.Now().Add(latency), append([]byte(nil), p...)})
	c.queued += len(p)
	if !c.sending {
		c.sending = true
		go c.send()
	}
	return len(p), nil
}

// send delivers the queue in order and ends when it is empty.
func (c *shapedConn) send() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.sending = false
			closing := c.closing
			c.mu.Unlock()
			if closing {
				c.abort()
			}
			return
		}
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.queued -= len(next.data)
		c.room.Broadcast()
		c.mu.Unlock()
		if !c.sleep(time.Until(next.due)) || !c.awaitLink(c.self, c.clients) {
			return
		}
		if _, err := c.Conn.Write(next.data); err != nil {
			c.abort()
			return
		}
	}
}

// Close closes the connection after the queued bytes are sent.
func (c *shapedConn) Close() error {
	c.mu.Lock()
	if c.sending {
		c.closing = true
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	return c.abort()
}

// abort closes the connection at once and ends all waits.
func (c *shapedConn) abort() error {
	c.once.Do(func() { close(c.closed) })
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.room.Broadcast()
	return err
}

func (c *shapedConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// awaitRunning waits while the member is paused; false means that the
// connection closed.
func (c *shapedConn) awaitRunning() bool {
	for {
		paused := c.member.pauseState()
		if paused == nil {
			return true
		}
		select {
		case <-c.closed:
			return false
		case <-paused:
		}
	}
}

// awaitLink waits while the link is cut; false means that the connection closed.
func (c *shapedConn) awaitLink(froms, tos []string) bool {
	for {
		cut, _, changed := c.member.group.network.conditions(froms, tos)
		if !cut {
			return true
		}
		select {
		case <-c.closed:
			return false
		case <-changed:
		}
	}
}

func (c *shapedConn) sleep(d time.Duration) bool { return sleep(c.closed, d) }

// sleep waits for a duration; false means that done was closed meanwhile.
func sleep(done <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
