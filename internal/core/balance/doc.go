// Package balance decides which upstream runs a read.
//
// The preferred upstream is the nearest one of those that may serve the read. Another one,
// drawn at random, is used instead for a share of the reads that grows while the expected
// time there is shorter by more than a margin, and shrinks when it no longer is. Many VMs
// act on the same delayed figures: the random draw and the gradual share keep them from
// moving to the same upstream together, and the two thresholds from moving back and forth.
//
// The expected time of a read at an upstream is the round trip to its zone, the time of a
// statement in a slot, the wait for a slot, and the latency target times the share of
// statements that fail there.
//
// Figures are hints. Those older than FigureValidity are not used, and without figures of
// both upstreams the read goes to the preferred one. The package also estimates whether a
// replica has applied a log position (Lag).
//
// A Balancer is deterministic: the current time, the figures and a seeded random source
// determine its choices. It is not safe for concurrent use.
package balance
