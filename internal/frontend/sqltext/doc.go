// Package sqltext classifies SQL statements without parsing them fully: a lexer
// splits a query string into statements, and keywords determine the class.
//
// A wrong class costs a retry but does not affect correctness: replicas reject
// writes, and the transaction state is taken from the upstream's responses.
package sqltext
