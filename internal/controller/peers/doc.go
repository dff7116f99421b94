// Package peers keeps this VM in touch with the others: it registers the VM in the
// platform's store, learns of the others there and from their questions, chooses the
// hubs among them, probes these, and executes statements on them.
//
// Only hubs are probed, and the VMs that would be hubs if they answered, so that the
// work of a probe round grows with the number of VMs and not with its square. A VM
// that is not probed is neither alive nor dead.
//
// A hub is alive while it answers probes in time. A probe that is not answered closes
// the connection, so that questions to a VM that is silent end early. A VM that
// leaves says so in its answers and is used no more.
package peers
