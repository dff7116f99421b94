// Package request defines the interfaces between the data plane, which processes the
// messages of clients, and the controllers, which own the state of the fleet. The data
// plane calls them for every request, so implementations return data from memory and
// block only where documented.
package request
