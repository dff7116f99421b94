// Package forward is the last filter. It sends a request to its upstream, streams the
// response to the client and withholds the acknowledgement of a write until the commit
// is confirmed.
//
// A request consists of one or more segments. Each segment is sent without waiting for
// responses and ends with a ReadyForQuery of the upstream. A segment ends after every
// COMMIT, so that the log position of a commit is known before any later response is
// forwarded.
//
// A request of plain data-modifying statements outside a transaction is sent as BEGIN
// and the request in one segment, and COMMIT in a second one. The upstream reports the
// transaction identifier in the first, so the outcome of a COMMIT without a response
// can always be resolved, and if the connection breaks before COMMIT was sent, the
// request cannot have had an effect.
//
// Reads run with default_transaction_read_only on, so that the upstream rejects a
// function that writes with SQLSTATE 25006 and the request is retried on the primary as
// a write. Session settings and a BEGIN that the client sent earlier are sent in the
// same segment as the first statement. Each segment begins with a marker, which
// distinguishes a duplicate or late response from the response to the current request.
//
// Invariants:
//   - CommandComplete of a request that may have committed is forwarded only after
//     Router.Confirm, or after the group reported the transaction as committed and
//     a replica of the newer term has received it.
//   - A request that may have had an effect is never retried.
//   - The connection and its slot are released before the last commit of a request is
//     confirmed.
//   - Every message of the upstream must be a response to the oldest message
//     without a complete response; any other message closes the connection.
package forward
