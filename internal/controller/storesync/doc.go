// Package storesync maintains this VM's view of the platform's store: the accepted
// configuration, the registered upstreams and the evacuated zones.
//
// # Freshness
//
// Reading the configuration from the store proves it current as of the time at which the
// request was sent. Other VMs relay the age of their proof. Their responses are dated by
// the time at which this VM sent its request, so that a delayed response never makes a
// proof appear younger than it is. A watch that reports nothing proves nothing, because
// the store may have lost the watch.
//
// A list proves a view of the registrations or the evacuations in the same way. Probes pass
// the proof on with a digest of the view; an equal digest proves the receiver's view too.
// Withdrawals are dated by these proofs, see internal/core/withdrawal.
//
// # Eras
//
// A store that comes back from an older copy begins a new era. Versions order by era and
// revision; see era.go for what this VM keeps of the former era, and for how long.
//
// # Sharing of store calls
//
// The first hub in a hash order reads the configuration; other VMs read it only if the
// relayed proof becomes old. In each zone one hub watches the registrations and the
// evacuations, and the other VMs of the zone read them from that hub; see view.go. The first
// hub lists them at short intervals in addition.
package storesync
