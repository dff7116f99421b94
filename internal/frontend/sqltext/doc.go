// Package sqltext classifies SQL statements without parsing them: a lexer splits
// a query string into statements and a few leading words decide the class.
//
// A wrong class costs a retry, never correctness: replicas refuse writes, and the
// transaction state is taken from the upstream's answers.
package sqltext
