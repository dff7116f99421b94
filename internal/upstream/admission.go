package upstream

import "time"

// growthInterval is the time without a refusal after which the limit grows by one.
const growthInterval = 10 * time.Second

// admission is the number of connections that this VM allows itself on one
// upstream: halved when the upstream refuses one (53300), growing by one per
// interval without a refusal, at most the configured ceiling.
type admission struct {
	ceiling int
	limit   int
	changed time.Duration
}

// allowed returns the present limit, at least 1.
func (a *admission) allowed(now time.Duration) int {
	if grown := int((now - a.changed) / growthInterval); a.limit < a.ceiling && grown > 0 {
		a.limit += grown
		a.changed += time.Duration(grown) * growthInterval
	}
	a.limit = max(1, min(a.limit, a.ceiling))
	return a.limit
}

// setCeiling changes the ceiling; a limit that was not lowered follows it.
func (a *admission) setCeiling(ceiling int) {
	ceiling = max(1, ceiling)
	if a.limit >= a.ceiling {
		a.limit = ceiling
	}
	a.ceiling = ceiling
}

// refused halves the limit after a refusal while open connections exist.
func (a *admission) refused(now time.Duration) {
	a.limit = max(1, a.allowed(now)/2)
	a.changed = now
}
