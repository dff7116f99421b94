// Package entry assembles one entry VM process: the mesh to the other VMs, the
// controllers of configuration, rates and database groups, the data plane for
// callers, and the administration address.
//
// Start order: the mesh listens first, controllers register their messages, the
// mesh starts, then the controllers, and callers are accepted last. Stop goes the
// other way: readiness off, callers drained, the mesh told that the VM leaves.
package entry
