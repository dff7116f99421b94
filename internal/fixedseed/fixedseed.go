// Package fixedseed makes property tests repeatable: importing it in a test sets the
// seed of pgregory.net/rapid, unless -rapid.seed gives another one.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// Seed is the seed of all property tests.
const Seed = "20261204"

func init() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set(Seed)
	}
}
