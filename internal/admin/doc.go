// Package admin serves the administration address of a process: liveness and
// readiness for the load balancer, expvar metrics, and a state dump.
//
//	GET /livez        200 while the process runs
//	GET /readyz       200 while new callers are welcome, else 503 with the reason
//	GET /debug/vars   expvar metrics
//	GET /debug/state  state of every component as JSON
//
// Components add their own handlers, for example for release notes.
package admin
