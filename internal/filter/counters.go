package filter

import (
	"expvar"
	"sync/atomic"

	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Counters count what the data plane did. The expvar names are
//
//	reads_replica    requests that ran on a replica
//	reads_primary    read-only requests that ran on the primary
//	writes           requests that may write
//	retries          internal repetitions of requests that had no effect
//	outcome_unknown  answers with code RW1012
//	refusals         map from result code to number of refusals
//	commits_held     commits that waited for a confirmation
//	resolved         unanswered commits whose outcome the group told
type Counters struct {
	ReadsReplica, ReadsPrimary, Writes, Retries, OutcomeUnknown, CommitsHeld, CommitsResolved atomic.Int64

	refusals [maxCallerCode - minCallerCode]atomic.Int64
}

// Codes of callers lie in [minCallerCode, maxCallerCode).
const (
	minCallerCode = 1000
	maxCallerCode = 1100
)

// RecordRefusal counts an answer with a result code.
func (c *Counters) RecordRefusal(code resultcode.Code) {
	if code == resultcode.OutcomeUnknown {
		c.OutcomeUnknown.Add(1)
	}
	if code >= minCallerCode && code < maxCallerCode {
		c.refusals[code-minCallerCode].Add(1)
	}
}

// Refusals returns the number of answers with the code.
func (c *Counters) Refusals(code resultcode.Code) int64 {
	return c.refusals[code-minCallerCode].Load()
}

// Snapshot returns the counters under their expvar names.
func (c *Counters) Snapshot() map[string]any {
	refusals := map[string]int64{}
	for i := range c.refusals {
		if n := c.refusals[i].Load(); n > 0 {
			refusals[resultcode.Code(minCallerCode+i).String()] = n
		}
	}
	return map[string]any{
		"reads_replica": c.ReadsReplica.Load(), "reads_primary": c.ReadsPrimary.Load(), "writes": c.Writes.Load(),
		"retries": c.Retries.Load(), "outcome_unknown": c.OutcomeUnknown.Load(), "refusals": refusals,
		"commits_held": c.CommitsHeld.Load(), "resolved": c.CommitsResolved.Load(),
	}
}

// Publish publishes the counters as one expvar map. A name can be published once.
func (c *Counters) Publish(name string) {
	expvar.Publish(name, expvar.Func(func() any { return c.Snapshot() }))
}
