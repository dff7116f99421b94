package sharecontroller

import (
	"expvar"

	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// counters are the expvar counters of the controller; Vars describes them.
type counters struct {
	transfersRequested, unsent              expvar.Int
	lent, borrowed                          expvar.Float
	leaseRequests, leasesConfirmed          expvar.Int
	tableReads, tableWrites, tableConflicts expvar.Int
	tableUnknown, invalidTables             expvar.Int
}

// Vars returns the counters by their published names:
//
//   - refused: requests refused with RateExceeded
//   - waited, waited_admitted: requests that waited for tokens, and those of them
//     that got some
//   - asks: transfers requested; tokens_lent, tokens_borrowed: tokens granted and
//     received in transfers, including late responses
//   - unsent: messages that could not be queued
//   - lease_requests, leases_confirmed: lease messages sent as lessee and as lessor
//   - table_reads, table_writes: platform calls
//   - table_conflicts, table_unknown: writes rejected with a conflict, and writes with
//     an unknown result
//   - invalid_tables: tables that cannot be decoded or whose share units do not add up
func (c *Controller) Vars() *expvar.Map {
	all := new(expvar.Map)
	counters := &c.counters
	for name, v := range map[string]expvar.Var{
		"refused": &c.limiter.Refused, "waited": &c.limiter.Waited, "waited_admitted": &c.limiter.WaitedAdmitted,
		"asks": &counters.transfersRequested, "unsent": &counters.unsent, "tokens_lent": &counters.lent, "tokens_borrowed": &counters.borrowed,
		"lease_requests": &counters.leaseRequests, "leases_confirmed": &counters.leasesConfirmed,
		"table_reads": &counters.tableReads, "table_writes": &counters.tableWrites, "table_conflicts": &counters.tableConflicts,
		"table_unknown": &counters.tableUnknown, "invalid_tables": &counters.invalidTables,
	} {
		all.Set(name, v)
	}
	return all
}

// Dump describes the controller's state for operators.
type Dump struct {
	Self ident.VMName `json:"self"`
	shares.Dump
	// Versions are the known versions of the share tables.
	Versions map[ident.AvailabilityZone]uint64 `json:"versions"`
}

// Dump returns the zone's table, the table versions, the buckets and the last decision
// with its reason.
func (c *Controller) Dump() Dump {
	d := Dump{Self: c.self.Name, Dump: c.node.Dump(c.clock.Now()), Versions: map[ident.AvailabilityZone]uint64{}}
	for zone, t := range c.Tables() {
		d.Versions[zone] = uint64(t.Version)
	}
	return d
}
