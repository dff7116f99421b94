// Package shares divides the rate and burst of every organisation among the VMs
// of the fleet, so that in any window w all VMs together admit at most
// rate*w + burst.
//
// Share units. Each availability zone has a fixed share of every rate, set by its
// weight. The zone's table divides it into 2^20 share units among VM incarnations.
// A Bucket accrues tokens at rate x share and holds at most burst x share.
//
// Leases. A VM uses its share units only while its lessor, another VM of the zone
// that the table names, has confirmed them within the last 10 s. The lessor removes
// a VM from the table only after it has confirmed nothing for LeaseDuration +
// GuardInterval, and confirms only while its own lease lasts or right after it has
// read the table. When a lease ends the VM's tokens are lost.
//
// A VM without a lessor, alone in its zone, obtains its lease by reading the table
// and then keeps it while it runs, so that a platform outage does not interrupt
// service. After a pause longer than the lease it reads the table first. Only the
// VM itself gives its row a lessor, or another VM with proof that it was removed:
// a complete list of the platform has named the VM since the observer knows the row
// and the newest list does not, or a later incarnation of the same name runs.
// LeaseDuration + GuardInterval must pass after that as well. Once the platform has
// listed a VM, it must list it until the VM has stopped. A row whose lessor was
// removed too is treated in the same way. A VM that the observer has never seen
// listed counts as not removed: its share units stay unused until a VM of the same
// name starts.
//
// Changes of the table are conditional updates. A VM gives share units away in two
// steps: it lowers its own use, waits until every loan has ended, and writes the
// table. While the result of a write is unknown the VM assumes that the write was
// stored wherever that is the conservative assumption, until the table has changed.
//
// Transfers. A bucket that falls below the expected demand of its horizon requests
// tokens from other VMs. The lender debits its bucket before it responds and keeps
// its capacity lowered until the loan has ended. The borrower credits a response
// once, within 500 ms of the request, and reports what it has spent or can no longer
// spend, so that the lender's capacity recovers early.
//
// Returns. A borrower gives back what its expected demand will not spend. It first stops
// using the tokens and then reports them; the lender credits each report once.
//
// Delegations. For an organisation whose share on one VM is less than a few operations, the
// VM that serves its demand requests the whole shares of the others: tokens, rate and
// burst. The borrower uses a share until LoanValidity after it sent the request; the lender
// accrues from LoanValidity after it received the request, and spends from
// delegationHoldTime after it. The borrower renews its requests while there is demand.
//
// Queue. Requests without tokens wait in the order of their priority classes and, within
// a class, of their arrival. A request is refused as soon as neither accrual nor loans can
// cover it and those before it by its deadline. While demand exceeds the rate a class
// leaves the tokens that higher ones are expected to need within reserveHorizon, and each
// lower class keeps guaranteedFraction of the rate.
//
// Invariants. Let T be the tokens of all buckets plus the borrowed tokens that can
// still be spent. T never exceeds the burst and grows at most by the rate, so the
// bound holds for every window. Lost, late, repeated and reordered messages only
// lower T. A restarted VM has no share units, and no tokens but those of
// Entitlement.InitialTokens and those accrued from Entitlement.AccrueFrom on.
package shares
