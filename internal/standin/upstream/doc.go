// Package upstream is a stand-in for database groups: members that speak the
// PostgreSQL v3 protocol and whose agents follow section 4 of docs/design.md.
//
// SQLite executes the SQL, one database file per member. The log is statement
// based: a committed write transaction is one entry of statements with their
// arguments. A member has one writer connection; explicit transactions read
// committed data, and take the writer at their first write.
//
// Invariants:
//   - Entries of a log have consecutive positions and terms that never decrease.
//   - A member appends an entry only while it is the primary of the highest term
//     that it has accepted, and accepts entries only from that term's primary.
//   - A commit and its log entry happen under the member's mutex, so that a fence
//     is either before both or after both.
//
// Limits: SQL functions without a deterministic result give different values on
// each member, and the log is kept in memory for the life of the process.
package upstream
