// Package configcontroller keeps the configuration of a VM current, proves that
// it is, and takes release notes from operators. The decisions are those of the
// packages internal/core/configuration and internal/core/freshness.
//
// # Protocol
//
// Two VMs of each zone, chosen by rendezvous hash among the live ones, watch the
// platform. News goes out as a notice; the receiver answers with a question to
// the sender and to the watchers of its zone. A question states what its asker
// knows, and thereby acknowledges a proposal; the answer brings what the asker
// lacks: the note of a proposal, the full configuration only for a VM that has
// missed one, the age of the newest platform reading, and what is known of the
// other zones. Every VM also asks one of its watchers in turn and one VM of 16 random
// ones every 500 ms, so that lost messages only delay. Ages count from the time of
// the question on the asker's clock.
//
// The VM that takes a note writes the proposal and becomes its acceptor. A watcher
// of each zone writes zone-ack/<zone> when a majority of its VMs have
// acknowledged. The acceptor updates configuration/current when a majority of
// zones have. A proposal that stays pending for 2 s or more is taken over by a
// watcher; proposals are never replaced, so a note that an operator was told is
// not accepted in time may still be accepted later.
//
// # Invariants
//
//   - The version in force never decreases.
//   - Requests are decided by one snapshot without a lock. They are refused once
//     freshness has lapsed, except on open databases.
//   - An acceptor knows its proposal before any VM can acknowledge the attempt
//     that it counts.
//
// # Platform calls
//
// A watcher has one watch of 500 ms running: a zone makes 4 calls per second, 24
// zones make 96. A VM that has not had a reading for 2 s and is no watcher makes
// one reading of 4 calls in 10 s. A note costs 2 readings, 3 writes, 2 calls per
// zone and 20 listings per second until it is accepted. The client's counters
// (platform.HTTP.Calls) show the calls by kind.
//
// # Cost at the design size
//
// Each VM sends 6 questions a second at most while the platform answers. A watcher
// of a zone with 154 VMs answers 310 a second. During a platform outage its answers
// carry summaries of 24 zones, and it asks every VM of its zone twice a second;
// the proof then costs a pass over 3,700 VMs for each answer, which has not been
// measured at that size.
//
// # First start
//
// Until the first share tables are written, the VMs of the membership view of each
// zone stand in for them. Views that differ can have majorities that do not
// intersect; a note accepted by one of them could then be missed by the other for
// as long as it cannot reach the platform. So an outage or partition during the
// first start weakens the proof by peers; the proof by the platform is not affected.
package configcontroller
