package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/platform/platformtest"
)

// figures are those of the members of a site.
type figures struct {
	slots, queue, maxConns int
	// handshake is the time of a new connection, and work that of one statement.
	handshake, work time.Duration
}

// Figures of the sites that the cases name.
var (
	refillOrders = figures{slots: 5, queue: 40, maxConns: 54, handshake: 27 * time.Millisecond, work: 33 * time.Millisecond}
	counterOrder = figures{slots: 5, queue: 40, maxConns: 54, handshake: 27 * time.Millisecond, work: 11 * time.Millisecond}
	deckbook     = figures{slots: 2, queue: 16, maxConns: 35, handshake: 12 * time.Millisecond, work: 3 * time.Millisecond}
)

// service is one database with a primary and two replicas. A commit is acknowledged once a
// replica has received it.
type service struct {
	name    string
	store   *platformtest.Store
	rec     *record
	figures figures
	mu      sync.Mutex
	term    int
	log     []string // ids of the statements that committed
	data    map[string]string
	member  map[string]*member
	runs    []run
}

// run is a statement of a client that a member has run.
type run struct {
	at       time.Time
	member   string
	id, text string
	// arrived is when the member received it.
	arrived time.Time
}

type member struct {
	id, zone string
	service  *service
	listener net.Listener
	slots    chan struct{}

	// The fields below are guarded by service.mu.
	primary  bool
	paused   int // the term of the pause, or zero
	received int // length of the log that it has
	waiting  int
	conns    int
	open     int // connections with an open transaction
	// rejectShare is the share of the reads, writes and commits that are refused as BUSY.
	rejectShare float64
}

func newService(name string, store *platformtest.Store, rec *record, fig figures, zones []string) (*service, error) {
	s := &service{name: name, store: store, rec: rec, figures: fig, term: 1, data: map[string]string{}, member: map[string]*member{}}
	for i, zone := range zones {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &member{id: fmt.Sprintf("i-%s-%d", name, i+1), zone: zone, service: s, listener: l, slots: make(chan struct{}, fig.slots), primary: i == 0}
		s.member[m.id] = m
		m.register()
		go m.accept()
	}
	return s, nil
}

func (s *service) close() {
	for _, m := range s.member {
		_ = m.listener.Close()
	}
}

// register writes the member's entry.
func (m *member) register() {
	role := "replica"
	if m.primary {
		role = "primary"
	}
	m.service.store.Set("servers", m.id, map[string]any{"upstream": m.service.name, "addr": m.listener.Addr().String(), "zone": m.zone,
		"version": "v1", "capacity": m.service.figures.slots, "state": "ready", "warmup_ms": 0, "db_role": role, "seq": 1, "born": time.Now().UnixMilli()})
}

func (m *member) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			(&memberSession{member: m, conn: conn, in: bufio.NewReader(conn), state: "I", prepared: map[string]bool{}}).serve()
		}()
	}
}

// acquire takes a slot; it returns false if the queue is full.
func (m *member) acquire() bool {
	s := m.service
	s.mu.Lock()
	if m.waiting >= s.figures.queue+s.figures.slots {
		s.mu.Unlock()
		return false
	}
	m.waiting++
	s.mu.Unlock()
	m.slots <- struct{}{}
	return true
}

func (m *member) release() {
	<-m.slots
	m.service.mu.Lock()
	m.waiting--
	m.service.mu.Unlock()
}

// memberSession is a connection to a member.
type memberSession struct {
	member   *member
	conn     net.Conn
	in       *bufio.Reader
	state    string
	readOnly bool
	prepared map[string]bool // name to whether it writes
	writes   map[string]string
	counted  bool // in member.open
}

func (c *memberSession) reply(lines ...string) {
	_, _ = c.conn.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
}

func (c *memberSession) line() (string, bool) {
	line, err := c.in.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err == nil
}

func (c *memberSession) serve() {
	m := c.member
	line, _ := c.line()
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	if fields[1] != m.service.name || len(fields) > 3 && fields[3] != m.id {
		c.reply("ERROR WRONGNODE " + m.id)
		return
	}
	m.service.mu.Lock()
	m.conns++
	full := m.conns > m.service.figures.maxConns
	m.service.mu.Unlock()
	defer func() {
		m.service.mu.Lock()
		m.conns--
		m.service.mu.Unlock()
	}()
	if full {
		c.reply("ERROR MAXCONN " + m.id)
		return
	}
	if m.acquire() {
		time.Sleep(m.service.figures.handshake)
		m.release()
	}
	c.reply("READY I " + c.position())
	for {
		line, ok := c.line()
		parts := strings.SplitN(line, " ", 3)
		if !ok || len(parts) < 3 || parts[0] != "QUERY" {
			c.count("I")
			return
		}
		rows, result := c.query(parts[1], parts[2])
		c.count(c.state)
		out := []string{}
		for _, row := range rows {
			out = append(out, "ROW "+row)
		}
		c.reply(append(out, result, "READY "+c.state+" "+c.position())...)
	}
}

// count counts the connection if it has a transaction open.
func (c *memberSession) count(state string) {
	c.member.service.mu.Lock()
	defer c.member.service.mu.Unlock()
	switch open := state != "I"; {
	case open && !c.counted:
		c.member.open++
	case !open && c.counted:
		c.member.open--
	}
	c.counted = state != "I"
}

// position returns the end of the member's log.
func (c *memberSession) position() string {
	c.member.service.mu.Lock()
	defer c.member.service.mu.Unlock()
	return c.member.position()
}

func (m *member) position() string { return fmt.Sprintf("%d.%d", m.service.term, m.received) }

func (c *memberSession) query(id, text string) (rows []string, result string) {
	m, arrived := c.member, time.Now()
	if rest, ok := strings.CutPrefix(text, "MINLSN "); ok {
		point, rest, _ := strings.Cut(rest, " ")
		if m.lacks(point) {
			return nil, "ERROR LAGGING " + m.id
		}
		text = rest
	}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return m.control(verb, rest)
	case "BEGIN":
		m.service.mu.Lock()
		defer m.service.mu.Unlock()
		if rest != "READ" && !m.primary {
			return nil, "ERROR READONLY " + m.id
		}
		c.state, c.readOnly, c.writes = "T", rest == "READ", map[string]string{}
		return nil, "COMPLETE -"
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		return nil, "COMPLETE -"
	case "DISCARD":
		c.prepared = map[string]bool{}
		return nil, "COMPLETE -"
	case "PARSE":
		if f := strings.Fields(rest); len(f) > 1 {
			c.prepared[f[0]] = f[1] == "WRITE"
		}
		return nil, "COMPLETE -"
	case "CLOSE":
		delete(c.prepared, rest)
		return nil, "COMPLETE -"
	case "SET":
		return nil, "COMPLETE -"
	}
	if m.rejects() || !m.acquire() {
		return nil, "ERROR BUSY " + m.id
	}
	defer m.release()
	time.Sleep(m.service.figures.work)
	return c.execute(id, text, verb, rest, arrived)
}

func (m *member) rejects() bool {
	m.service.mu.Lock()
	defer m.service.mu.Unlock()
	return rand.Float64() < m.rejectShare
}

func (m *member) lacks(point string) bool {
	term, number, _ := strings.Cut(point, ".")
	t, _ := strconv.Atoi(term)
	n, _ := strconv.Atoi(number)
	m.service.mu.Lock()
	defer m.service.mu.Unlock()
	return m.service.term < t || m.service.term == t && m.received < n
}

// control runs the commands of a takeover and returns the status.
func (m *member) control(verb, rest string) (rows []string, result string) {
	s := m.service
	s.mu.Lock()
	defer s.mu.Unlock()
	switch verb {
	case "PAUSE":
		if term, err := strconv.Atoi(rest); err == nil && term > s.term && !m.primary {
			m.paused = term
		}
	case "RESUME":
		m.paused, m.received = 0, len(s.log)
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return []string{fmt.Sprintf("%s %d %s %d 0 %d %d", role, s.term, m.position(), m.paused, len(m.slots), m.conns)}, "COMPLETE -"
}

// execute runs a read, a write or a commit.
func (c *memberSession) execute(id, text, verb, rest string, arrived time.Time) (rows []string, result string) {
	m, s := c.member, c.member.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == "T" && !c.readOnly && !m.primary && !(verb == "COMMIT" && len(c.writes) == 0) {
		c.state = "E"
		return nil, "ERROR READONLY " + m.id
	}
	write := verb == "WRITE"
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		known := false
		if write, known = c.prepared[name]; !known {
			return nil, "ERROR NOSTMT"
		}
		rest = arguments
	}
	if write && !m.primary {
		return nil, "ERROR READONLY " + m.id
	}
	s.runs = append(s.runs, run{at: time.Now(), member: m.id, id: id, text: text, arrived: arrived})
	s.rec.printf("member %s runs %s: %.60s", m.id, id, text)
	mac := "COMPLETE mac." + m.id + "." + id
	item, data, _ := strings.Cut(rest, " ")
	switch {
	case verb == "COMMIT":
		c.state = "I"
		if len(c.writes) > 0 && !s.commit(id, c.writes) {
			return nil, "ERROR TIMEOUT"
		}
	case !write:
		return []string{s.data[item]}, mac
	case c.state == "T":
		c.writes[item] = data
	case !s.commit(id, map[string]string{item: data}):
		return nil, "ERROR TIMEOUT"
	}
	return nil, mac
}

// commit appends an entry and reports whether a replica received it; s.mu is held.
func (s *service) commit(id string, writes map[string]string) bool {
	s.log = append(s.log, id)
	received := false
	for _, m := range s.member {
		if m.paused == 0 {
			m.received = len(s.log)
			received = received || !m.primary
		}
	}
	for item, data := range writes {
		s.data[item] = data
	}
	return received
}

// promote makes a member the primary of the next term.
func (s *service) promote(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := s.member[id]
	if !ok {
		return false
	}
	if next.primary {
		return true
	}
	s.term++
	s.log = s.log[:next.received]
	for _, m := range s.member {
		m.paused, m.received, m.primary = 0, len(s.log), m == next
		m.register()
	}
	return true
}
