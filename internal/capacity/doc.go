// Package capacity measures the roles of the system at growing sizes and projects
// them to the size that the design page names. It drives the decision state
// machines and codecs that entry VMs use, in memory and, where they are
// deterministic, on virtual time.
//
// Bytes are those of the encoded messages: CBOR envelope, WebSocket frame header,
// and the overhead of one TLS 1.3 record. TCP and IP headers are not counted.
// Processor time is the user and system time of this process per unit of work.
// Projections are least-squares lines; each comes with its residual.
package capacity
