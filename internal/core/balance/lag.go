package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

const (
	// historyInterval is the minimum interval between recorded positions of a primary. It
	// is the error of an estimated lag.
	historyInterval = 10 * time.Millisecond
	// maxHistory limits the memory per group. At historyInterval it covers 5 s, more than
	// the maximum staleness of a route that is useful on a replica.
	maxHistory = 512
	// lagTrialProbability is the probability with which a read goes to a replica that is
	// expected to lack its position, if the estimate is old and the replica may have
	// caught up. A refused read costs a round trip to the replica.
	lagTrialProbability = 1.0 / 8
)

// reached is the time by which a primary had reached a position.
type reached struct {
	at    time.Duration
	point ident.LogPoint
}

// History holds the positions of a group's primary by time, both ascending.
type History struct{ list []reached }

// Add records that the primary had reached a position at the given time.
func (h *History) Add(at time.Duration, point ident.LogPoint) {
	n := len(h.list)
	if point.IsZero() || n > 0 && point.Compare(h.list[n-1].point) <= 0 {
		return
	}
	// Lower positions that were learned later had been reached by then as well.
	for n > 0 && h.list[n-1].at > at {
		n--
	}
	h.list = h.list[:n]
	if n > 1 && at < h.list[n-2].at+historyInterval {
		h.list[n-1] = reached{at, point}
		return
	}
	if n == maxHistory {
		h.list = append(h.list[:0], h.list[1:]...)
	}
	h.list = append(h.list, reached{at, point})
}

// ReachedAt returns the time by which the primary had reached a position. The result is
// false if that is not known.
func (h *History) ReachedAt(point ident.LogPoint) (time.Duration, bool) {
	i, _ := slices.BinarySearchFunc(h.list, point, func(r reached, p ident.LogPoint) int { return r.point.Compare(p) })
	if i == len(h.list) {
		return 0, false
	}
	return h.list[i].at, true
}

// earliest returns the time before which the primary had not reached a position, as far as
// is known. A refused read costs a round trip to the nearest replica, and one that avoids
// it needlessly the way to another region, so that doubts are in favour of the replica.
func (h *History) earliest(point ident.LogPoint) (time.Duration, bool) {
	i, exact := slices.BinarySearchFunc(h.list, point, func(r reached, p ident.LogPoint) int { return r.point.Compare(p) })
	if !exact {
		i = max(0, i-1)
	}
	if i >= len(h.list) {
		return 0, false
	}
	return h.list[i].at, true
}

// bounds returns the least and the greatest replication lag of a replica that had applied
// a position at the given time.
func (h *History) bounds(now time.Duration, applied ident.LogPoint) (least, greatest time.Duration) {
	i, exact := slices.BinarySearchFunc(h.list, applied, func(r reached, p ident.LogPoint) int { return r.point.Compare(p) })
	if exact {
		i++
	}
	if i < len(h.list) {
		least = now - h.list[i].at
	}
	greatest = now
	if i > 0 {
		greatest = now - h.list[i-1].at
	}
	return max(0, least), max(0, least, greatest)
}

// Lag estimates the replication lag of a replica.
type Lag struct {
	value, at time.Duration
	known     bool
}

// ObserveApplied records that the replica reported a position at the given time.
func (l *Lag) ObserveApplied(now time.Duration, h *History, applied ident.LogPoint) {
	least, greatest := h.bounds(now, applied)
	if !l.fresh(now) {
		l.value = 0
	}
	l.set(now, min(max(l.value, least), greatest))
}

// ObserveRefused records that the replica refused a read because it lacked a position.
func (l *Lag) ObserveRefused(now time.Duration, h *History, required ident.LogPoint) {
	if at, ok := h.ReachedAt(required); ok && !required.IsZero() {
		l.set(now, max(l.value, now-at))
	}
}

func (l *Lag) set(now, value time.Duration) { l.value, l.at, l.known = value, now, true }

// Set replaces the estimate by a newer one of another VM.
func (l *Lag) Set(at, value time.Duration) {
	if !l.known || at > l.at {
		l.set(at, value)
	}
}

// Latest returns the estimate and its time. The result is false if it is not fresh.
func (l *Lag) Latest(now time.Duration) (value, at time.Duration, ok bool) {
	return l.value, l.at, l.fresh(now)
}

func (l *Lag) fresh(now time.Duration) bool { return l.known && now-l.at < FigureValidity }

// Lacks reports whether the replica probably lacks a position of its primary and would
// refuse a read that requires it. It draws from random whether an old estimate is tried.
func (l *Lag) Lacks(now time.Duration, h *History, required ident.LogPoint, random *rand.Rand) bool {
	at, ok := h.earliest(required)
	if !ok || !l.fresh(now) || l.value == 0 || now-at > l.value {
		return false
	}
	tryAgain := now-l.at > FigureValidity/2 && now-at > l.value/2
	return !tryAgain || random.Float64() >= lagTrialProbability
}
