// Package takeover decides when the primary of a group is to be replaced and which
// replica may follow it without losing an acknowledged commit.
//
// A commit is acknowledged once SyncReplicas replicas have received it. A replica
// that is paused receives nothing. Let a candidate and the paused replicas together
// be so many that every acknowledged commit was received by one of them. If the
// candidate holds at least what each paused replica holds, it holds every commit
// acknowledged before the pauses; commits acknowledged later were received by it,
// because no other replica receives. This needs no certainty that the old primary
// has stopped, and the old primary can go on serving until the promotion.
package takeover

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Report is what is known about a replica during a takeover.
type Report struct {
	Name ident.UpstreamName
	// Reached says that the replica has answered; the other fields are valid only then.
	Reached bool
	// Paused says that it receives nothing until it is promoted or resumed.
	Paused   bool
	Received ident.LogPoint
	// Resuming says that an order to resume may still be carried out, so that a pause of
	// the replica proves nothing.
	Resuming bool
	// Eligible says that it may become the primary.
	Eligible bool `json:"Fit"`
	// SameZone prefers a replica among equals.
	SameZone bool `json:"Near"`
}

// ChooseCandidate returns the replica to promote: the fit one that has received most.
// Among equals a near one is preferred, then the order of the list counts. One that
// may resume goes first, because the candidate alone need not be paused.
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
		if better(r, reports[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return reports[best].Name, true
}

func better(a, b Report) bool {
	if a.Resuming != b.Resuming {
		return a.Resuming
	}
	c := a.Received.Compare(b.Received)
	return c > 0 || c == 0 && a.SameZone && !b.SameZone
}

// Verdict says whether a promotion is safe.
type Verdict uint8

// Verdicts.
const (
	// Safe means that the candidate holds every acknowledged commit, now and later.
	Safe Verdict = iota + 1
	// Behind means that a paused replica holds more than the candidate.
	Behind
	// NoQuorum means that too few replicas have answered.
	NoQuorum
)

// CheckPromotion judges the promotion of a candidate. replicas is the number of replicas that
// the group has, those included that do not answer; syncReplicas of them receive a
// commit before it is acknowledged.
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
	// Fewer than syncReplicas others may be missing, else they alone could have
	// received a commit.
	if covered < replicas-syncReplicas+1 {
		return NoQuorum
	}
	return Safe
}

// Times of suspicion.
const (
	// UnresponsiveTimeout is the time without an answer after which a primary is suspected. A
	// false suspicion costs one question to the primary, a late one lasts until the
	// change.
	UnresponsiveTimeout = 250 * time.Millisecond
	// WriteStallTimeout is the time without a successful write, while writes are tried, after
	// which a primary that answers reads is suspected to be cut off from its replicas.
	WriteStallTimeout = 1200 * time.Millisecond
	// minFailures is the number of failures that a suspicion needs.
	minFailures = 2
)

// FailureDetector collects the results of statements at one primary.
type FailureDetector struct {
	failures, writeFailures        int
	firstFailure, firstWriteFailed time.Duration
}

// Success records an answer; write says that a write or commit succeeded.
func (e *FailureDetector) Success(write bool) {
	e.failures = 0
	if write {
		e.writeFailures = 0
	}
}

// Failure records a statement that was not answered, or a connection that could not
// be opened.
func (e *FailureDetector) Failure(now time.Duration, write bool) {
	if e.failures++; e.failures == 1 {
		e.firstFailure = now
	}
	if write {
		if e.writeFailures++; e.writeFailures == 1 {
			e.firstWriteFailed = now
		}
	}
}

// PeerSuspicion takes another VM's suspicion that the primary does not answer.
func (e *FailureDetector) PeerSuspicion(now time.Duration) {
	e.failures = max(e.failures, minFailures)
	e.firstFailure = min(e.firstFailure, now-UnresponsiveTimeout)
}

// Suspicion is a reason to look at a primary.
type Suspicion uint8

// Suspicions.
const (
	None Suspicion = iota
	// Unresponsive means that the primary does not answer.
	Unresponsive
	// WriteStalled means that it answers, but no write succeeds.
	WriteStalled
)

// Suspected returns the suspicion at now.
func (e *FailureDetector) Suspected(now time.Duration) Suspicion {
	switch {
	case e.failures >= minFailures && now-e.firstFailure >= UnresponsiveTimeout:
		return Unresponsive
	case e.writeFailures >= minFailures+1 && now-e.firstWriteFailed >= WriteStallTimeout:
		return WriteStalled
	}
	return None
}
