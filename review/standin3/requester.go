package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// request is a statement that a requester has sent, and what it has seen of it.
type request struct {
	id, text        string
	vm              *vm
	process         *process
	sentAt, endedAt time.Time
	// outcome is the tag or the code of the answer, or says how the connection ended.
	outcome string
	// closed is set if the connection ended without a complete answer.
	closed bool
}

// requests collects what all requesters have sent.
type requests struct {
	mu   sync.Mutex
	list []request
}

func (l *requests) add(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (l *requests) all() []request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]request(nil), l.list...)
}

// requester keeps a session open and sends one statement after the other.
type requester struct {
	fleet    *fleet
	requests *requests
	number   int
	pause    time.Duration
	sent     int
}

// run serves sessions until ctx ends.
func (q *requester) run(ctx context.Context) {
	zone := zones[q.number%len(zones)].name
	database := databaseName(q.number%len(q.fleet.groups), q.number/len(q.fleet.groups)%len(routeTypes))
	for attempt := q.number / len(zones); ctx.Err() == nil; attempt++ {
		v := q.fleet.entry(zone, attempt)
		p := v.current()
		c, reply, err := platformtest.DialClient(v.address(frontPort), database, tenantKey(q.number%tenants), timeLimit)
		if err != nil || reply.Code != "" {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for ctx.Err() == nil && q.statement(c, v, p) {
			time.Sleep(q.pause)
		}
		c.Close()
	}
}

// statement sends a statement and reports whether the session goes on.
func (q *requester) statement(c *platformtest.Client, v *vm, p *process) bool {
	q.sent++
	r := request{id: fmt.Sprintf("%04x%08x", q.number, q.sent), vm: v, process: p}
	item := fmt.Sprintf("%x", rand.IntN(2000))
	r.text = "READ " + item
	if rand.IntN(8) == 0 {
		r.text = "WRITE " + item + " " + r.id
	}
	r.sentAt = time.Now()
	reply, err := c.Query(r.id, r.text)
	if at := c.SentAt(); !at.IsZero() {
		r.sentAt = at
	}
	r.endedAt = time.Now()
	switch timeout := (interface{ Timeout() bool })(nil); {
	case err == nil && reply.Code == "":
		r.outcome = "COMPLETE " + reply.Tag
	case err == nil:
		r.outcome = "ERROR " + reply.Code
	case errors.As(err, &timeout) && timeout.Timeout():
		r.outcome = "the requester gave up"
	default:
		r.outcome, r.closed = "closed without an answer: "+err.Error(), !c.SentAt().IsZero()
	}
	q.requests.add(r)
	return err == nil && reply.State == "I"
}
