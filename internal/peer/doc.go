// Package peer implements messaging and membership between VMs. Messages are binary
// WebSocket frames with a CBOR envelope, sent over mutual TLS. A message with an
// unknown protocol version, or from a peer that is not authenticated as the VM it
// names, is rejected.
//
// Messages may be lost, duplicated or reordered when a connection is reopened;
// receivers must tolerate all three.
package peer
