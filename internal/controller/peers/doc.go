// Package peers connects this VM to the other VMs of the fleet. It registers the VM in
// the platform's store, discovers the others there and from their requests, selects the
// hubs, probes them, and executes statements on them.
//
// Only hubs are probed, and VMs that would be hubs if they were not dead or leaving, so
// that the work of a probe round grows with the number of VMs and not with its square. A
// VM that is not probed is neither alive nor dead.
//
// A hub is alive while it responds to probes in time. One that leaves a request without a
// response is suspect until it responds or a probe decides; see silence.go. A failed probe
// closes the connection, so that requests to an unresponsive VM fail early. A VM that is shutting
// down reports so in its responses and is no longer used.
package peers
