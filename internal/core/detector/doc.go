// Package detector is the deterministic failure detector behind the membership
// view of a VM.
//
// Protocol. Once a period a VM probes one member of its zone, in a random order
// that reaches every member before it repeats. Without an acknowledgement in time
// it asks k other members to probe the target. Without any acknowledgement by the
// end of the period the target is suspected. A VM that hears of a suspicion probes
// the target itself and adds its name when it gets no answer either. A member
// counts as dead once enough VMs have suspected it independently and the
// suspicion has lasted long enough to be refuted. A VM that hears of a suspicion
// against itself raises its refutation counter, which overrides the suspicion.
//
// Two watchers per zone, the members with the highest rendezvous hash, probe the
// watchers of the other zones in the same way and so connect the zones.
//
// Changes ride on probe messages, each a logarithmic number of times and within a
// size limit per message. Messages carry a hash of the view; after a lasting
// difference two VMs compare hashes by zone and exchange the records of zones
// that differ.
//
// Invariants. A record is only replaced by one of a higher incarnation, of a
// higher refutation, or of a graver state. A VM never counts itself as dead. Hints
// from the platform add members and support a suspicion of this VM's own, but
// never declare a member dead that answers probes.
package detector
