package filter

import (
	"expvar"
	"sync/atomic"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Counters are the counters of the data plane. The expvar names are
//
//	reads_replica    requests that ran on a replica
//	reads_primary    read-only requests that ran on the primary
//	writes           requests that may write
//	retries          internal retries of requests that had no effect
//	outcome_unknown  responses with code RW1012
//	refusals         map from result code to the number of rejected requests
//	commits_held     commits that waited for confirmation by a replica
//	resolved         commits without a response whose outcome the group reported
type Counters struct {
	ReadsReplica, ReadsPrimary, Writes, Retries, OutcomeUnknown, CommitsHeld, CommitsResolved atomic.Int64

	refusals [maxClientCode - minClientCode]atomic.Int64
}

// Result codes sent to clients are in [minClientCode, maxClientCode).
const (
	minClientCode = 1000
	maxClientCode = 1100
)

// RecordRefusal counts a response with a result code.
func (c *Counters) RecordRefusal(code resultcode.Code) {
	if code == resultcode.OutcomeUnknown {
		c.OutcomeUnknown.Add(1)
	}
	if code >= minClientCode && code < maxClientCode {
		c.refusals[code-minClientCode].Add(1)
	}
}

// Refusals returns the number of responses with the code.
func (c *Counters) Refusals(code resultcode.Code) int64 {
	return c.refusals[code-minClientCode].Load()
}

// Snapshot returns the counters under their expvar names.
func (c *Counters) Snapshot() map[string]any {
	refusals := map[string]int64{}
	for i := range c.refusals {
		if n := c.refusals[i].Load(); n > 0 {
			refusals[resultcode.Code(minClientCode+i).String()] = n
		}
	}
	return map[string]any{
		"reads_replica": c.ReadsReplica.Load(), "reads_primary": c.ReadsPrimary.Load(), "writes": c.Writes.Load(),
		"retries": c.Retries.Load(), "outcome_unknown": c.OutcomeUnknown.Load(), "refusals": refusals,
		"commits_held": c.CommitsHeld.Load(), "resolved": c.CommitsResolved.Load(),
	}
}

// Publish publishes the counters as one expvar map. It panics if the name is already
// in use.
func (c *Counters) Publish(name string) {
	expvar.Publish(name, expvar.Func(func() any { return c.Snapshot() }))
}
