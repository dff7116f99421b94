// Package soak runs the real program as separate processes on loopback, injects
// faults from outside, and checks what the product promises from what callers and
// upstreams see.
//
// A run is described by a seed: the plan of faults, which come in series and overlap,
// and the work of the callers follow from it. Each VM is a process that is paused,
// killed, stopped and started by signals. Its paths to the store, to the duty calls
// and to the upstreams lead through proxies that delay, reset, silence and cut one
// way. The stand-ins of the store and of the upstreams lose answers, forget, crash and
// fall behind.
//
// Checks: no acknowledged write is lost; no write takes effect twice; a refusal that
// promises that nothing is kept is true; sessions see their own writes, reads of
// primary routes every acknowledged one, and bounded reads those that are older than
// the bound; session values hold; a withdrawn key stops in time; a rate holds in every
// window; service returns after the last fault; a request that a VM has read is answered
// around the VM's planned stop, reload or change of configuration, and the VM ends within the
// grace time; members run, byte for byte, only what clients sent before a message with invalid
// boundaries, which gets its error and ends the connection.
package soak
