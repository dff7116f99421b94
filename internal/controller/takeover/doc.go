// Package takeover replaces primaries that fail, leave, or are in a zone that is being
// evacuated.
//
// # Protocol
//
// The hubs are ranked for each group by hash; a VM of rank r acts r times
// rankDelay after it first sees the reason. It
//
//	check    requests the status of a primary that does not respond, and lets VMs of
//	         other zones do the same
//	claim    raises the generation of the group's object in the store by conditional
//	         update; the generation is its fencing token
//	pause    stops all replicas but the candidate from receiving
//	verify   reads the candidate's position; see internal/core/takeover
//	demote   commands a primary that completes no write to step down
//	announce writes the candidate to the object
//	promote  calls the platform with its token
//	finish   marks the object as done
//
// # Safety
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
//
// The choice of the candidate is safe whether or not the old primary still runs.
// specs/takeover.pml is the model of these rules.
package takeover
