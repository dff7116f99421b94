// Package group is the client of the platform's member agents. Each upstream of
// a database group has one agent, which reports terms and log positions and
// carries out fencing and promotion. Calls to an agent are not database
// connections and do not count against an upstream's connection limit.
package group
