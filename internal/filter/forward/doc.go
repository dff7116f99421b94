// Package forward is the last filter. It sends a request to its upstream, streams
// the answer to the caller and holds back the acknowledgement of writes.
//
// A request becomes one or more segments. Each segment is sent in one go and ends
// with a ReadyForQuery of the upstream; a segment ends after every COMMIT, so that
// the position of a commit is known before anything after it is passed on.
//
// A request of plain data-modifying statements outside a transaction is sent as
// BEGIN and the request in one segment, and COMMIT in a second one. The upstream
// reports the transaction identifier with the first, so an unanswered COMMIT can
// always be resolved, and a connection that breaks before the COMMIT was sent
// proves that the request had no effect.
//
// Reads run with default_transaction_read_only on, so that a function that writes
// is refused with 25006 and the request moves to the primary as a write. Session
// settings and a BEGIN that the caller has sent before go out in the same segment
// as the first statement. Each segment begins with a marker, by which an answer
// that comes twice or late is told from the answer to the next request.
//
// Invariants:
//   - CommandComplete of a request that may have committed is passed on only after
//     Router.Confirm, or after the group reported the transaction as committed and
//     a replica of the newer term has it.
//   - A request that may have had an effect is never sent twice.
//   - The connection and its slot are returned before the confirmation of the last
//     commit of a request.
//   - Every message of the upstream must answer the next message sent; anything
//     else closes the connection.
package forward
