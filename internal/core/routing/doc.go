// Package routing decides where a request of a database group goes and when a
// write may be acknowledged. It is deterministic: callers pass in the time.
//
// # State
//
// A View is an immutable snapshot of one group: its configured members, the last
// status of each with the time of its receipt, and the group's record from the
// platform. Each event yields a new View, so readers need no lock.
//
// # Confirmation
//
// A write at point p in term T is confirmed when enough replicas to form a
// majority together with the primary have reported term T and a received point of
// term T at or past p. A status with another term never confirms a write: a member
// in a higher term may have been fenced before the entry arrived, and an entry of a
// lower term can still be replaced, even if a majority has it, until an entry of
// the current term follows it.
//
// # Read index
//
// The read index is the highest received point among the responses of a majority of
// the configured members to requests sent after the read arrived. Every acknowledged
// write is on a majority, and two majorities share a member, so the index is at or
// past every write acknowledged before the read arrived.
//
// A member in an old term may have an unacknowledged log tail that is truncated
// later, and the index may then refer to an entry that no longer exists.
//   - No read blocks forever. A tail of term t is truncated only when the member
//     follows a primary of a term above t. That primary began its term with an
//     entry, and every point of its term is past every point of term t. Any member
//     that has applied that entry can serve the read, and the primary can at once.
//     Until then the member that wrote the tail is the primary and can serve the
//     read itself.
//   - Read-your-writes always holds. A member whose applied point is at or past the
//     index either has a last entry of the same term, so that its log contains the
//     entries of that term up to the index, or of a higher term, whose log begins
//     with every acknowledged entry of the lower terms.
//
// # Session tokens
//
// A session token is not authenticated. A token whose term is above the index's is
// forged or belongs to a write that was never acknowledged, because every index is at
// or past all acknowledged writes; the index then replaces it. A forged token
// therefore affects only the freshness of its own client's reads.
//
// # Invariants
//
// A leaving upstream and an upstream in a zone out of service are never selected as a
// replica. A read is never sent to a primary whose term is below the point that the
// read requires.
package routing
