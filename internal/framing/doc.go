// Package framing states where messages begin and end, for all codecs of both products, and
// holds the error that a message with invalid boundaries gets.
//
// A message is the unit that a sender writes and a receiver handles as a whole:
//
//	codec                               a message ends                           maximum size
//	line protocol of clients, upstreams at the first CR LF; no CR or LF before   1 MiB with CR LF
//	PostgreSQL protocol                 after the bytes that its length counts   a setting
//	requests and state between VMs      with its WebSocket frame, one CBOR item  4 MiB, 2 MiB
//	store, duties, operators            with its HTTP body, one JSON value       4 MiB
//	settings, release notes             with the file                            -
//
// Readers:
//
//   - A message is handled once its last byte has arrived. A read that is interrupted by a
//     deadline, a planned stop or a reload goes on with the same message. A message that the
//     input ends within is dropped.
//   - A message that breaks these rules gets an Error, after the responses to all messages before
//     it: MalformedMessage, or MessageTooLarge if it exceeds the maximum size. It is not run, nor
//     is any part of it. An open transaction is rolled back. What was acknowledged stays.
//   - The connection then ends, because the rest of the input cannot be divided into messages as
//     its sender meant them. It goes on only where a length tells the end of the rejected message.
//   - A message with valid boundaries that is not understood, such as one of an unknown type or
//     with an invalid statement, gets an error, and the connection goes on.
//   - Fields keep all other bytes as they are: blanks at the end, NUL, and bytes that are not UTF-8.
//
// Hence the statements that run are, byte for byte and in order, a prefix of those that were sent.
//
// Writers:
//
//   - A message that its own reader would divide, join or split into other fields is not written,
//     nor is one above the maximum size. The writer returns an Error that names the field. The
//     connection is as before.
//   - A value of a configuration that cannot be a field is an error of the configuration, with the
//     entry that holds it.
//
// In the PostgreSQL protocol:
//
//   - A malformed message ends the connection with a FATAL error, and so does one of an unknown
//     type. One above the maximum size is skipped, and its batch or transaction fails.
//   - Rows and the data of COPY have no maximum size and are passed on in parts if they exceed the
//     buffer. If the sender ends within such a message, so does the connection of the receiver,
//     without an error, which would be taken for the rest of the message.
//   - A message of an upstream that breaks these rules closes its connection. The client gets the
//     error of a lost connection.
package framing
