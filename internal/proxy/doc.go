// Package proxy serves callers: it keeps their sessions and decides, statement by
// statement, where each one runs and what the caller is told. It does not depend
// on a wire protocol; a Codec reads statements and writes answers.
//
// A session's values and prepared statements are kept here and given to whichever
// upstream connection runs a statement. Begin is answered here; the transaction
// opens at an upstream with its first statement.
//
// Invariants. A statement that may have an effect is sent once: it is repeated only
// after a promise that it had none. A refusal whose code says "not run" is given
// only when no upstream can hold an effect. After an unanswered commit or single
// write the caller is told at once that the outcome is unknown.
package proxy
