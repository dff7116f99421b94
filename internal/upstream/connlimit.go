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
func (a *connLimit) allowed(now time.Duration) int {
	if grown := int((now - a.lastChange) / growthInterval); a.current < a.ceiling && grown > 0 {
		a.current += grown
		a.lastChange += time.Duration(grown) * growthInterval
	}
	a.current = max(1, min(a.current, a.ceiling))
	return a.current
}

// setCeiling changes the ceiling. A limit at the old ceiling moves to the new one.
func (a *connLimit) setCeiling(ceiling int) {
	ceiling = max(1, ceiling)
	if a.current >= a.ceiling {
		a.current = ceiling
	}
	a.ceiling = ceiling
}

// recordRefusal halves the limit after the upstream rejected a connection.
func (a *connLimit) recordRefusal(now time.Duration) {
	a.current = max(1, a.allowed(now)/2)
	a.lastChange = now
}
