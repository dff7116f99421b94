// Package freshness decides whether a VM can prove that its configuration is
// current. A VM honours keys and takes work in its zone only until the deadline
// that State.Until returns.
//
// # Acceptance
//
// A note becomes proposal n+1 in the platform. Its acceptor, a VM of the share
// tables, writes its name and an attempt number into the proposal. A VM
// acknowledges the pair (version, attempt) once it has learned of it. A zone has
// acknowledged when a majority of its VMs have; the proposal is accepted by a
// conditional update after a majority of the zones of configuration n have
// acknowledged the acceptor's attempt. A VM that takes over from another acceptor
// raises the attempt, so that every acknowledgement that it counts was given
// during its own life and after it knew of the proposal. While the call that
// writes a new proposal is unanswered, the acceptor attests nothing.
//
// # Proofs
//
// Proof (a) is a reading of the platform, made directly or relayed by a peer with
// its age. Proof (b) is a set of attestations from a majority of the VMs of a
// majority of zones, that each knows of no proposal above the version. Either is
// valid for F from the time at which the question was asked on the asker's
// clock. A receiver never dates an answer by its arrival, because the answer may
// have been delayed.
//
// A proposal that was written before a platform outage may or may not have been
// accepted. A VM that knows its content therefore proves freshness for the
// proposal as well, and honours what both configurations allow. Without this
// rule an outage between the two phases would stop every zone.
//
// # Restarts
//
// A restarted VM forgets the proposals that it acknowledged, so its attestations
// count only after it is qualified: by a reading made after its start, or by two
// rounds of questions to every VM of the last known share tables. The second
// round starts after the first is complete; no VM may have restarted in between,
// and the VMs that are not qualified must not form a quorum that could have
// acknowledged a proposal. One VM that has not restarted is not enough: the
// others may have acknowledged a proposal that it has not heard of. After a
// restart of the whole fleet during an outage the VMs take the highest version
// that any of them offers, but serve keyed requests only once the platform
// answers.
//
// # Invariants
//
//   - No VM is fresh for a version when a higher one was accepted more than F ago.
//   - In a platform outage alone every VM stays fresh while its questions are answered.
//
// Both need share tables that differ by at most one VM between neighbouring
// versions, so that majorities intersect. An answer that names a newer table
// than the asker's does not count. One gap remains: VMs that were paused until the
// table of their zone had changed by several VMs, and that then reach an asker but
// neither the platform nor any VM that knows the newer table, can speak for the
// zone once more. Before the first share table exists, the VMs
// of the membership view stand in (table version 0). Two views that differ need
// not have intersecting majorities, so during the first start of a fleet proof
// (b) is only as good as the agreement of the views. A restarted VM never
// qualifies by such tables.
package freshness
