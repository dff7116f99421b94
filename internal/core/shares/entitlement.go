package shares

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// entitlements gives the zone's part of every rate. A higher part counts only
// after every VM has stopped to use the older configuration, so the older ones are
// kept for a time and the lowest part counts.
type entitlements struct {
	zone     ident.AvailabilityZone
	current  *configuration.Configuration
	previous []superseded
	// blockedUntil is the time before which a VM that started with an unknown older
	// configuration in use elsewhere has no entitlement.
	blockedUntil time.Duration
}

type superseded struct {
	configuration *configuration.Configuration
	until         time.Duration
}

// set takes the configuration in force.
func (e *entitlements) set(now time.Duration, c *configuration.Configuration) {
	if c == nil || e.current != nil && c.Version <= e.current.Version {
		return
	}
	known := e.current != nil && e.current.Version > 0
	switch {
	case known:
		e.previous = append(e.previous, superseded{e.current, now + MaxStaleness + GuardInterval})
	case c.Version > 1:
		e.blockedUntil = now + MaxStaleness + GuardInterval
	}
	e.current = c
}

// expire drops configurations that no VM uses any more and reports whether a part
// may have risen.
func (e *entitlements) expire(now time.Duration) bool {
	kept := e.previous[:0]
	for _, p := range e.previous {
		if p.until > now {
			kept = append(kept, p)
		}
	}
	rose := len(kept) < len(e.previous)
	e.previous = kept
	if e.blockedUntil > 0 && e.blockedUntil <= now {
		e.blockedUntil = 0
		rose = true
	}
	return rose
}

// zoneShare returns the rate and burst of the zone for an organisation.
func (e *entitlements) zoneShare(organisation ident.OrganisationName) (rate, burst float64) {
	if e.current == nil || e.blockedUntil > 0 {
		return 0, 0
	}
	rate, burst, ok := shareIn(e.current, e.zone, organisation)
	if !ok {
		return 0, 0
	}
	for _, p := range e.previous {
		// In a configuration without the organisation no VM admits anything for it.
		if r, b, ok := shareIn(p.configuration, e.zone, organisation); ok {
			rate, burst = min(rate, r), min(burst, b)
		}
	}
	return rate, burst
}

func shareIn(c *configuration.Configuration, zone ident.AvailabilityZone, name ident.OrganisationName) (rate, burst float64, ok bool) {
	organisation, ok := c.Organisations[name]
	if !ok {
		return 0, 0, false
	}
	total := 0
	for _, z := range c.Zones {
		total += max(0, z.Weight)
	}
	if total == 0 {
		return 0, 0, true
	}
	part := float64(max(0, c.Zones[zone].Weight)) / float64(total)
	return organisation.Rate * part, organisation.Burst * part, true
}

// horizon returns the horizon of an organisation.
func (e *entitlements) horizon(name ident.OrganisationName) time.Duration {
	o := e.current.Organisations[name]
	return DemandHorizon(o.Rate, o.Burst)
}

// DemandHorizon returns the time of demand that buckets of an organisation try to hold.
// It is shorter for a small burst, because loans count against it.
func DemandHorizon(rate, burst float64) time.Duration {
	if rate <= 0 {
		return longHorizon
	}
	half := time.Duration(burst / rate / 2 * float64(time.Second))
	return min(longHorizon, max(shortHorizon, half))
}

// out reports whether the zone is out of service.
func (e *entitlements) out() bool {
	return e.current != nil && e.current.Zones[e.zone].State == configuration.ZoneOutOfService
}
