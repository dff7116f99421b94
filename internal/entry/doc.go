// Package entry assembles the components of an entry VM process: the mesh that
// connects it to the other VMs, the controllers for configuration, rates and
// database groups, the frontend that serves clients, and the admin server.
//
// At startup, the listeners are opened, the controllers register their message
// handlers, the mesh starts, the controllers start, and clients are accepted last.
// Shutdown reverses this order: the VM reports that it is not ready, drains its
// clients and notifies the other VMs that it leaves.
package entry
