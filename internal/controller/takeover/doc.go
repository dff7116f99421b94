// Package takeover replaces primaries that fail, leave, or stand in a zone to be
// left.
//
// # Protocol
//
// The hubs are ranked for each group by hash; a VM of rank r acts r times
// rankDelay after it first sees the reason. It
//
//	check    asks the primary itself, and lets a VM of another zone ask, unless the
//	         reason is a registration
//	claim    raises the generation of the group's object in the store by conditional
//	         update; the generation is its fencing token
//	pause    stops all replicas but the candidate from receiving
//	verify   reads the candidate's position; see internal/core/takeover
//	depose   tells a primary that completes no write to step down
//	announce writes the candidate into the object
//	promote  calls the platform with its token
//	finish   marks the object as done
//
// # Safety
//
// Each generation has one holder. Orders to members and calls of the platform may have
// no answer and be carried out seconds later, so each call and each order to resume is
// first announced in the object, by conditional update:
//
//   - While a call may take effect, every attempt is bound to its candidate: another
//     member that was verified before the first one leads would lack what that one
//     commits. No replica is ordered to resume meanwhile, because the call relies on the
//     pauses. A call with a higher generation that has been answered makes the platform
//     refuse the older ones.
//   - While an order to resume may be carried out, a pause of that replica proves
//     nothing. The replica can be the candidate, which need not be paused.
//   - A candidate is not announced if a replica was ordered to resume since the claim.
//
// The choice of the candidate is safe whether or not the old primary still runs.
// specs/takeover.pml is the model of these rules.
package takeover
