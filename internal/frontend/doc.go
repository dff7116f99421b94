// Package frontend accepts callers and speaks the PostgreSQL v3 protocol with
// them. Each caller has one goroutine, which turns the caller's messages into
// requests for the filter chain and answers with ReadyForQuery after each.
//
// The user is the organisation, the database the group, and the password the key.
// The key goes no further than the authoriser.
//
// Invariants:
//   - After an error in the extended protocol, messages are discarded until Sync.
//   - A transaction that the proxy had to give up is rolled back at the upstream;
//     the caller sees state 'E' until it sends ROLLBACK or COMMIT.
//   - A BEGIN that is certain to succeed is answered at once and sent with the first
//     statement of its block.
//   - A batch that holds a refused statement does not run at all.
//   - In a planned stop, each request that was read gets a response or a true refusal, and the
//     connection then ends with 57P01, as long as the caller reads.
//   - An idle caller holds a read buffer of 512 bytes and no write buffer.
//   - No error, log line or dump holds a key, a password or a part of a statement.
package frontend
