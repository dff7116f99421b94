// Package relay implements remote procedure calls between VMs. They execute statements,
// transfer rate tokens and exchange state. Requests and responses are CBOR messages in
// WebSocket binary frames. All requests of one VM to another share a connection that the
// requesting VM opens.
//
// The requesting VM closes a connection if a probe times out, and all pending requests
// then end without a response. The responding VM rolls back the open transactions of a
// connection that closes. A request is sent at most once.
package relay
