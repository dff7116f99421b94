package soak

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// requestEnd is how a request of a client ended.
type requestEnd uint8

const (
	answered requestEnd = iota
	// closed means that the connection ended without a complete answer.
	closed
	// gaveUp means that the time limit of the client was reached.
	gaveUp
)

// request is what a client saw of one request.
type request struct {
	id string
	// process is the one that took the request.
	process *process
	// sentAt is when its last byte was sent.
	sentAt, endedAt time.Time
	end             requestEnd
	// closedBefore is set if the VM had closed the connection before the request was sent.
	closedBefore bool
	// timeout is that of its route.
	timeout time.Duration
}

// requestLog collects the requests of all clients that were sent completely.
type requestLog struct {
	mu       sync.Mutex
	requests []request
}

func (l *requestLog) add(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// session is a client session with the process that serves it.
type session struct {
	*platformtest.Client
	process *process
	timeout time.Duration
	log     *requestLog
}

// dial opens a session with a VM.
func (f *fleet) dial(n int, route, key string) (*session, platformtest.Reply, error) {
	v := f.vms[n%len(f.vms)]
	for {
		// A process starts after the end of the former one, so that a VM with the same
		// process before and after has served the connection with this one.
		process := v.current()
		conn, reply, err := platformtest.DialClient(v.front(), route, key, callTimeout)
		if err != nil || reply.Code != "" {
			return nil, reply, err
		}
		if v.current() == process {
			return &session{Client: conn, process: process, timeout: f.timeouts[route], log: &f.requests}, reply, nil
		}
		conn.Close()
	}
}

// Query runs a statement and records how it ended.
func (s *session) Query(id, text string) (platformtest.Reply, error) {
	closedBefore := s.Closed()
	reply, err := s.Client.Query(id, text)
	r := request{id: id, process: s.process, sentAt: s.SentAt(), endedAt: time.Now(), timeout: s.timeout, closedBefore: closedBefore}
	var network net.Error
	switch {
	case err == nil:
	case errors.As(err, &network) && network.Timeout():
		r.end = gaveUp
	default:
		r.end = closed
	}
	if !r.sentAt.IsZero() {
		s.log.add(r)
	}
	return reply, err
}
