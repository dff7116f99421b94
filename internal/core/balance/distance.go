package balance

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Distance returns the distance of a zone: 0 for the own zone, 1 for another one of the own
// region, and 2 for one of another region.
func Distance(zone ident.AvailabilityZone, region ident.Region, ownZone ident.AvailabilityZone, ownRegion ident.Region) int {
	switch {
	case zone == ownZone:
		return 0
	case region == ownRegion:
		return 1
	}
	return 2
}

// Order returns a hash that orders upstreams for a key. The order of two upstreams does not
// depend on the others.
func Order(key, upstream string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211 // of FNV-1a
	h := uint64(offset)
	for _, text := range [...]string{key, "\x00", upstream} {
		for i := range len(text) {
			h = (h ^ uint64(text[i])) * prime
		}
	}
	// FNV-1a spreads a difference in the last byte poorly to the high bits.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

// tripWindow is the length of the windows over which the shortest round trip is taken. VMs
// probe the hubs of each zone at least once a second.
const tripWindow = 2 * time.Second

// Trips holds the shortest recent round trip to each zone. Longer ones include the delays
// of a busy VM.
type Trips struct {
	zones map[ident.AvailabilityZone]*trip
}

type trip struct {
	current, previous time.Duration // shortest of the window and of the one before, or zero
	window            time.Duration // start of the window
}

// Observe records a round trip to a VM of a zone.
func (t *Trips) Observe(zone ident.AvailabilityZone, now, roundTrip time.Duration) {
	if t.zones == nil {
		t.zones = map[ident.AvailabilityZone]*trip{}
	}
	z := t.zones[zone]
	if z == nil {
		z = &trip{window: now}
		t.zones[zone] = z
	}
	z.advance(now)
	if z.current == 0 || roundTrip < z.current {
		z.current = max(1, roundTrip)
	}
}

// advance begins a new window if the present one has ended.
func (z *trip) advance(now time.Duration) {
	switch {
	case now >= z.window+2*tripWindow:
		z.previous, z.current, z.window = 0, 0, now
	case now >= z.window+tripWindow:
		z.previous, z.current, z.window = z.current, 0, now
	}
}

// Latest returns the round trip to a zone, or false if none was observed recently.
func (t *Trips) Latest(zone ident.AvailabilityZone, now time.Duration) (time.Duration, bool) {
	z := t.zones[zone]
	if z == nil {
		return 0, false
	}
	z.advance(now)
	switch {
	case z.current == 0:
		return z.previous, z.previous > 0
	case z.previous == 0:
		return z.current, true
	}
	return min(z.current, z.previous), true
}
