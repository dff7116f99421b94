// Package ident defines the domain types that all components share: names of
// organisations, availability zones, VMs, database groups and upstreams, and
// points in a group's replicated log.
package ident
