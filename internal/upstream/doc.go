// Package upstream holds the connections of this VM to the members of database
// groups.
//
// A Lease gives one caller sole use of a connection. Each lease of a connection
// has a new generation, and a call with an older generation has no effect.
//
// Invariants: a connection returns to its pool only in protocol state "idle" (the
// last ReadyForQuery said 'I'), with every answer read and, after statements that
// may leave session state, after a successful reset. Any other connection is
// closed. A CancelRequest is sent only while the lease holds, and the connection
// of a cancelled lease is closed at release, because the signal may arrive late.
// Opening a connection blocks nobody: waiters take whichever connection comes
// first.
package upstream
