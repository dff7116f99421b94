package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// memberSession is one connection to a member.
type memberSession struct {
	member   *member
	conn     net.Conn
	in       *bufio.Reader
	tenant   string
	state    string // I, T or E
	readOnly bool
	writes   map[string]string
	ids      []string
	values   map[string]string
	prepared map[string]bool // name to whether it writes
	// transaction is set while a transaction is open; lastAt is the time of the last message.
	transaction atomic.Bool
	lastAt      atomic.Int64
}

func (s *memberSession) serve() {
	s.in, s.state, s.values, s.prepared = bufio.NewReader(s.conn), "I", map[string]string{}, map[string]bool{}
	line, err := s.line()
	fields := strings.Split(line, " ")
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	m, g := s.member, s.member.service
	time.Sleep(connectTime)
	g.mu.Lock()
	wrong := fields[1] != g.name || len(fields) > 3 && fields[3] != m.id
	full := len(m.conns) > g.maxConns
	position := m.position()
	g.mu.Unlock()
	switch {
	case wrong:
		s.send("ERROR WRONGNODE " + m.id)
		return
	case full:
		s.send("ERROR MAXCONN full")
		return
	}
	s.tenant = fields[2]
	s.send("READY I " + position)
	for {
		line, err := s.line()
		if err != nil || line == "QUIT" {
			return
		}
		parts := strings.SplitN(line, " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		s.lastAt.Store(time.Now().UnixNano())
		rows, result := s.query(parts[1], parts[2])
		s.transaction.Store(s.state == "T")
		lines := []string{}
		for _, row := range rows {
			lines = append(lines, "ROW "+row)
		}
		g.mu.Lock()
		position := m.position()
		g.mu.Unlock()
		s.send(append(lines, result, "READY "+s.state+" "+position)...)
	}
}

func (s *memberSession) line() (string, error) {
	line, err := s.in.ReadString('\n')
	if err == nil {
		s.member.awaitLight()
	}
	return strings.TrimSuffix(line, "\r\n"), err
}

func (s *memberSession) send(lines ...string) {
	s.member.awaitLight()
	_, _ = s.conn.Write([]byte(strings.Join(lines, "\r\n") + "\r\n"))
}

// position is the end of the part of the log that reads see; the lock must be held.
func (m *member) position() string {
	if m.applied == 0 {
		return "-"
	}
	term := m.log[m.applied-1].term
	if m.primary {
		term = m.service.term
	}
	return fmt.Sprintf("%d.%d", term, m.applied)
}

// received is the end of the log; the lock must be held.
func (m *member) received() string {
	if len(m.log) == 0 {
		return "-"
	}
	return fmt.Sprintf("%d.%d", m.log[len(m.log)-1].term, len(m.log))
}

// lacks reports whether reads do not see a position; the lock must be held.
func (m *member) lacks(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.Atoi(term)
	n, _ := strconv.Atoi(number)
	own := 0
	if m.applied > 0 {
		own = m.log[m.applied-1].term
	}
	if m.primary {
		own = m.service.term
	}
	return own < t || own == t && m.applied < n
}

func (s *memberSession) query(id, text string) (rows []string, result string) {
	m, g := s.member, s.member.service
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "MINLSN" {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		verb, rest, _ = strings.Cut(text, " ")
		g.mu.Lock()
		lagging := m.lacks(position)
		g.mu.Unlock()
		if lagging {
			return nil, "ERROR LAGGING " + m.id
		}
	}
	if s.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return nil, "ERROR MALFORMED the transaction failed"
	}
	g.mu.Lock()
	primary := m.primary
	g.mu.Unlock()
	if s.state == "T" && !s.readOnly && !primary && verb != "ROLLBACK" && (verb != "COMMIT" || len(s.writes) > 0) {
		s.state = "E"
		return nil, "ERROR READONLY " + m.id
	}
	switch verb {
	case "BEGIN":
		if rest == "" && !primary {
			return nil, "ERROR READONLY " + m.id
		}
		s.state, s.readOnly, s.writes, s.ids = "T", rest == "READ", map[string]string{}, nil
	case "ROLLBACK":
		s.state = "I"
	case "DISCARD":
		s.values, s.prepared = map[string]string{}, map[string]bool{}
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
	case "PARSE":
		name, rest, _ := strings.Cut(rest, " ")
		s.prepared[name] = strings.HasPrefix(rest, "WRITE ")
	case "CLOSE":
		delete(s.prepared, rest)
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.control(verb, rest)
	default:
		return s.data(id, text, verb, rest)
	}
	return nil, "COMPLETE -"
}

// control runs a command of the system.
func (s *memberSession) control(verb, rest string) (rows []string, result string) {
	m, g := s.member, s.member.service
	g.mu.Lock()
	defer g.mu.Unlock()
	term, _ := strconv.Atoi(rest)
	switch {
	case verb == "PAUSE" && !m.primary && term > g.term:
		m.paused = term
	case verb == "RESUME":
		m.paused = 0
	case verb == "STEPDOWN" && m.primary && g.term < term:
		m.primary = false
		m.report()
	}
	// A member that has started again knows no term before it has received anything.
	known := g.term
	if len(m.log) == 0 && !m.primary {
		known = 0
	}
	row := fmt.Sprintf("%s %d %s %d 0 %d %d", m.role(), known, m.received(), m.paused, len(m.slots), len(m.conns))
	if verb != "STATUS" {
		g.record.add("%s: %s %s -> %s", m.id, verb, rest, row)
	}
	return []string{row}, "COMPLETE -"
}

// data runs a read, a write or a commit.
func (s *memberSession) data(id, text, verb, rest string) (rows []string, result string) {
	m, g := s.member, s.member.service
	m.slots <- struct{}{}
	defer func() { <-m.slots }()
	time.Sleep(statementTime)
	write := verb == "WRITE"
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		known := false
		if write, known = s.prepared[name]; !known {
			return nil, "ERROR NOSTMT " + name
		}
		rest = arguments
	}
	g.mu.Lock()
	g.runs = append(g.runs, executed{at: time.Now(), service: g.name, member: m.id, tenant: s.tenant, id: id, text: text, position: m.applied})
	g.record.add("%s runs %s %q for %s at position %s", m.id, id, text, s.tenant, m.position())
	primary := m.primary
	g.mu.Unlock()
	mac := fmt.Sprintf("COMPLETE mac.%s.%s", m.id, id)
	item, data, _ := strings.Cut(rest, " ")
	switch {
	case verb == "COMMIT":
		s.state = "I"
		if len(s.writes) > 0 && !m.appendCommit(append(s.ids, id), s.writes) {
			return nil, "ERROR TIMEOUT commit"
		}
		return nil, mac
	case !write && (verb == "READ" || verb == "EXECUTE"):
		g.mu.Lock()
		defer g.mu.Unlock()
		return []string{m.read(item)}, mac
	case write && !primary:
		return nil, "ERROR READONLY " + m.id
	case write && s.state == "T":
		s.writes[item], s.ids = data, append(s.ids, id)
		return nil, mac
	case write:
		if !m.appendCommit([]string{id}, map[string]string{item: data}) {
			return nil, "ERROR TIMEOUT write"
		}
		return nil, mac
	}
	return nil, "ERROR MALFORMED " + verb
}

// read returns the value of an item; the lock must be held.
func (m *member) read(item string) string {
	for i := m.applied - 1; i >= 0; i-- {
		if value, ok := m.log[i].writes[item]; ok {
			return value
		}
	}
	return "none"
}
