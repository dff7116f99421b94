// Package detector implements the deterministic failure detector that maintains the
// membership view of a VM.
//
// # Protocol
//
// Once per period a VM probes one member of its zone, in a random order that covers
// every member before it repeats. If the target does not acknowledge in time, the VM
// requests k other members to probe it. If there is no acknowledgement by the end of
// the period, the target becomes suspect. A VM that learns of a suspicion probes the
// target itself, and adds its own name to the suspicion if it gets no response either.
// A member is declared dead once enough VMs suspect it independently and the suspicion
// has lasted long enough for the member to refute it. A VM that learns of a suspicion
// against itself increments its refutation counter, which overrides the suspicion.
//
// Two watchers per zone, the members with the highest rendezvous hash, probe the
// watchers of the other zones in the same way and thereby connect the zones.
//
// Changes are piggybacked on probe messages. Each is sent a logarithmic number of times
// and within a size limit per message. Messages also carry a hash of the view. If the
// hashes of two VMs differ for long, the VMs compare hashes by zone and exchange the
// records of the zones that differ.
//
// # Invariants
//
// A record is replaced only by one with a higher incarnation, a higher refutation
// counter or a state of higher precedence. A VM never considers itself dead. Hints from
// the platform add members and support a suspicion raised by this VM, but never declare
// dead a member that responds to probes.
package detector
