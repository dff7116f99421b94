// Package request defines the interfaces between the data plane, which carries
// the messages of callers, and the controllers, which own the fleet's state. The
// data plane calls them on every request, so implementations answer from memory
// and block only where stated.
package request
