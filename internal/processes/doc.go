// Package processes tests the shipped binaries as processes on loopback: settings
// files, mutual TLS and its reload, the operator command, signals, and a process
// that is paused and wakes.
package processes
