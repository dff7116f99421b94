// Package queue decides which waiting request runs next on one upstream. It schedules
// organisations by deficit round robin: in each round an organisation may start as
// many requests as its weight, so that one organisation that floods the queue cannot
// take the share of the others.
//
// A slot may leave something behind that only requests of the same organisation can use,
// such as an open connection. ReleaseFor therefore gives the slot to a waiting request of
// that organisation, in advance of its turns: for each advance the organisation is passed
// over once, and it has at most maxAdvance of them. This answers the load of more
// organisations than connections on a saturated upstream. In strict turns almost every
// request would open a connection, which takes a slot of the upstream for as long as a
// short statement.
//
// Invariants: at most the configured number of entries run at once; an entry leaves
// the queue exactly once, by running, expiry or cancellation; an entry whose deadline
// has passed never runs.
package queue
