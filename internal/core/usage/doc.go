// Package usage decides how the requests of each organisation are counted and reported in
// windows of true time. It holds no goroutine, clock, socket or random source.
//
// Each VM that executes statements has a Counter. An Outbox sends its totals to the VM that
// reports, whose Collector merges them: totals of one source by their maximum, so that
// messages may be repeated, reordered and late, and those of different sources by addition.
// The Reporter decides when a window is closed, and records its counts in the store before
// it sends them, so that a successor sends exactly the same counts again.
package usage
