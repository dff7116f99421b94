// Package groupcontroller follows the database groups of the configuration: it
// reads the status streams of the member agents, chooses upstreams for requests,
// confirms writes and replaces failed primaries. The decisions are those of the
// packages internal/core/routing and internal/core/promotion.
//
// Invariants: readers of a view take no lock; a view is never changed after it
// was published; waiting requests are woken by the view that satisfies them; the
// lock of a promoter is taken before that of its group.
//
// # Messages
//
// Three kinds go between VMs: group-question and group-answer (has this VM, too,
// lost the primary) and group-record (the object of a group, from a proposer or a
// watcher). Each may be lost: questions are repeated, and a VM without the record
// learns it when its own update conflicts.
//
// # Counters
//
// Vars returns: read_index_rounds (questions asked), reads_replica (served without
// waiting), reads_replica_wait (after waiting for a position), reads_replica_age
// (within the accepted age), reads_primary, confirms_waited, primary_waits,
// failures_reported, promotions (unplanned changes that this VM carried out),
// planned_moves, detection_ms_total and gap_ms_total (sums over promotions),
// detection_ms_last and gap_ms_last (milliseconds; the gap contains the detection).
//
// # Size
//
// Up to DefaultFollowAll groups every VM follows every group, one stream per member.
// Above, a VM follows a group from its first request until it has had none for a
// minute, and three VMs in different zones, by rendezvous hash, follow it always, so
// that each failure has proposers and witnesses. Only these three confirm a failure
// and are ranked as proposers; a VM that follows the group for its requests proposes
// after them. Records of changes go to the VMs of the proposer's zone and to the
// watchers of the other zones, which pass them on. docs/CAPACITY.md has the figures.
package groupcontroller
