// Package wire reads and writes PostgreSQL v3 protocol messages as raw frames (a
// type byte, a length and a body), so that rows pass through without decoding.
//
// Invariants: a Reader that fails with a timeout keeps its partial input and can
// be read again; an idle Reader or Writer holds no large buffer; a frame is never
// longer than the reader's limit unless it is streamed with Forward.
package wire
