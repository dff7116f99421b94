// Package relay lets VMs ask one another: to execute statements, to lend
// operations, and to tell what they know. A question and its answer are CBOR
// messages in WebSocket binary frames; questions of one VM to another share a
// connection that the asking VM opens.
//
// A connection that does not answer a probe in time is closed, which ends all its
// questions as unanswered. A VM whose connection closes has its open transactions
// rolled back by the answering VM. A question is sent at most once.
package relay
