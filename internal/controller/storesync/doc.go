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
// # Sharing of store calls
//
// The first hub in a hash order reads the configuration; other VMs read it only if the
// relayed proof becomes old. In each zone one hub watches the registrations and the
// evacuations, and the other VMs of the zone read them from that hub; see view.go.
package storesync
