package shares

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// entitlements computes the zone's share of every rate. A higher share applies only
// after every VM has stopped using the older configuration, so older configurations
// are kept for a time and the lowest share applies.
type entitlements struct {
	zone     ident.AvailabilityZone
	current  *configuration.Configuration
	previous []superseded
	// blockedUntil is the end of the time for which a VM that has started has no
	// entitlement, because other VMs may use an older configuration unknown to it.
	blockedUntil time.Duration
}

// superseded is an older configuration that other VMs may still use.
type superseded struct {
	configuration *configuration.Configuration
	inUseUntil    time.Duration
}

// setConfiguration sets the configuration in force.
func (e *entitlements) setConfiguration(now time.Duration, c *configuration.Configuration) {
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

// expire drops configurations that no VM uses any more and reports whether a share
// may have increased.
func (e *entitlements) expire(now time.Duration) bool {
	kept := e.previous[:0]
	for _, p := range e.previous {
		if p.inUseUntil > now {
			kept = append(kept, p)
		}
	}
	increased := len(kept) < len(e.previous)
	e.previous = kept
	if e.blockedUntil > 0 && e.blockedUntil <= now {
		e.blockedUntil = 0
		increased = true
	}
	return increased
}

// zoneShare returns the zone's share of the rate and burst of an organisation.
func (e *entitlements) zoneShare(organisation ident.OrganisationName) (rate, burst float64) {
	if e.current == nil || e.blockedUntil > 0 {
		return 0, 0
	}
	rate, burst, ok := zoneShareIn(e.current, e.zone, organisation)
	if !ok {
		return 0, 0
	}
	for _, p := range e.previous {
		// In a configuration without the organisation no VM admits anything for it.
		if r, b, ok := zoneShareIn(p.configuration, e.zone, organisation); ok {
			rate, burst = min(rate, r), min(burst, b)
		}
	}
	return rate, burst
}

// zoneShareIn returns the zone's share in one configuration; false when it does not
// contain the organisation.
func zoneShareIn(c *configuration.Configuration, zone ident.AvailabilityZone, name ident.OrganisationName) (rate, burst float64, ok bool) {
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
	fraction := float64(max(0, c.Zones[zone].Weight)) / float64(total)
	return organisation.Rate * fraction, organisation.Burst * fraction, true
}

// demandHorizon returns the demand horizon of an organisation.
func (e *entitlements) demandHorizon(name ident.OrganisationName) time.Duration {
	o := e.current.Organisations[name]
	return DemandHorizon(o.Rate, o.Burst)
}

// DemandHorizon returns the time for whose demand the buckets of an organisation try
// to hold tokens. It is shorter for a small burst, because loans lower the capacity
// that the burst allows.
func DemandHorizon(rate, burst float64) time.Duration {
	if rate <= 0 {
		return maxDemandHorizon
	}
	horizon := time.Duration(burst / rate / 2 * float64(time.Second))
	return min(maxDemandHorizon, max(minDemandHorizon, horizon))
}

// zoneOut reports whether the zone is out of service.
func (e *entitlements) zoneOut() bool {
	return e.current != nil && e.current.Zones[e.zone].State == configuration.ZoneOutOfService
}
