// Package peer carries messages between VMs: WebSocket binary frames with a CBOR
// envelope, over mutual TLS. A message of an unknown protocol version, or of a
// peer that is not authenticated as the VM it names, is refused.
//
// Messages may be lost, duplicated and reordered across reconnects; receivers
// must tolerate all three.
package peer
