package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// Times of a service. Those of replication are of the order of the small deployments.
const (
	replicationDelay = 3 * time.Millisecond
	applyDelay       = 8 * time.Millisecond
	statementTime    = 4 * time.Millisecond
	connectTime      = 5 * time.Millisecond
	commitTimeout    = 900 * time.Millisecond
	promoteTime      = 300 * time.Millisecond
	beatInterval     = 1200 * time.Millisecond
)

// commit is one entry of a log.
type commit struct {
	term, number int
	ids          []string
	writes       map[string]string
	receivedAt   time.Time
}

// service is a database service: a primary and its replicas. A commit is acknowledged once one
// replica has received it.
type service struct {
	name     string
	store    *store
	record   *record
	maxConns int

	mu      sync.Mutex
	term    int
	members []*member
	// acknowledged holds the numbers of the commits that were acknowledged, by id.
	acknowledged map[string]int
	// runs holds the statements of requesters that members ran.
	runs []executed
	// lost holds the ids of acknowledged commits that a promoted member lacked.
	lost []string
}

// executed is a statement that a member ran.
type executed struct {
	at               time.Time
	service, member  string
	tenant, id, text string
	// position is the number of commits that the statement could see.
	position int
}

// member is one member of a service. Its fields are guarded by the lock of the service.
type member struct {
	service        *service
	id, zone, addr string
	born           int64
	seq            int
	listener       net.Listener
	conns          map[net.Conn]struct{}
	sessions       map[*memberSession]struct{}

	primary bool
	log     []commit
	applied int
	paused  int
	// deaf is set while the member receives no commits, dark while it neither sends nor
	// receives anything, and down while its process does not run.
	deaf, dark, down bool
	// slots limits the statements that run at the same time.
	slots chan struct{}
	// woken is closed and replaced when dark ends.
	woken chan struct{}
}

func newService(s *store, r *record, name string, term, maxConns int, ip string, zones ...string) (*service, error) {
	g := &service{name: name, store: s, record: r, term: term, maxConns: maxConns, acknowledged: map[string]int{}}
	for i, zone := range zones {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		m := &member{service: g, id: fmt.Sprintf("i-%s-%d", name, i+1), zone: zone, addr: listener.Addr().String(), listener: listener,
			born: time.Now().UnixMilli(), conns: map[net.Conn]struct{}{}, sessions: map[*memberSession]struct{}{}, primary: i == 0, slots: make(chan struct{}, 5), woken: make(chan struct{})}
		g.members = append(g.members, m)
	}
	for _, m := range g.members {
		go m.accept(m.listener)
		go m.beat()
	}
	go g.replicate()
	return g, nil
}

// role is what a member reports as its role.
func (m *member) role() string {
	if m.primary {
		return "primary"
	}
	return "replica"
}

// report writes the member's entry in the store; the lock must be held.
func (m *member) report() {
	if m.down || m.dark {
		return
	}
	m.seq++
	spec := map[string]any{"upstream": m.service.name, "addr": m.addr, "zone": m.zone, "version": "v1", "capacity": cap(m.slots),
		"state": "ready", "warmup_ms": 0, "db_role": m.role(), "seq": m.seq, "born": m.born}
	m.service.store.set("servers", m.id, spec)
}

// beat reports the member's state. An entry is removed after three intervals of silence.
func (m *member) beat() {
	silent := 0
	for {
		m.service.mu.Lock()
		if m.down || m.dark {
			if silent++; silent == 3 {
				m.service.store.remove("servers", m.id)
			}
		} else {
			silent = 0
			m.report()
		}
		m.service.mu.Unlock()
		time.Sleep(beatInterval)
	}
}

// replicate copies the primary's log to the replicas.
func (g *service) replicate() {
	for {
		time.Sleep(replicationDelay)
		g.mu.Lock()
		now := time.Now()
		p := g.leader()
		for _, m := range g.members {
			if m.primary || m.down {
				continue
			}
			if p != nil && !p.down && !p.dark && !m.dark && !m.deaf && m.paused == 0 {
				for _, c := range p.log[min(len(m.log), len(p.log)):] {
					c.receivedAt = now
					m.log = append(m.log, c)
				}
			}
			for m.applied < len(m.log) && now.Sub(m.log[m.applied].receivedAt) >= applyDelay {
				m.applied++
			}
		}
		g.mu.Unlock()
	}
}

func (g *service) leader() *member {
	for _, m := range g.members {
		if m.primary {
			return m
		}
	}
	return nil
}

// appendCommit adds a commit to the log of the primary and waits until a replica has received it.
func (m *member) appendCommit(ids []string, writes map[string]string) bool {
	g := m.service
	g.mu.Lock()
	if !m.primary || m.down {
		g.mu.Unlock()
		return false
	}
	c := commit{term: g.term, number: len(m.log) + 1, ids: ids, writes: writes, receivedAt: time.Now()}
	m.log = append(m.log, c)
	m.applied = len(m.log)
	g.mu.Unlock()
	for deadline := time.Now().Add(commitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		g.mu.Lock()
		received := false
		for _, r := range g.members {
			received = received || r != m && !r.down && len(r.log) >= c.number && r.log[c.number-1].term == c.term
		}
		kept := m.primary && !m.down && len(m.log) >= c.number && m.log[c.number-1].term == c.term
		if kept && received {
			for _, id := range ids {
				g.acknowledged[id] = c.number
			}
		}
		g.mu.Unlock()
		if !kept || received {
			return kept && received
		}
	}
	return false
}

// promote makes a member the primary of the next term. The others lose what it lacks.
func (g *service) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var next *member
	for _, m := range g.members {
		if m.id == id {
			next = m
		}
	}
	if next == nil || next.down || next.dark {
		return false
	}
	if next.primary {
		return true
	}
	kept := map[string]bool{}
	for _, c := range next.log {
		for _, id := range c.ids {
			kept[id] = true
		}
	}
	for id := range g.acknowledged {
		if !kept[id] {
			g.lost = append(g.lost, id)
		}
	}
	g.record.note("%s: %s is promoted to term %d with %d commits; %d acknowledged commits are not in its log", g.name, id, g.term+1, len(next.log), len(g.lost))
	g.term++
	for _, m := range g.members {
		m.primary, m.paused = m == next, 0
		for i := range min(len(m.log), len(next.log)) {
			if m.log[i].term != next.log[i].term {
				m.log = m.log[:i]
				break
			}
		}
		m.log = m.log[:min(len(m.log), len(next.log))]
		m.applied = min(m.applied, len(m.log))
		m.report()
	}
	next.applied = len(next.log)
	return true
}

// setDeaf stops or resumes the receipt of commits.
func (m *member) setDeaf(on bool) {
	m.service.mu.Lock()
	defer m.service.mu.Unlock()
	m.deaf = on
	m.service.record.note("%s: %s receives commits: %t; it has %d", m.service.name, m.id, !on, len(m.log))
}

// setDark stops or resumes all that the member sends and receives.
func (m *member) setDark(on bool) {
	m.service.mu.Lock()
	defer m.service.mu.Unlock()
	m.dark = on
	m.service.record.note("%s: %s (%s) is dark: %t; it has %d commits", m.service.name, m.id, m.role(), on, len(m.log))
	if !on {
		close(m.woken)
		m.woken = make(chan struct{})
		m.report()
	}
}

// stop ends the member's process: its connections are reset.
func (m *member) stop() {
	m.service.mu.Lock()
	defer m.service.mu.Unlock()
	m.service.record.note("%s: %s (%s) stops; it has %d commits", m.service.name, m.id, m.role(), len(m.log))
	m.down = true
	_ = m.listener.Close()
	for c := range m.conns {
		_ = c.Close()
	}
}

// startAgain starts the member under the id that it had. It holds and knows nothing of before.
func (m *member) startAgain() error {
	listener, err := net.Listen("tcp4", m.addr)
	if err != nil {
		return err
	}
	m.service.mu.Lock()
	defer m.service.mu.Unlock()
	m.listener, m.down, m.conns = listener, false, map[net.Conn]struct{}{}
	m.born, m.seq, m.log, m.applied, m.paused = time.Now().UnixMilli(), 0, nil, 0, 0
	m.service.record.note("%s: %s starts again under its id, born %d, with no commits", m.service.name, m.id, m.born)
	m.report()
	go m.accept(listener)
	return nil
}

func (m *member) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		m.service.mu.Lock()
		m.conns[conn] = struct{}{}
		m.service.mu.Unlock()
		go func() {
			s := &memberSession{member: m, conn: conn}
			m.service.mu.Lock()
			m.sessions[s] = struct{}{}
			m.service.mu.Unlock()
			s.serve()
			m.service.mu.Lock()
			delete(m.conns, conn)
			delete(m.sessions, s)
			m.service.mu.Unlock()
			_ = conn.Close()
		}()
	}
}

// awaitLight blocks while the member is dark.
func (m *member) awaitLight() {
	for {
		m.service.mu.Lock()
		dark, woken := m.dark, m.woken
		m.service.mu.Unlock()
		if !dark {
			return
		}
		<-woken
	}
}

// idleTransactions returns the number of transactions that are open on the members and for which
// nothing has arrived for a time.
func (g *service) idleTransactions(idle time.Duration) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[string]int{}
	for _, m := range g.members {
		for s := range m.sessions {
			if s.transaction.Load() && time.Since(time.Unix(0, s.lastAt.Load())) > idle {
				counts[m.id]++
			}
		}
	}
	return counts
}

// ranWithout reports whether a statement ran on a log that lacked an acknowledged commit, which the
// primary still has.
func (g *service) ranWithout(statement, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	number, p := g.acknowledged[id], g.leader()
	if number == 0 || p == nil || number > len(p.log) || !slices.Contains(p.log[number-1].ids, id) {
		return false
	}
	for i := len(g.runs) - 1; i >= 0; i-- {
		if g.runs[i].id == statement {
			return g.runs[i].position < number
		}
	}
	return false
}
