package peer

import "expvar"

// counters are the expvar counters of a mesh.
type counters struct {
	sentMessages, sentBytes         expvar.Map // written to a connection, by kind
	receivedMessages, receivedBytes expvar.Map // accepted, by kind
	dropped                         expvar.Map // queue full, message expired, write failed, or message or payload too large, by kind
	refused                         expvar.Map // rejected connections and frames, by result code
	connects, connectFailures       expvar.Int
}

// Vars returns the counters as a map to publish: sent_messages, sent_bytes,
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
