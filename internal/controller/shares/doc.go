// Package sharecontroller runs the rate escrow of a VM: it connects package shares
// (internal/core/shares) with the mesh, the platform and the configuration, and
// implements request.Limiter for the data plane.
//
// Messages: share-ask and share-grant carry transfers of tokens, share-lease and
// share-confirm the leases on share units, share-table a table and share-want the
// request for tables. The piggyback share-versions carries table versions, so that a
// VM with an older table requests the newer one from the sender.
//
// The platform object share-table/<zone> is changed only by conditional updates.
// When the response to an update is lost the object is read back and its writer is
// compared; until the table has changed, package shares treats the update as
// unresolved. The two watchers of each zone watch the tables of all zones. Other VMs
// read the platform only at start, before a change of their own, while their lease has
// expired, and while they have no lessor. SetListedVMs records the platform's list of
// VMs, which proves that a VM was removed.
//
// Invariants. Take admits only tokens that package shares has issued. A request that
// finds tokens in its bucket takes no lock but the bucket's. Take waits at most
// ratelimit.MaxWait.
package sharecontroller
