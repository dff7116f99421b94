package peer

import "expvar"

// counters are the expvar counters of a mesh. The map of bytes and messages has
// the message kind as key.
type counters struct {
	sentMessages, sentBytes         expvar.Map // handed to a connection, by kind
	receivedMessages, receivedBytes expvar.Map // accepted, by kind
	dropped                         expvar.Map // queue full or message too old, by kind
	refused                         expvar.Map // connections and frames refused, by result code
	connects, connectFailures       expvar.Int
}

// Vars returns the counters for publication: sent_messages, sent_bytes,
// received_messages, received_bytes and dropped by kind, refused by result code,
// connects and connect_failures.
func (m *Network) Vars() *expvar.Map {
	c := &m.counters
	all := new(expvar.Map)
	all.Set("sent_messages", &c.sentMessages)
	all.Set("sent_bytes", &c.sentBytes)
	all.Set("received_messages", &c.receivedMessages)
	all.Set("received_bytes", &c.receivedBytes)
	all.Set("dropped", &c.dropped)
	all.Set("refused", &c.refused)
	all.Set("connects", &c.connects)
	all.Set("connect_failures", &c.connectFailures)
	return all
}
