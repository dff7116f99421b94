// Package queue decides which waiting request runs next on one upstream. It schedules
// organisations by deficit round robin: in each round an organisation may start as
// many requests as its weight, so that one organisation that floods the queue cannot
// take the share of the others.
//
// Invariants: at most the configured number of entries run at once; an entry leaves
// the queue exactly once, by running, expiry or cancellation; an entry whose deadline
// has passed never runs.
package queue
