// Package load drives the entry proxies of an in-process fleet over the PostgreSQL
// protocol, open loop, disturbs the fleet on a timetable, and judges from the
// callers' records whether the required properties held.
//
// Every write inserts one numbered row of its session and carries a unique marker
// comment, which the stand-in counts. Every read returns the identifier of its
// request and the newest row of its session. Latency is measured from the time at
// which a request was due, so that waiting for a free session counts.
//
// The judges are functions of a History: they see no clock and no connection. A
// judge reports only what the records prove, since the time of admission lies
// somewhere between sending and completion.
package load
