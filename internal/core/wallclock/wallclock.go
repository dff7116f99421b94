// Package wallclock estimates the wall-clock time of the fleet. The wall clock of a VM may
// be off by seconds or be set, but most clocks are near true time. The estimate is the
// median of what the VMs report, relative to the monotonic clock, so that it follows neither
// a step of this VM's clock nor a few clocks that are wrong.
package wallclock

import (
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// maxSampleAge is the age above which a sample is not used.
	maxSampleAge = 30 * time.Second
	// maxSampleError is the error above which a sample is not used. Half of a round trip
	// between regions is far below it; a sample above it comes from an overloaded VM.
	maxSampleError = 200 * time.Millisecond
)

// Sample is a wall-clock time that a peer has reported.
type Sample struct {
	Peer ident.VMName
	// SentAt and ReceivedAt are the times of the request and of the response on the
	// monotonic clock of this VM.
	SentAt, ReceivedAt time.Duration
	// WallClock is the peer's wall-clock time since the start of 1970.
	WallClock time.Duration
}

// reading is the offset of one VM's wall clock from the monotonic clock of this VM.
type reading struct {
	at, offset, maxError time.Duration
}

// Estimator estimates the offset of the fleet's wall-clock time from the monotonic clock of
// this VM. The zero value has no sample.
type Estimator struct {
	own   reading
	known bool // own is set
	peers map[ident.VMName]reading
}

// ObserveOwn records this VM's own wall clock.
func (e *Estimator) ObserveOwn(now, wallClock time.Duration) {
	e.own, e.known = reading{at: now, offset: wallClock - now}, true
}

// Observe records a sample, which replaces an older one of the same peer. The peer's clock
// is assumed to have been read halfway through the round trip.
func (e *Estimator) Observe(s Sample) {
	half := (s.ReceivedAt - s.SentAt) / 2
	if half < 0 || half > maxSampleError {
		return
	}
	if known, ok := e.peers[s.Peer]; ok && known.at > s.SentAt+half {
		return // responses may arrive out of order
	}
	if e.peers == nil {
		e.peers = map[ident.VMName]reading{}
	}
	e.peers[s.Peer] = reading{at: s.SentAt + half, offset: s.WallClock - s.SentAt - half, maxError: half}
}

// Estimate is the estimated offset of the wall-clock time from the monotonic clock.
type Estimate struct {
	Offset time.Duration
	// Error bounds the error that the round trips of half of the samples cause.
	Error time.Duration
	// Samples is the number of samples.
	Samples int
}

// Estimate returns the median over the own clock and the newest samples of the peers. It is
// false before the first sample. Old samples are removed.
func (e *Estimator) Estimate(now time.Duration) (Estimate, bool) {
	offsets, errors := make([]time.Duration, 0, len(e.peers)+1), make([]time.Duration, 0, len(e.peers)+1)
	add := func(r reading) { offsets, errors = append(offsets, r.offset), append(errors, r.maxError) }
	if e.known {
		add(e.own)
	}
	for name, r := range e.peers {
		if now > r.at+maxSampleAge {
			delete(e.peers, name)
			continue
		}
		add(r)
	}
	if len(offsets) == 0 {
		return Estimate{}, false
	}
	return Estimate{Offset: median(offsets), Error: median(errors), Samples: len(offsets)}, true
}

// median returns the middle value, or the mean of the two in the middle, which VMs that know
// the same clocks agree on.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	n := len(values)
	low, high := values[(n-1)/2], values[n/2]
	return low + (high-low)/2
}
