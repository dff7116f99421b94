package frontend

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/filter/authorise"
	"github.com/rosemarywall/rosemarywall/internal/filter/forward"
	"github.com/rosemarywall/rosemarywall/internal/filter/limit"
	"github.com/rosemarywall/rosemarywall/internal/filter/queue"
	"github.com/rosemarywall/rosemarywall/internal/filter/route"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
)

// Server accepts callers.
type Server struct {
	cfg   Config
	chain filter.Handler
	queue *queue.Filter

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	sessions  map[*session]struct{}
	cancels   map[cancelKey]*session
	draining  bool
	// closed says that all connections are closed.
	closed bool
	// empty is closed when draining and neither a listener nor a session is left.
	empty chan struct{}
	// stage is the shutdown.Stage of a planned stop.
	stage atomic.Uint32
	// process ends when the process is about to exit.
	process    context.Context
	endProcess context.CancelCauseFunc
	// interrupted counts the requests and transactions that a planned stop has ended.
	interrupted atomic.Int64
	// epoch counts calls of Shed; sessions of an older epoch end when idle.
	epoch atomic.Int64
}

// NewServer returns a server that serves no listener yet.
func NewServer(cfg Config) *Server {
	cfg.setDefaults()
	last := forward.New(forward.Config{
		Pools: cfg.Pools, Router: cfg.Router, Authoriser: cfg.Authoriser, Counters: cfg.Counters, ConfirmTimeout: cfg.ConfirmTimeout, PlainWrites: cfg.PlainWrites,
	})
	q := queue.New(last, queue.Config{Now: cfg.Now, FIFO: cfg.FirstComeQueue})
	var chain filter.Handler = route.New(q, route.Config{Router: cfg.Router, Counters: cfg.Counters})
	chain = limit.New(chain, limit.Config{Limiter: cfg.Limiter})
	chain = authorise.New(chain, authorise.Config{Authoriser: cfg.Authoriser})
	s := &Server{
		cfg: cfg, chain: chain, queue: q, listeners: map[net.Listener]struct{}{}, sessions: map[*session]struct{}{},
		cancels: map[cancelKey]*session{}, empty: make(chan struct{}),
	}
	s.process, s.endProcess = context.WithCancelCause(context.Background())
	return s
}

// Counters returns the server's counters.
func (s *Server) Counters() *filter.Counters { return s.cfg.Counters }

// Serve accepts callers until the listener fails or Drain is called, when it
// returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.draining {
		s.mu.Unlock()
		return l.Close()
	}
	s.listeners[l] = struct{}{}
	s.mu.Unlock()
	defer s.removeListener(l)
	limited := false
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			s.ServeConn(c)
		case errors.Is(err, os.ErrDeadlineExceeded) && !limited:
			// The callers whose connections exist are told that the VM stops; closing the
			// listener would reset them.
			limited = true
			_ = l.(deadlineListener).SetDeadline(time.Now().Add(lastAcceptTime))
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			return nil
		default:
			return err
		}
	}
}

// lastAcceptTime bounds the time in which a stopping server accepts the connections that
// exist.
const lastAcceptTime = 20 * time.Millisecond

// deadlineListener is a listener whose Accept can be interrupted.
type deadlineListener interface{ SetDeadline(t time.Time) error }

// removeListener closes a listener that is no longer served.
func (s *Server) removeListener(l net.Listener) {
	_ = l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	s.checkEmpty()
}

// ServeConn starts serving one caller in a goroutine of its own.
func (s *Server) ServeConn(c net.Conn) {
	ses := newSession(s, c)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = c.Close()
		return
	}
	s.sessions[ses] = struct{}{}
	ses.surplus = len(s.sessions) > s.cfg.MaxCallers
	s.mu.Unlock()
	go ses.run()
}

// remove forgets a session that has ended.
func (s *Server) remove(ses *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ses)
	if ses.cancelKey != (cancelKey{}) {
		delete(s.cancels, ses.cancelKey)
	}
	s.checkEmpty()
}

// checkEmpty closes s.empty if the server drains and no caller is left.
func (s *Server) checkEmpty() {
	if s.draining && len(s.sessions) == 0 && len(s.listeners) == 0 {
		closeOnce(s.empty)
	}
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// Shed disconnects callers outside a transaction with SQLSTATE 57P01, and the
// others once their transaction ends. New callers are accepted.
func (s *Server) Shed() {
	s.epoch.Add(1)
	for _, ses := range s.all() {
		ses.conn.wake(false)
	}
}

// all returns the sessions.
func (s *Server) all() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sessions := make([]*session, 0, len(s.sessions))
	for ses := range s.sessions {
		sessions = append(sessions, ses)
	}
	return sessions
}

// Queues returns the state of the queue of each upstream.
func (s *Server) Queues() []queue.State { return s.queue.Dump() }

// Outstanding returns the number of requests that run or wait on an upstream. It
// has the form of routing.Outstanding.
func (s *Server) Outstanding(group ident.GroupName, upstream ident.UpstreamName) int {
	return s.queue.Outstanding(group, upstream)
}

// Dump is the state of a server.
type Dump struct {
	// Callers counts connected callers by state.
	Callers  map[string]int       `json:"callers"`
	Draining bool                 `json:"draining"`
	Pools    []upstream.PoolState `json:"pools"`
	Queues   []queue.State        `json:"queues"`
	Counters map[string]any       `json:"counters"`
}

// Dump returns the state of the server as a Dump.
func (s *Server) Dump() any {
	d := Dump{Callers: map[string]int{}, Pools: s.cfg.Pools.Dump(), Queues: s.queue.Dump(), Counters: s.cfg.Counters.Snapshot()}
	s.mu.Lock()
	defer s.mu.Unlock()
	d.Draining = s.draining
	for ses := range s.sessions {
		d.Callers[state(ses.state.Load()).String()]++
	}
	return d
}
