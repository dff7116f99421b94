// Package objectapi is the client of the platform's object API: versioned objects,
// conditional updates, watches and the eventually consistent list of VMs.
//
// Every call counts towards the platform's quota, and a pending watch counts as one
// call; the client counts its calls by kind. A conditional update whose response is
// lost may have taken effect. Writers therefore store a unique identifier in the
// value, read the object back and compare the identifier.
package objectapi
