// Package upstream pools the connections of this VM to the members of database
// groups.
//
// A Lease grants exclusive use of a connection. Each lease of a connection has a new
// generation, and a call with an older generation has no effect.
//
// Invariants: a connection returns to its pool only when it is idle (the status of
// the last ReadyForQuery is 'I'), every response has been read and, after statements
// that may leave session state, a reset succeeded. Any other connection is closed.
// A CancelRequest is only started while the lease is active, and the connection of
// a cancelled lease is closed at release, because the cancellation may take effect
// late. Opening a connection does not block waiters: they take the first connection
// that becomes available.
package upstream
