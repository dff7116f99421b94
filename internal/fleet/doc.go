// Package fleet runs a whole installation in one process on loopback: the
// stand-ins of the platform and the database groups, and real entry VMs that talk
// to them and to each other over TCP. The demo, the load tool and tests of
// failures use it. It adds no behaviour of its own: faults are set on the
// stand-ins and on the links between VMs.
package fleet
