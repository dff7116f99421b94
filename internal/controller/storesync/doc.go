// Package storesync keeps this VM's view of what the platform's store says: the
// accepted configuration, the registered upstreams and the zones to leave.
//
// Freshness. A reading of the configuration proves it current as of the time at
// which the question was sent. Other VMs relay the age of their proof; an answer is
// dated by the sending of the question to them, so a delayed answer never proves
// too much. A watch that reports nothing is no proof, because the store may have
// lost it.
//
// Calls are shared: the first hub in an order by hash reads the configuration, the
// others only when the relayed proof grows old. In each zone one hub watches the
// registrations and the zones to leave, and the other VMs ask it; see view.go.
package storesync
