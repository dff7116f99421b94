// Command standin3 plays the scripted cases of the third review. It starts the processes of the
// deploy file on loopback addresses, with stand-ins for the platform, the members and the
// requesters, and checks one rule from what these have seen.
//
// The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main
