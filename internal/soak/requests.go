package soak

import (
	"net"
	"strings"
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
	// verb is the first word of the statement, and code that of the response, if any.
	verb, code string
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
	// rejections are the messages with invalid boundaries that were not rejected as they should.
	rejections []rejection
}

func (l *requestLog) reject(r rejection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejections = append(l.rejections, r)
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
	history *history
	// connected is set once the VM has accepted the startup message.
	connected bool
}

// open opens a connection to a VM.
func (f *fleet) open(n int) (*session, error) {
	v := f.vms[n%len(f.vms)]
	for {
		// A process starts after the end of the former one, so that a VM with the same
		// process before and after has accepted the connection with this one.
		process := v.current()
		conn, err := platformtest.Dial(v.front(), callTimeout, f.sent.open().record)
		if err != nil {
			return nil, err
		}
		if v.current() == process {
			return &session{Client: conn, process: process, log: &f.requests, history: f.history}, nil
		}
		conn.Close()
	}
}

// dial opens a session with a VM.
func (f *fleet) dial(n int, route, key string) (*session, platformtest.Reply, error) {
	s, err := f.open(n)
	if err != nil {
		return nil, platformtest.Reply{}, err
	}
	reply, err := s.Connect(route, key)
	if err != nil || reply.Code != "" {
		s.Close()
		return nil, reply, err
	}
	s.timeout, s.connected = f.timeouts[route], true
	return s, reply, nil
}

// Query runs a statement and records how it ended.
func (s *session) Query(id, text string) (platformtest.Reply, error) {
	return s.ask(id, text, nil, "QUERY "+id+" "+text+"\r\n")
}

// ask runs a statement whose message is sent in pieces with pauses, and records how it ended.
func (s *session) ask(id, text string, pause func(), pieces ...string) (platformtest.Reply, error) {
	closedBefore, err := s.sendPieces(pause, pieces)
	if err != nil {
		return platformtest.Reply{}, err
	}
	return s.receive(id, text, s.SentAt(), closedBefore)
}

// sendPieces sends bytes with pauses between the pieces, and reports whether the VM had closed the
// connection before the last piece.
func (s *session) sendPieces(pause func(), pieces []string) (closedBefore bool, err error) {
	for i, piece := range pieces {
		if i > 0 {
			pause()
		}
		closedBefore = s.Closed()
		if err := s.Send([]byte(piece)); err != nil {
			return closedBefore, err
		}
	}
	return closedBefore, nil
}

// receive receives the response to a statement that was sent, and records how it ended.
func (s *session) receive(id, text string, sentAt time.Time, closedBefore bool) (platformtest.Reply, error) {
	reply, err := s.Receive()
	r := request{id: id, process: s.process, sentAt: sentAt, endedAt: time.Now(), timeout: s.timeout, closedBefore: closedBefore, end: endOf(err),
		code: reply.Code}
	r.verb, _, _ = strings.Cut(text, " ")
	s.log.add(r)
	violation := ""
	switch {
	case err == nil:
		violation = checkAnswer(id, text, reply)
	case errors.Is(err, platformtest.ErrLineEnd) || errors.Is(err, platformtest.ErrTooLarge):
		violation = "the response to " + id + " is invalid: " + err.Error()
	}
	if violation != "" {
		s.history.violate("%s", violation)
	}
	return reply, err
}

// endOf returns how a request ended whose response ended with err.
func endOf(err error) requestEnd {
	var network net.Error
	switch {
	case err == nil:
		return answered
	case errors.As(err, &network) && network.Timeout():
		return gaveUp
	}
	return closed
}
