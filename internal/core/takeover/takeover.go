// Package takeover decides when the primary of a group must be replaced and which
// replica can replace it without losing an acknowledged commit.
//
// A commit is acknowledged once SyncReplicas replicas have received it. A paused
// replica receives nothing. Suppose that the candidate and the paused replicas are so
// many that at least one of them has received each acknowledged commit. If the
// candidate has received at least as much as each paused replica, it holds every
// commit acknowledged before the pauses. A commit acknowledged later was received by
// one of them too, and of these only the candidate still receives. The proof does not
// require that the old primary has stopped, so it can serve until the promotion.
package takeover

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Report is what is known about a replica during a takeover.
type Report struct {
	Name ident.UpstreamName
	// Reached means that the replica responded; the other fields are valid only then.
	Reached bool
	// Paused means that it receives nothing until it is promoted or resumed.
	Paused   bool
	Received ident.LogPoint
	// Resuming means that a resume command may still be executed, so that a pause of
	// the replica proves nothing.
	Resuming bool
	// Eligible means that it may become the primary.
	Eligible bool `json:"Fit"`
	// SameZone means that it is in the zone of the VM that compiles the report. It is
	// preferred among equally advanced replicas.
	SameZone bool `json:"Near"`
}

// ChooseCandidate returns the replica to promote: the eligible one that has received
// most. Ties go to a replica in the same zone, then to the first one in the list. A
// replica that may resume takes precedence, because only the candidate need not be
// paused.
func ChooseCandidate(reports []Report) (ident.UpstreamName, bool) {
	best := -1
	for i, r := range reports {
		if !r.Reached || !r.Eligible {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		if preferred(r, reports[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return reports[best].Name, true
}

// ChooseSuccessor returns the candidate to promote after the primary was demoted: the best
// one that has received its log up to end. The verdict is Behind if there is none.
func ChooseSuccessor(reports []Report, end ident.LogPoint) (ident.UpstreamName, Verdict) {
	var caughtUp []Report
	for _, r := range reports {
		if r.Received.AtLeast(end) {
			r.Resuming = false // a demoted primary needs no paused replicas
			caughtUp = append(caughtUp, r)
		}
	}
	candidate, ok := ChooseCandidate(caughtUp)
	if !ok {
		return "", Behind
	}
	return candidate, Safe
}

func preferred(a, b Report) bool {
	if a.Resuming != b.Resuming {
		return a.Resuming
	}
	c := a.Received.Compare(b.Received)
	return c > 0 || c == 0 && a.SameZone && !b.SameZone
}

// Verdict is the result of CheckPromotion. Its number is written to the log.
type Verdict uint8

const (
	// Safe means that the candidate holds every acknowledged commit, now and later.
	Safe Verdict = iota + 1
	// Behind means that a paused replica holds more than the candidate.
	Behind
	// NoQuorum means that the candidate did not respond, or too few of the other
	// replicas are paused.
	NoQuorum
)

// CheckPromotion determines whether the promotion of a candidate is safe. replicas is
// the number of replicas of the group, including those that do not respond;
// syncReplicas of them receive a commit before it is acknowledged.
func CheckPromotion(reports []Report, candidate ident.UpstreamName, replicas, syncReplicas int) Verdict {
	var received ident.LogPoint
	covered := 0
	for _, r := range reports {
		if r.Name == candidate && r.Reached {
			received = r.Received
			covered++
		}
	}
	if covered == 0 {
		return NoQuorum
	}
	if syncReplicas <= 0 {
		return Safe
	}
	for _, r := range reports {
		if r.Name == candidate || !r.Reached || !r.Paused {
			continue
		}
		covered++
		if r.Received.Compare(received) > 0 {
			return Behind
		}
	}
	// Fewer than syncReplicas others may be missing, or a commit could have been
	// acknowledged by the missing ones alone.
	if covered < replicas-syncReplicas+1 {
		return NoQuorum
	}
	return Safe
}

// Thresholds of the failure detector.
const (
	// UnresponsiveTimeout is the time without a response after which a primary is
	// suspected. A false suspicion costs one request to the primary, a late one
	// prolongs the outage.
	UnresponsiveTimeout = 250 * time.Millisecond
	// WriteStallTimeout is the time without a successful write, while writes are tried,
	// after which a primary that responds to reads is suspected to be cut off from its
	// replicas.
	WriteStallTimeout = 1200 * time.Millisecond
	// minFailures is the least number of failures for a suspicion.
	minFailures = 2
)

// FailureDetector derives a suspicion from the results of statements on one primary.
type FailureDetector struct {
	failures, writeFailures         int
	firstFailure, firstWriteFailure time.Duration
}

// Success records a response; write means that a write or commit succeeded.
func (d *FailureDetector) Success(write bool) {
	d.failures = 0
	if write {
		d.writeFailures = 0
	}
}

// Failure records a statement without a response, or a connection that could not be
// opened.
func (d *FailureDetector) Failure(now time.Duration, write bool) {
	if d.failures++; d.failures == 1 {
		d.firstFailure = now
	}
	if write {
		if d.writeFailures++; d.writeFailures == 1 {
			d.firstWriteFailure = now
		}
	}
}

// PeerSuspicion records another VM's suspicion that the primary does not respond.
func (d *FailureDetector) PeerSuspicion(now time.Duration) {
	d.failures = max(d.failures, minFailures)
	d.firstFailure = min(d.firstFailure, now-UnresponsiveTimeout)
}

// Suspicion is the kind of failure that a primary is suspected of.
type Suspicion uint8

const (
	None Suspicion = iota
	// Unresponsive means that the primary does not respond.
	Unresponsive
	// WriteStalled means that it responds, but no write succeeds.
	WriteStalled
)

// Suspected returns the suspicion at now.
func (d *FailureDetector) Suspected(now time.Duration) Suspicion {
	switch {
	case d.failures >= minFailures && now-d.firstFailure >= UnresponsiveTimeout:
		return Unresponsive
	case d.writeFailures >= minFailures+1 && now-d.firstWriteFailure >= WriteStallTimeout:
		return WriteStalled
	}
	return None
}
