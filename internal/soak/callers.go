package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// Databases of the configuration.
const (
	primaryRoute = "orders"
	boundedRoute = "lists"
	sessionRoute = "runs"
)

const (
	// callTimeout is the time that callers wait for an answer. It exceeds the limits of
	// statements.
	callTimeout = 4 * time.Second
	// sessionLength bounds the statements of a session.
	sessionLength = 30
)

// worker is one caller, which opens one session after the other.
type worker struct {
	fleet *fleet
	n     int
	rng   *rand.Rand
	last  int // number of the last request and value
	// epoch counts the items of this caller. A write whose outcome is unknown may take
	// effect at any later time, so the item is given up after it.
	epoch int
}

func (w *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.session(ctx) {
			time.Sleep(30 * time.Millisecond)
		}
	}
}

func (w *worker) nextID() string {
	w.last++
	return fmt.Sprintf("r%d-%d", w.n, w.last)
}

// caller is one session with what it must see.
type caller struct {
	*session
	route string
	own   map[string]int // newest value that the session has written, by item
	value string         // session value that was acknowledged
}

func (w *worker) session(ctx context.Context) bool {
	route := []string{primaryRoute, boundedRoute, sessionRoute, sessionRoute}[w.rng.IntN(4)]
	conn, reply, err := w.fleet.dial(w.rng.IntN(1<<16), route, mainKey)
	if err != nil || reply.Code != "" {
		return false
	}
	defer conn.Close()
	c := &caller{session: conn, route: route, own: map[string]int{}}
	for range 1 + w.rng.IntN(sessionLength) {
		if ctx.Err() != nil || !w.step(c) {
			return true
		}
		if w.rng.IntN(10) == 0 {
			time.Sleep(time.Duration(w.rng.IntN(200)) * time.Millisecond)
		}
	}
	return true
}

// step runs one operation; false ends the session.
func (w *worker) step(c *caller) bool {
	switch n := w.rng.IntN(10); {
	case n == 0:
		return w.set(c)
	case n <= 2 && c.route != boundedRoute:
		return w.write(c)
	case n == 3 && c.route != boundedRoute:
		return w.transaction(c)
	case n == 4:
		return w.readValue(c)
	}
	return w.read(c)
}

func (w *worker) item() string { return fmt.Sprintf("i%d.%d", w.n, w.epoch) }

// wrote records the answer to a write or a commit of a value.
func (w *worker) wrote(c *caller, id string, value int, reply platformtest.Reply, err error) {
	item := w.item()
	switch w.fleet.history.wrote(id, item, value, reply, err) {
	case succeeded:
		c.own[item] = value
	case unknown:
		w.epoch++
		w.fleet.items[w.n].Store(int64(w.epoch))
	}
}

func (w *worker) set(c *caller) bool {
	value := strconv.Itoa(w.rng.IntN(1000))
	reply, err := c.Query(w.nextID(), "SET v "+value)
	if err != nil || reply.Code != "" {
		return false
	}
	c.value = value
	return true
}

func (w *worker) readValue(c *caller) bool {
	reply, err := c.Query(w.nextID(), "READ value:v")
	if err != nil || reply.Code != "" {
		return err == nil
	}
	if len(reply.Rows) != 1 || reply.Rows[0] != c.value {
		w.fleet.history.violate("session value %q expected, read %v", c.value, reply.Rows)
	}
	return true
}

func (w *worker) write(c *caller) bool {
	id := w.nextID()
	value := w.last
	reply, err := c.Query(id, fmt.Sprintf("WRITE %s %d", w.item(), value))
	w.wrote(c, id, value, reply, err)
	return err == nil
}

func (w *worker) transaction(c *caller) bool {
	if reply, err := c.Query(w.nextID(), "BEGIN"); err != nil || reply.Code != "" {
		return err == nil
	}
	id := w.nextID()
	value := w.last
	if reply, err := c.Query(id, fmt.Sprintf("WRITE %s %d", w.item(), value)); err != nil || reply.Code != "" {
		return false
	}
	if w.rng.IntN(4) == 0 {
		time.Sleep(time.Duration(w.rng.IntN(500)) * time.Millisecond)
	}
	if w.rng.IntN(5) == 0 {
		reply, err := c.Query(w.nextID(), "ROLLBACK")
		return err == nil && reply.Code == ""
	}
	id = w.nextID()
	reply, err := c.Query(id, "COMMIT")
	w.wrote(c, id, value, reply, err)
	return err == nil && reply.State == "I"
}

// read reads an item of any caller and checks that the value is new enough.
func (w *worker) read(c *caller) bool {
	n := w.rng.IntN(workers)
	item := fmt.Sprintf("i%d.%d", n, w.fleet.items[n].Load())
	least := 0
	switch c.route {
	case primaryRoute:
		least = w.fleet.history.least(item, 0)
	default:
		least = w.fleet.history.least(item, boundedAge)
	}
	if c.route == sessionRoute {
		least = max(least, c.own[item])
	}
	reply, err := c.Query(w.nextID(), "READ "+item)
	if err != nil || reply.Code != "" {
		return err == nil
	}
	w.fleet.history.read()
	got := 0
	if len(reply.Rows) == 1 {
		got, _ = strconv.Atoi(reply.Rows[0])
	}
	if got < least {
		w.fleet.history.violate("read of %s on %s saw %d, at least %d was due", item, c.route, got, least)
	}
	return true
}

// ask opens a session, runs one read and closes it; false without an answer of an
// upstream.
func (f *fleet) ask(vm int, route, key, text string) bool {
	c, reply, err := f.dial(vm, route, key)
	if err != nil || reply.Code != "" {
		return false
	}
	defer c.Close()
	reply, err = c.Query(fmt.Sprintf("probe-%d", f.probes.Add(1)), text)
	return err == nil && reply.Code == ""
}
