// Package ident defines the identifiers that all components share: the names of
// organisations, availability zones, VMs, database groups and upstreams, and the
// positions in the replicated log of a group.
package ident
