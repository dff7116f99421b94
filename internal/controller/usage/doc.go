// Package usage reports to the platform how many requests of each organisation the upstreams
// began to run in each window of time. Package core/usage holds the decisions.
//
// Every VM counts the requests that it executes and sends the totals to the first live hub by
// rendezvous hash. That VM closes a window once all live sources have completed it, records
// the counts in the store and then calls the platform. docs/design/usage.md describes what
// happens when a part of this fails.
package usage
