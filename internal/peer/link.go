package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Limits of the connection to one VM.
const (
	// maxQueuedPerKind limits the number of queued messages of one kind.
	maxQueuedPerKind = 64
	// maxQueueAge is the age at which a queued message is dropped. The timeouts of
	// leases, probes and transfers are shorter, so it would arrive too late.
	maxQueueAge = 2 * time.Second
	// writeTimeout limits one write. The connection is reopened when it expires.
	writeTimeout = 3 * time.Second
	dialTimeout  = 3 * time.Second
	// minBackoff and maxBackoff limit the backoff between connection attempts.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// pingInterval is the time after which a write is followed by a ping, because
	// writes during a partition go to the kernel's send buffer without an error.
	pingInterval = 5 * time.Second
	pongTimeout  = 3 * time.Second
	// idleTimeout is the time without a write after which a connection is closed.
	idleTimeout = 5 * time.Minute
)

// frame is a queued message.
type frame struct {
	kind   Kind
	bytes  []byte
	queued time.Time
}

// link sends messages to one VM over a connection that this VM opens. The other VM
// opens its own connection for the opposite direction, so that each connection has
// exactly one owner.
type link struct {
	network *Network
	to      ident.VMName
	wake    chan struct{}

	mu        sync.Mutex
	queue     []frame
	running   bool
	lastError string // last connection error, reported in the dump
	connected bool
}

// push queues a frame. If the queue is full for the kind of the frame, the oldest
// frame of that kind is dropped.
func (l *link) push(f frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count, oldest := 0, -1
	for i := range l.queue {
		if l.queue[i].kind == f.kind {
			if oldest < 0 {
				oldest = i
			}
			count++
		}
	}
	if count >= maxQueuedPerKind {
		l.queue = append(l.queue[:oldest], l.queue[oldest+1:]...)
		l.network.counters.dropped.Add(string(f.kind), 1)
	}
	l.queue = append(l.queue, f)
	if !l.running {
		l.running = l.network.spawn(l.run)
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// pop removes and returns the oldest frame that has not expired, and drops expired
// ones.
func (l *link) pop() (frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) > 0 {
		f := l.queue[0]
		l.queue = l.queue[1:]
		if time.Since(f.queued) <= maxQueueAge {
			return f, true
		}
		l.network.counters.dropped.Add(string(f.kind), 1)
	}
	l.queue = nil
	return frame{}, false
}

// stopIfEmpty reports whether the link's goroutine must return, and marks it as
// stopped. It must continue if a frame has been queued in the meantime.
func (l *link) stopIfEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = len(l.queue) > 0
	return !l.running
}

func (l *link) setStatus(open bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected = open
	if err != nil {
		l.lastError = err.Error()
	}
}

// run sends queued frames until the link is idle or the mesh stops, and reconnects
// with exponential backoff.
func (l *link) run() {
	ctx := l.network.ctx
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := l.runConnection(ctx, &backoff); err != nil {
			l.network.counters.connectFailures.Add(1)
			l.setStatus(false, err)
			if !sleep(ctx, backoff/2+rand.N(backoff)) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
			l.dropExpired()
		}
		if l.stopIfEmpty() {
			return
		}
	}
}

// dropExpired drops frames that expired while no connection was open.
func (l *link) dropExpired() {
	if f, ok := l.pop(); ok {
		l.mu.Lock()
		l.queue = append([]frame{f}, l.queue...)
		l.mu.Unlock()
	}
}

// runConnection opens one connection and sends queued frames over it. It returns nil
// if the connection was closed because it was idle.
func (l *link) runConnection(ctx context.Context, backoff *time.Duration) error {
	address, err := l.network.addressOf(l.to)
	if err != nil {
		return err
	}
	conn, _, err := l.network.dial(ctx, address, l.to)
	if err != nil {
		return err
	}
	defer conn.CloseNow()
	l.network.counters.connects.Add(1)
	l.setStatus(true, nil)
	defer l.setStatus(false, nil)
	*backoff = minBackoff
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The peer sends no messages after its hello. Reading processes pongs and
		// returns the reason when the peer closes the connection.
		_, _, err := conn.Read(ctx)
		if err == nil {
			err = resultcode.New(resultcode.MessageMalformed, "VM %q sent a message on a connection of this VM", l.to)
			l.network.reportRefusal(err)
		}
		cancel(closeError(err))
	}()
	defer func() { conn.CloseNow(); <-done }()
	return l.write(ctx, conn)
}

func (l *link) write(ctx context.Context, conn *websocket.Conn) error {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	confirmed := time.Now()
	for {
		f, ok := l.pop()
		if !ok {
			select {
			case <-l.wake:
				continue
			case <-idle.C:
				conn.Close(websocket.StatusNormalClosure, "idle")
				return nil
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
		if err := l.writeFrame(ctx, conn, f); err != nil {
			l.network.counters.dropped.Add(string(f.kind), 1)
			return err
		}
		idle.Reset(idleTimeout)
		if time.Since(confirmed) > pingInterval {
			confirmed = time.Now()
			if err := ping(ctx, conn); err != nil {
				return err
			}
		}
	}
}

func (l *link) writeFrame(ctx context.Context, conn *websocket.Conn, f frame) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := conn.Write(ctx, websocket.MessageBinary, f.bytes); err != nil {
		return err
	}
	l.network.counters.sentMessages.Add(string(f.kind), 1)
	l.network.counters.sentBytes.Add(string(f.kind), int64(len(f.bytes)))
	return nil
}

func ping(ctx context.Context, conn *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, pongTimeout)
	defer cancel()
	return conn.Ping(ctx)
}

// sleep waits for d. It returns false if ctx is cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// closeError adds the result code to an error that holds a close code of a peer that
// rejected this VM. It returns other errors unchanged.
func closeError(err error) error {
	switch websocket.CloseStatus(err) {
	case closeVersion:
		return resultcode.Wrap(err, resultcode.MessageVersion, "peer rejected the protocol version")
	case closeUnauthenticated:
		return resultcode.Wrap(err, resultcode.MessageStranger, "peer rejected the identity of this VM")
	case closeMalformed:
		return resultcode.Wrap(err, resultcode.MessageMalformed, "peer could not decode a message")
	}
	return err
}
