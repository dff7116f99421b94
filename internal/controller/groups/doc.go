// Package groupcontroller follows the database groups of the configuration: it
// reads the status streams of the member agents, selects upstreams for requests,
// confirms writes and replaces failed primaries. The packages internal/core/routing
// and internal/core/promotion make the decisions.
//
// Invariants: readers of a view take no lock; a view is never modified after it is
// published; waiting requests are resumed by the view that satisfies them; the lock
// of a promoter is acquired before that of its group.
//
// # Messages
//
// VMs exchange three kinds of messages: group-question and group-answer (the request
// to confirm that the receiver cannot reach the primary either, and its response) and
// group-record (the object of a group, from a proposer or a watcher). Any message may
// be lost: requests are repeated, and a VM that missed a record learns it when its own
// update conflicts.
//
// # Counters
//
// Vars returns: read_index_rounds (read-index rounds started), reads_replica (served
// without waiting), reads_replica_wait (after waiting for a position),
// reads_replica_age (within the accepted age), reads_primary, confirms_waited,
// primary_waits, failures_reported, promotions (unplanned changes that this VM carried
// out), planned_moves, detection_ms_total and gap_ms_total (sums over promotions),
// detection_ms_last and gap_ms_last (milliseconds; the gap includes the detection).
//
// # Scaling
//
// With up to DefaultFollowAllLimit groups every VM follows every group, with one stream
// per member. With more groups, a VM follows a group from its first request until it
// has had none for a minute. In addition, three VMs in different zones, selected by
// rendezvous hashing, follow each group permanently, so that each failure has proposers
// and witnesses. Only these three confirm a failure and are ranked as proposers; a VM
// that follows the group for its requests proposes after them. Records of changes go to
// the VMs in the proposer's zone and to the watchers in the other zones, which relay
// them. docs/CAPACITY.md has measurements.
package groupcontroller
