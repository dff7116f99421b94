package upstream

import "time"

// growthInterval is the time without a rejected connection after which the limit
// increases by one.
const growthInterval = 10 * time.Second

// connLimit limits the connections of this VM to one upstream. The limit is halved
// when the upstream rejects a connection with SQLSTATE 53300, and increases by one
// per growthInterval without a rejection, up to the configured ceiling.
type connLimit struct {
	ceiling    int
	current    int
	lastChange time.Duration
}

// allowed returns the current limit, at least 1.
func (l *connLimit) allowed(now time.Duration) int {
	if grown := int((now - l.lastChange) / growthInterval); l.current < l.ceiling && grown > 0 {
		l.current += grown
		l.lastChange += time.Duration(grown) * growthInterval
	}
	l.current = max(1, min(l.current, l.ceiling))
	return l.current
}

// setCeiling changes the ceiling. A limit at the old ceiling moves to the new one.
func (l *connLimit) setCeiling(ceiling int) {
	ceiling = max(1, ceiling)
	if l.current >= l.ceiling {
		l.current = ceiling
	}
	l.ceiling = ceiling
}

// recordRefusal halves the limit after the upstream rejected a connection.
func (l *connLimit) recordRefusal(now time.Duration) {
	l.current = max(1, l.allowed(now)/2)
	l.lastChange = now
}
