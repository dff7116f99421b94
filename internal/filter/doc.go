// Package filter defines the request that the filter chain processes and the errors
// with which filters reject it. Each filter is a separate package with a New
// function, which takes the next filter. The chain is
//
//	authorise -> limit -> route -> queue -> forward
//
// Route comes before queue because each upstream has its own queue and route selects
// the upstream. Route and queue do nothing for a request whose session holds a lease
// (an open transaction).
//
// Invariants: a filter that returns *RetryableError guarantees that the request had no
// effect and that no response was forwarded to the client. With any other error, the
// filter rejects the request with a result code or has forwarded the upstream's error.
package filter
