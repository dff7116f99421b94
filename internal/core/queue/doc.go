// Package queue decides which waiting request runs next on one upstream, and how many run
// at once.
//
// Requests that have their connection already go first. Then the higher priority goes
// before the lower one, except that each priority gets at least a tenth of the starts while
// it waits. Within a priority, organisations are scheduled by deficit round robin: in each
// round an organisation may start as many requests as its weight, so that one organisation
// that floods the queue cannot take the share of the others. Of the requests that have a
// turn in a round, the one with the least time left until it is late starts first, and those
// that are late already start last.
//
// A request needs a slot of the upstream, and most need a connection, which belongs to one
// organisation and is opened if none is idle. A slot may leave something behind that only
// requests of the same organisation can use, such as an open connection. ReleaseFor
// therefore gives the slot to a waiting request of that organisation, in advance of its
// turns: for each advance the organisation is passed over once, and it has at most
// maxAdvance of them. This answers the load of more organisations than connections on a
// saturated upstream. In strict turns almost every request would open a connection, which
// takes a slot of the upstream for as long as a short statement. For the same reason new
// connections leave half of the slots to requests that have one. They answer the load of
// clients that return together after a loss of all VMs.
//
// Window bounds what a VM has in flight at an upstream, so that a burst of one route waits
// here, in this order, and not in the upstream's own queue.
//
// Invariants: at most the configured number of entries run at once; an entry leaves
// the queue exactly once, by running, expiry or cancellation; an entry whose deadline
// has passed never runs.
package queue
