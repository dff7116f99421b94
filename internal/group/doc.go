// Package group is the client of the platform's member agents. Each upstream of a
// database group has one agent, which reports terms and log positions and performs
// fencing and promotion. Calls to an agent are not database connections and do not
// count towards the connection limit of the upstream.
package group
