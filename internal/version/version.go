// Package version holds the version of the binaries.
package version

// Version is the released version of all rosemarywall binaries.
const Version = "0.1.0"
