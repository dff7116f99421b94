package upstream

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Times of replication.
const (
	// heartbeat is the longest time between two contacts with the primary; it bounds
	// the error of lag_ms.
	heartbeat = 10 * time.Millisecond
	// applyBatch bounds the entries that one SQLite transaction applies.
	applyBatch = 256
)

// replicate receives and applies entries until the member is killed.
func (m *Member) replicate(done <-chan struct{}) {
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	for {
		changed := m.changes()
		source := m.source()
		var sourceChanged <-chan struct{}
		if source != nil {
			sourceChanged = source.changes()
		}
		wait := min(heartbeat, m.receive())
		wait = min(wait, m.applyDue())
		timer.Reset(wait)
		select {
		case <-done:
			return
		case <-changed:
		case <-sourceChanged:
		case <-timer.C:
		}
	}
}

// source returns the primary that the member follows, or nil.
func (m *Member) source() *Member {
	m.mu.Lock()
	following, role := m.following, m.role
	m.mu.Unlock()
	if role == group.RolePrimary {
		return nil
	}
	return m.group.members[following]
}

// receive takes the entries that have arrived from the primary and returns the
// time until the next one can arrive.
func (m *Member) receive() time.Duration {
	source := m.source()
	if source == nil || source == m {
		return heartbeat
	}
	from, to := []string{source.Endpoint()}, []string{m.Endpoint()}
	cut, latency, _ := m.group.network.conditions(from, to)
	// Without the way back no acknowledgement arrives, and a stream stalls as well.
	cutBack, _, _ := m.group.network.conditions(to, from)
	if cut || cutBack {
		return heartbeat
	}
	// Members are locked in the order of their names.
	first, second := m, source
	if source.name < m.name {
		first, second = source, m
	}
	first.mu.Lock()
	defer first.mu.Unlock()
	second.mu.Lock()
	defer second.mu.Unlock()
	if !m.accepts(source) {
		return heartbeat
	}
	return m.receiveLocked(source, latency+m.shipping)
}

// accepts reports whether the link from the primary of the member's term works.
func (m *Member) accepts(source *Member) bool {
	running := m.alive && source.alive && m.paused == nil && source.paused == nil
	leads := source.role == group.RolePrimary && !source.fenced && source.term == m.term
	return running && leads && !m.fenced && m.role == group.RoleReplica && m.following == source.name
}

func (m *Member) receiveLocked(source *Member, delay time.Duration) time.Duration {
	now := time.Now()
	common := m.log.divergence(source.log)
	if int(common) < len(m.log.entries) {
		m.truncateLocked(common)
	}
	arrived := source.log.after(common, now.Add(-delay))
	for _, e := range arrived {
		e.received = now
		m.log.append(e)
	}
	m.horizons = append(m.horizons, horizon{now.Add(-delay), m.log.last().Position})
	m.advanceLocked()
	if len(arrived) > 0 {
		m.notifyLocked()
	}
	pending := source.log.entries[len(m.log.entries):]
	if len(pending) == 0 {
		return heartbeat
	}
	return max(0, time.Until(pending[0].committed.Add(delay)))
}

// advanceLocked moves the time of the applied state forward.
func (m *Member) advanceLocked() {
	passed := 0
	for passed < len(m.horizons) && m.horizons[passed].position <= m.applied.Position {
		if m.horizons[passed].time.After(m.asOf) {
			m.asOf = m.horizons[passed].time
		}
		passed++
	}
	m.horizons = append(m.horizons[:0], m.horizons[passed:]...)
}

// truncateLocked drops a diverging tail. Applied entries of the tail are undone
// by building the database again from the log, as after a restore, which ends
// all sessions.
func (m *Member) truncateLocked(position ident.Position) {
	m.log.truncate(position)
	m.horizons = nil
	if m.applied.Position > position {
		m.applied = ident.LogPoint{}
		m.rebuild = true
	}
	m.notifyLocked()
}

// applyDue applies the received entries whose lag has passed and returns the
// time until the next one.
func (m *Member) applyDue() time.Duration {
	m.mu.Lock()
	busy := m.role == group.RolePrimary || m.paused != nil
	pending := len(m.log.entries) - int(m.applied.Position)
	rebuild := m.rebuild
	m.mu.Unlock()
	if busy || (pending == 0 && !rebuild) {
		return heartbeat
	}
	if !m.acquireWriter() {
		return heartbeat
	}
	defer m.writer.Release(1)
	if rebuild {
		m.rebuildStore()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.role == group.RolePrimary || m.paused != nil || !m.alive {
		return heartbeat
	}
	return m.applyDueLocked()
}

// acquireWriter waits for the writer; false means that the member was killed.
func (m *Member) acquireWriter() bool {
	if m.writer.TryAcquire(1) {
		return true
	}
	ctx, cancel := m.waitContext()
	defer cancel()
	return m.writer.Acquire(ctx, 1) == nil
}

func (m *Member) applyDueLocked() time.Duration {
	now := time.Now()
	pending := m.log.entries[m.applied.Position:]
	due := 0
	for due < len(pending) && due < applyBatch && !pending[due].received.Add(m.lag).After(now) {
		due++
	}
	if err := m.applyLocked(pending[:due]); err != nil {
		m.group.log.Error().Err(err).Str("upstream", string(m.name)).Msg("log entries could not be applied")
		return heartbeat
	}
	if due > 0 {
		m.advanceLocked()
		m.notifyLocked()
	}
	if due == len(pending) {
		return heartbeat
	}
	return max(0, time.Until(pending[due].received.Add(m.lag)))
}

func (m *Member) needsRebuild() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rebuild
}

// rebuildStore empties the database; the caller holds the writer.
func (m *Member) rebuildStore() {
	m.closeSessions()
	m.catalog.reset()
	if err := m.store.rebuild(); err != nil {
		m.group.log.Error().Err(err).Str("upstream", string(m.name)).Msg("database could not be rebuilt")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rebuild = false
}
