// Package queue decides which waiting request runs next on one upstream. It is a
// deficit round robin over organisations: in each round an organisation may start
// as many requests as its weight, so a flood of one organisation leaves the
// others their shares.
//
// Invariants: at most the configured number of entries run at once; an entry
// leaves the queue exactly once, by running, expiry or cancellation; an entry
// whose deadline has passed never runs.
package queue
