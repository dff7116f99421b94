// Package objectapi is the client of the platform's object API: versioned
// objects, conditional updates, watches and the lagging list of VMs.
//
// Every call counts against the platform's quota, a waiting watch as one; the
// client counts its calls by kind. A conditional update whose answer is lost may
// have taken effect: writers put a unique identifier into the value, read the
// object back and compare.
package objectapi
