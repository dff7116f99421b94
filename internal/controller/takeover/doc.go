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
//	announce writes the candidate into the object
//	promote  calls the platform with its token
//	finish   marks the object as done
//
// # Safety
//
// Each generation has one holder. A call whose answer is lost may still take effect
// later; replicas stay paused until a call with a higher generation has been
// answered, which makes the platform refuse the older one. Until then, and as long as
// calls may be late, every attempt is bound to the same candidate: another member that
// was verified before the first one leads would lack what that one commits. The choice
// of the candidate is safe whether or not the old primary still runs.
package takeover
