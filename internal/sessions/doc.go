// Package sessions holds golden files of whole caller sessions: both sides of the
// wire, one message a line, against real entry VMs and the stand-ins, each session
// under the fault against which its promise must hold. Fields that are random by
// design (the cancel key) are masked; everything else is compared byte for byte.
//
// Rewrite the files with go test ./internal/sessions -update.
package sessions
