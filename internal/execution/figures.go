package execution

import (
	"math"
	"sync"
	"time"
)

const (
	// loadTime is the time over which the statements in flight and waiting are averaged. It
	// spans several statements, since the numbers of a moment say little of the next one.
	loadTime = 200 * time.Millisecond
	// serviceTime and serviceWeight give the weight of a new service time in the average:
	// that of the time since the last one, but at least serviceWeight.
	serviceTime   = time.Second
	serviceWeight = 1.0 / 8
)

// meter measures the statements that this VM runs on one upstream.
type meter struct {
	now     func() time.Duration
	waiting func() int

	mu             sync.Mutex
	inFlight       int
	load, queued   float64 // averages
	at, answeredAt time.Duration
	service        time.Duration
}

// begin records that a statement is sent and returns the time.
func (m *meter) begin() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.inFlight++
	return m.at
}

// end records the end of a statement that was sent at sentAt. ran is set unless the
// upstream refused to run it.
func (m *meter) end(sentAt time.Duration, ran bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.inFlight--
	if !ran {
		return
	}
	weight := max(serviceWeight, 1-math.Exp(-float64(m.at-m.answeredAt)/float64(serviceTime)))
	if m.service == 0 {
		weight = 1
	}
	m.service += time.Duration(weight * float64(m.at-sentAt-m.service))
	m.answeredAt = m.at
}

// advance updates the averages. m.mu must be held.
func (m *meter) advance() {
	now := m.now()
	weight := 1 - math.Exp(-float64(now-m.at)/float64(loadTime))
	m.load += weight * (float64(m.inFlight) - m.load)
	m.queued += weight * (float64(m.waiting()) - m.queued)
	m.at = now
}

// addTo sets the figures of a result.
func (m *meter) addTo(r *Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	r.InFlight, r.Waiting, r.ServiceTime = int(math.Round(m.load)), int(math.Round(m.queued)), m.service
}
