package upstream

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// start listens and serves; it also restarts a killed member.
func (m *Member) start() error {
	sqlListener, err := m.listen(&m.address)
	if err != nil {
		return err
	}
	agentListener, err := m.listen(&m.agentAddress)
	if err != nil {
		_ = sqlListener.Close()
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive = true
	m.incarnation++
	m.handover = false
	m.asOf, m.horizons = time.Time{}, nil
	m.done = make(chan struct{})
	m.sqlListener = &shapedListener{Listener: sqlListener, member: m, class: Callers}
	m.agentServer = m.serveAgent(&shapedListener{Listener: agentListener, member: m, class: Agents})
	listener, done := m.sqlListener, m.done
	m.running.Go(func() { m.accept(listener) })
	m.running.Go(func() { m.replicate(done) })
	m.notifyLocked()
	return nil
}

// listen opens a listener and keeps its address for restarts.
func (m *Member) listen(address *string) (net.Listener, error) {
	wanted := *address
	if r := m.reserved[wanted]; r != nil {
		delete(m.reserved, wanted)
		return r.listen()
	}
	if wanted == "" {
		wanted = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", wanted)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// A restart binds the same address and must not write it, as others read it.
	if bound := listener.Addr().String(); bound != *address {
		*address = bound
	}
	return listener, nil
}

func (m *Member) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s := m.newSession(conn)
		m.mu.Lock()
		m.sockets[s] = struct{}{}
		alive := m.alive
		m.mu.Unlock()
		if !alive {
			_ = conn.Close()
		}
		m.connections.Add(1)
		m.running.Go(s.serve)
	}
}

// Kill stops the member at once: its connections close, its open transaction is
// rolled back, and its log and database stay for Restart.
func (m *Member) Kill() {
	m.mu.Lock()
	if !m.alive {
		m.mu.Unlock()
		return
	}
	m.alive = false
	close(m.done)
	if m.paused != nil {
		close(m.paused)
		m.paused = nil
	}
	open := m.writing
	m.notifyLocked()
	m.mu.Unlock()
	_ = m.sqlListener.Close()
	_ = m.agentServer.Close()
	m.closeSessions()
	if open != nil {
		open.abandon()
	}
	m.running.Wait()
	m.reserve()
}

// reserve keeps the ports of a killed member for its restart. Without a reservation a
// restart may find its port taken.
func (m *Member) reserve() {
	m.reserved = map[string]*reservedPort{}
	for _, address := range []string{m.address, m.agentAddress} {
		if r, err := reservePort(address); err == nil {
			m.reserved[address] = r
		}
	}
}

// release gives the reserved ports up.
func (m *Member) release() {
	for _, r := range m.reserved {
		r.release()
	}
	m.reserved = nil
}

// Restart starts a killed member with a new incarnation, in the role that it had.
func (m *Member) Restart() error {
	m.mu.Lock()
	alive := m.alive
	m.mu.Unlock()
	if alive {
		return errors.Newf("member %s is running", m.name)
	}
	return m.start()
}

// Pause stops the member from doing anything; its sockets stay open.
func (m *Member) Pause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused == nil && m.alive {
		m.paused = make(chan struct{})
	}
}

// Resume ends a pause.
func (m *Member) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused != nil {
		close(m.paused)
		m.paused = nil
		m.notifyLocked()
	}
}

// SetReplication changes the delays of replication to this member.
func (m *Member) SetReplication(shipDelay, lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shipping, m.lag = shipDelay, lag
	m.notifyLocked()
}

// Counters are totals since the start of the member.
type Counters struct {
	// Statements counts received statements.
	Statements uint64 `json:"statements"`
	// Connections counts accepted connections.
	Connections int64 `json:"connections"`
	// Refused counts connections above the limit.
	Refused uint64 `json:"refused"`
	// Open is the number of connections now.
	Open int `json:"open"`
}

// Counters returns the member's totals.
func (m *Member) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Counters{
		Statements: m.statements.Load(), Connections: m.connections.Load(), Refused: m.refused.Load(), Open: len(m.sessions),
	}
}

// countMarker counts the execution of a statement that has a marker.
func (m *Member) countMarker(st *statement) {
	if st.marker == "" {
		return
	}
	m.group.markersMu.Lock()
	defer m.group.markersMu.Unlock()
	m.group.markers[st.marker]++
}

// MarkerCount counts one request by its marker comment, such as
// /* request:4711 */.
type MarkerCount struct {
	// Executed counts executions on any member, also those rolled back, but not
	// refused statements.
	Executed int `json:"executed"`
	// Committed counts occurrences in the log of the primary of the highest term.
	Committed int `json:"committed"`
}

// Markers returns the counts of all markers since the start.
func (g *Group) Markers() map[string]MarkerCount {
	counts := map[string]MarkerCount{}
	g.markersMu.Lock()
	for marker, n := range g.markers {
		counts[marker] = MarkerCount{Executed: n}
	}
	g.markersMu.Unlock()
	primary := g.Primary()
	if primary == nil {
		return counts
	}
	primary.mu.Lock()
	defer primary.mu.Unlock()
	for _, e := range primary.log.entries {
		for _, statement := range e.statements {
			if statement.marker != "" {
				count := counts[statement.marker]
				count.Committed++
				counts[statement.marker] = count
			}
		}
	}
	return counts
}

// Primary returns the primary of the highest term, or nil.
func (g *Group) Primary() *Member {
	var primary *Member
	var term ident.Term
	for _, m := range g.Members() {
		status := m.Status()
		if status.Role == group.RolePrimary && status.Term > term {
			primary, term = m, status.Term
		}
	}
	return primary
}

// ended returns a channel that is closed when the member is killed.
func (m *Member) ended() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.done
}

// waitContext is the context of waits that only a kill ends.
func (m *Member) waitContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	done := m.ended()
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
