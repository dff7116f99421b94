// Package configcontroller keeps the configuration of a VM up to date, proves that it
// is current, and applies release notes of operators. The decisions are made by the
// packages internal/core/configuration and internal/core/freshness.
//
// # Protocol
//
// Two live VMs of each zone, selected by rendezvous hashing, watch the platform.
// They notify other VMs of new versions; a VM that receives a notice sends a request
// to the sender and to the watchers of its zone. A request contains the state of its
// sender and thereby acknowledges a proposal. The response contains what the
// requester lacks: the note of a proposal, the full configuration only for a VM that
// has missed one, the age of the newest platform reading, and summaries of the
// zones. Every VM also sends a request to one of its watchers in turn and to one
// of 16 random VMs every 500 ms, so that lost messages cause only a delay. Ages are
// relative to the time of the request on the requester's clock.
//
// The VM that receives a note from an operator writes the proposal and becomes its
// acceptor. A watcher of each zone writes zone-ack/<zone> when a majority of the
// zone's VMs have acknowledged. The acceptor updates configuration/current when a
// majority of zones have. A watcher takes over a proposal that stays pending for 3 s
// or more, or at once if it was written by a VM that is not an eligible acceptor.
// Proposals are never replaced, so a note that was reported as not accepted in time
// may still be accepted later.
//
// # Invariants
//
//   - The version in force never decreases.
//   - Client requests are checked against one snapshot without a lock. They are
//     rejected once freshness has expired, except on open databases.
//   - An acceptor knows its proposal before any VM can acknowledge the attempt
//     that it counts.
//
// # Platform calls
//
// Each watcher has one open watch of 500 ms: a zone makes 4 calls per second, 24
// zones make 96. A VM that is not a watcher and has had no reading for 2 s makes one
// reading of 4 calls every 10 s. A note costs 2 readings, 3 writes, 2 calls per zone
// and 20 list calls per second until it is accepted. The client's counters
// (platform.HTTP.Calls) count the calls by kind.
//
// # Cost at the design size
//
// While the platform responds, each VM sends at most 6 requests per second. A watcher
// of a zone with 154 VMs answers 310 per second. During a platform outage its
// responses contain summaries of 24 zones, and it sends a request to every VM of its
// zone twice a second. Each response then costs a pass over 3,700 VMs to compute the
// proof; this cost has not been measured at that size.
//
// # First start
//
// Until the first share tables are written, the VMs of the membership view of each
// zone are used in their place. Majorities of different views need not intersect, so
// VMs with one view could miss a note that was accepted by VMs with another for as
// long as they cannot reach the platform. An outage or partition during the first
// start therefore weakens the proof by peers, but not the proof by the platform.
package configcontroller
