// Package wire reads and writes messages of the PostgreSQL protocol version 3 as
// raw frames (type byte, length and body), so that rows are forwarded without
// decoding.
//
// Invariants: a Reader that returns a timeout keeps its partial input, and the
// read can be repeated; an idle Reader or Writer holds no large buffer; a body is
// never longer than the reader's limit unless Forward, ForwardRun or Skip streams
// it.
package wire
