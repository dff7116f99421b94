// Package takeover replaces primaries that fail, leave, or are in a zone that is being
// evacuated.
//
// # Protocol
//
// The hubs are ranked for each group by hash; a VM of rank r acts r times
// rankDelay after it first sees the reason. It
//
//	check    requests the status of a primary that does not respond, and lets VMs of
//	         other zones, and one in the primary's zone, do the same
//	claim    raises the generation of the group's object in the store by conditional
//	         update; the generation is its fencing token
//	prove    proves that a candidate holds every acknowledged commit, see below
//	announce writes the candidate to the object
//	promote  calls the platform with its token
//	finish   marks the object as done
//
// # Who may confirm a commit
//
// A commit is acknowledged when a replica has confirmed to the primary that it has received
// the commit, and a VM has passed the primary's answer on to the client. A member may
// confirm
//
//   - from its start, before anyone knows of it: it receives the primary's log at once, and
//     registers some ten milliseconds later, or not at all while it is cut off;
//   - until it ends, is paused, or the primary is demoted. Draining, a missing registration
//     and a cut from some VMs don't end it;
//   - only as the log that it is. A member that starts again under its name has an empty log,
//     is not paused, and no longer has what its former log had.
//
// A promotion ends all pauses and demotes the former primary, when it takes effect: 0.3 to
// 1 s after its call as a rule, 12 s at most.
//
// # Proofs
//
// A primary that responds is demoted (handover.go). Nothing is confirmed after that, whoever
// has joined or left, and the end of its log is known. A candidate that has received the log
// up to there may be promoted; no member is counted or paused. The primary serves until a
// candidate is known to receive, and is promoted again if none holds the end of its log. If
// the VM dies in between, the next one goes on: as long as no call was announced since the
// object named the primary, the demoted member is the newest primary.
//
// For a primary that does not respond, the replicas prove it (verify.go). All logs that may
// hold a commit are counted: the registered members, and the commit holders of the object,
// each with the incarnation of its log (holders.go). Of these at most SyncReplicas-1 may be
// missing; the others, except the candidate, are paused and have received no more than the
// candidate. The proof holds while no counted member ends, starts again or joins before the
// call, and only if the primary can't go on with members that nobody here knows:
//
//   - its address refuses connections, or
//   - a VM in its zone responds and does not reach it, so that no VM passes on its answers, or
//   - the fleet has no VM in its zone.
//
// Otherwise the takeover waits, logs for whom ("takeover waits"), and is tried again. While
// too few members respond, none is paused. The wait ends when the missing members or the
// zone respond, or when the primary does, which is then demoted.
//
// A commit holder is added when it registers, by every claim as well, and removed when a
// registered replica has received all that a responding primary has, and the holder is
// deregistered and doesn't respond, neither to this VM nor to one in its own zone: one that is
// cut off with its zone may confirm commits again.
//
// What remains is listed in docs/limits.md: a silent primary that returns between the call
// and its effect to a replica that has joined or started again since.
//
// # Commands and calls
//
// Each generation has one holder. Commands to members and calls to the platform may have
// no response and be executed seconds later, so each call and each resume command is
// first announced in the object, by conditional update:
//
//   - While a call may take effect, every attempt is restricted to its candidate: once
//     that candidate is primary, another member that was verified earlier would lack its
//     commits. No replica is commanded to resume meanwhile, because the call relies on
//     the pauses. After a response to a call with a higher generation, the platform
//     refuses the older ones.
//   - While a resume command may be executed, a pause of that replica does not prove that
//     it has stopped receiving. The replica can be the candidate, which need not be
//     paused.
//   - A candidate is not announced if a replica was commanded to resume since the claim.
//   - A late command to step down has the lowest term above the primary's, so that the next
//     primary ignores it.
//
// specs/takeover.pml is the model of the commands and calls of attempts that run side by
// side, specs/takeover_members.pml that of the members and proofs.
package takeover
