// Package sharecontroller drives the rate escrow of a VM: it connects the core in
// internal/core/shares with the mesh, the platform and the configuration, and
// serves the data plane as request.Limiter.
//
// Messages: share-ask and share-grant carry transfers of tokens, share-lease and
// share-confirm the leases on parts, share-table a table and share-want the request
// for tables. The piggyback share-versions names table versions, so that a VM that
// lacks a table asks the VM that has it.
//
// The platform object share-table/<zone> is changed only by conditional updates.
// When the answer to an update is lost the object is read back and compared by its
// writer; until the table has changed the core treats the update as unresolved.
// The two watchers of each zone watch the tables of all zones; other VMs read the
// platform only at start, before a change of their own, while their lease has
// lapsed, and while they have no lessor. SetListed takes the platform's list of VMs,
// which proves that a VM was removed.
//
// Invariants. Take admits only tokens that the core has given out. A request that
// finds tokens in its bucket takes no lock but the bucket's. Take waits at most
// MaxWait.
package sharecontroller
