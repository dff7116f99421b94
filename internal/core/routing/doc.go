// Package routing decides where a request of a database group goes and when a
// write may be acknowledged. It is deterministic: callers pass in the time.
//
// # State
//
// A View is an immutable picture of one group: its configured members, the last
// status of each with the time of its receipt, and the group's record from the
// platform. Each event yields a new View, so readers need no lock.
//
// # Confirmation
//
// A write at point p in term T is confirmed when enough replicas to form a
// majority together with the primary have reported term T and a received point of
// term T at or past p. A status of another term never confirms: a member of a
// higher term may have been fenced before the entry arrived, and an entry of a
// lower term can still be replaced, even if a majority holds it, until an entry
// of the current term follows it.
//
// # Read index
//
// The read index is the highest received point of a majority of the configured
// members, from answers to questions asked after the read arrived. Every
// acknowledged write is on a majority, and two majorities share a member, so the
// index is at or past every write acknowledged before the read arrived.
//
// A member of an old term may hold an unacknowledged tail that is dropped later,
// and the index may then name an entry that no longer exists.
//   - This blocks no read for ever. A tail of term t is dropped only when the
//     member follows a primary of a term above t. That primary began its term
//     with an entry, and every point of its term is past every point of term t.
//     The read is satisfied by any member that has applied that entry, and by the
//     primary itself at once. Until then the member that wrote the tail is the
//     primary and satisfies the index itself.
//   - It never breaks read-your-writes. A member whose applied point is at or past
//     the index either has a last entry of the same term, so that its log contains
//     the entries of that term up to the index, or of a higher term, whose log
//     begins with every acknowledged entry of the lower terms.
//
// A session token is not authenticated. A token whose term is above the index is
// forged or belongs to a write that was never acknowledged, because an
// acknowledged write shows in every index; the index then replaces it. A forged
// token therefore changes only how fresh the caller's own reads are.
//
// Invariants: a leaving upstream and an upstream of a zone out of service are
// never chosen as a replica; a read is never sent to a primary whose term is
// below the point it needs.
package routing
