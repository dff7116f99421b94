// Package proxy serves clients. It keeps their sessions, chooses where each statement
// runs, and determines the response that the client receives. It does not depend on a
// wire protocol: a Codec reads statements and writes responses.
//
// The session values and prepared statements of a session are kept here and set on
// each upstream connection that runs one of its statements. Begin is answered without
// an upstream; the transaction is opened at an upstream with its first statement.
//
// Invariants:
//   - A statement that may have an effect is sent again only if the previous attempt
//     is guaranteed to have had none.
//   - An error whose code says "not run" is returned only if the statement cannot have
//     had an effect at any upstream.
//   - If a commit or a single write gets no reply, the client is informed at once that
//     the outcome is unknown.
package proxy
