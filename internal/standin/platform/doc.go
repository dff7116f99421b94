// Package platform is a stand-in for the platform: the object API of section 4
// of docs/design.md, kept in memory.
//
// Faults are controlled by methods: outages, slow answers, lost answers, quotas,
// and zones that are cut off. A cut-off call takes no effect before the zone is
// restored; a lost answer is lost after the change took effect.
package platform
