// Package filter defines the request that passes through the filter chain and
// the errors by which filters refuse it. Each filter is a package of its own with
// New(next, cfg). The chain is
//
//	authorise -> limit -> route -> queue -> forward
//
// Route stands before queue, because the queue belongs to the upstream that route
// chooses. A request whose session holds a lease (an open transaction) passes
// route and queue unchanged.
//
// Invariants: a filter that returns an error other than *Retry has refused the
// request with a result code, or has passed on the upstream's own error; *Retry
// means that the request had no effect and that nothing was passed on.
package filter
