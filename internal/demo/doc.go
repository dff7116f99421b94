// Package demo runs the whole system in one process on loopback and checks its
// main promises one after the other, a line for each outcome.
package demo
