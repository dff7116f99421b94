package sharecontroller

import (
	"expvar"

	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// counters are the expvar counters of the controller.
type counters struct {
	asks, unsent                            expvar.Int
	lent, borrowed                          expvar.Float
	leaseRequests, confirmed                expvar.Int
	tableReads, tableWrites, tableConflicts expvar.Int
	tableUnknown, invalidTables             expvar.Int
}

// Vars returns the counters for publication:
//
//   - refused: requests refused with RateExceeded
//   - waited, waited_admitted: requests that waited for tokens, and those of them
//     that got some
//   - asks: transfers asked for; tokens_lent, tokens_borrowed: tokens given and
//     received in transfers, late answers included
//   - unsent: messages that could not be queued
//   - lease_requests, leases_confirmed: lease messages sent as lessee and as lessor
//   - table_reads, table_writes: calls of the platform
//   - table_conflicts, table_unknown: writes that lost a race, and writes whose
//     answer was lost
//   - invalid_tables: tables whose parts do not add up
func (c *Controller) Vars() *expvar.Map {
	all := new(expvar.Map)
	k := &c.counters
	for name, v := range map[string]expvar.Var{
		"refused": &c.taker.Refused, "waited": &c.taker.Waited, "waited_admitted": &c.taker.WaitedAdmitted,
		"asks": &k.asks, "unsent": &k.unsent, "tokens_lent": &k.lent, "tokens_borrowed": &k.borrowed,
		"lease_requests": &k.leaseRequests, "leases_confirmed": &k.confirmed,
		"table_reads": &k.tableReads, "table_writes": &k.tableWrites, "table_conflicts": &k.tableConflicts,
		"table_unknown": &k.tableUnknown, "invalid_tables": &k.invalidTables,
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

// Dump returns who owns each part of the zone, the table versions, the buckets and
// the last decision with its reason.
func (c *Controller) Dump() Dump {
	d := Dump{Self: c.self.Name, Dump: c.node.Dump(c.clock.Now()), Versions: map[ident.AvailabilityZone]uint64{}}
	for zone, t := range c.Tables() {
		d.Versions[zone] = uint64(t.Version)
	}
	return d
}
