// Package peers keeps this VM in touch with the others: it registers the VM in the
// platform's store, learns of the others there and from their questions, probes
// them, and executes statements on them.
//
// A VM is alive while it answers probes in time. A probe that is not answered closes
// the connection, so that questions to a VM that is silent end early. A VM that
// leaves says so in its answers and is used no more.
package peers
