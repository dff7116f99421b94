// Package freshness decides whether a VM can prove that its configuration is
// current. A VM accepts keys and serves requests in its zone only until the deadline
// that State.FreshUntil returns.
//
// # Acceptance
//
// A note becomes proposal n+1 on the platform. Its acceptor, a VM of the share
// tables, writes its name and an attempt number into the proposal. A VM
// acknowledges the pair (version, attempt) once it has learned of it. A zone has
// acknowledged when a majority of its VMs have; the proposal is accepted by a
// conditional update after a majority of the zones of configuration n have
// acknowledged the acceptor's attempt. A VM that takes over from another acceptor
// increments the attempt, so that it counts only acknowledgements that were given
// during its own incarnation and after it knew of the proposal. While the call that
// writes a new proposal is outstanding, the attestations of the acceptor do not
// count.
//
// # Proofs
//
// Proof (a) is a reading of the platform, made directly or relayed by a peer with
// its age. Proof (b) is a set of attestations from a majority of the VMs of a
// majority of zones, each stating that the VM knows of no proposal above the
// version. Either is valid for MaxStaleness from the time at which the request was
// sent, on the clock of the requester. A response is never dated by its arrival,
// because it may have been delayed.
//
// A proposal that was written before a platform outage may or may not have been
// accepted. A VM that knows its content therefore proves freshness for the
// pending proposal as well, and permits only what both configurations allow.
// Without this rule an outage between the two phases would stop every zone.
//
// # Restarts
//
// A restarted VM has lost the proposals that it acknowledged, so its attestations
// count only after it is qualified: by a reading made after its start, or by two
// rounds of requests to every VM of the last known share tables. The second
// round starts after the first is complete; no VM may have restarted in between,
// and the VMs that are not qualified must not form a quorum that could have
// acknowledged a proposal. A response from one VM that has not restarted is not
// enough: the others may have acknowledged a proposal that it does not know. After a
// restart of the whole fleet during an outage the VMs use the highest version
// that any of them has, but serve keyed requests only once the platform responds.
//
// # Invariants
//
//   - No VM is fresh for a version if a higher one was accepted more than
//     MaxStaleness ago.
//   - During a platform outage without other faults every VM stays fresh while its
//     requests are answered.
//
// Both require that consecutive versions of a share table differ by at most one VM,
// so that majorities intersect. If an attestation names a newer table than the
// requester has, the requester's table of that zone proves nothing. One gap remains:
// VMs that were paused until the table of their zone had changed by several VMs, and
// that then reach a requester but neither the platform nor any VM that knows the
// newer table, can form a majority of the zone once more. Before the first share
// table exists, the VMs of the membership view are used (table version 0). Majorities
// of different views need not intersect, so during the first start of a fleet proof
// (b) holds only if the views agree. A restarted VM never qualifies by such tables.
package freshness
