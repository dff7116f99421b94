// Package operator implements the commands of rosemarywallctl. They talk to the
// administration address of any VM.
//
// Exit statuses: 0 done, 1 refused or failed without effect, 2 wrong usage, 3 the
// outcome is open (a note that may still be accepted, or an answer that was lost).
package operator
