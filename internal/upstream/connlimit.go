package upstream

import "time"

// growthInterval is the time without a refusal after which the limit grows by one.
const growthInterval = 10 * time.Second

// connLimit is the number of connections that this VM allows itself on one
// upstream: halved when the upstream refuses one (53300), growing by one per
// interval without a refusal, at most the configured ceiling.
type connLimit struct {
	ceiling    int
	current    int
	lastChange time.Duration
}

// allowed returns the present limit, at least 1.
func (a *connLimit) allowed(now time.Duration) int {
	if grown := int((now - a.lastChange) / growthInterval); a.current < a.ceiling && grown > 0 {
		a.current += grown
		a.lastChange += time.Duration(grown) * growthInterval
	}
	a.current = max(1, min(a.current, a.ceiling))
	return a.current
}

// setCeiling changes the ceiling; a limit that was not lowered follows it.
func (a *connLimit) setCeiling(ceiling int) {
	ceiling = max(1, ceiling)
	if a.current >= a.ceiling {
		a.current = ceiling
	}
	a.ceiling = ceiling
}

// recordRefusal halves the limit after a refusal while open connections exist.
func (a *connLimit) recordRefusal(now time.Duration) {
	a.current = max(1, a.allowed(now)/2)
	a.lastChange = now
}
