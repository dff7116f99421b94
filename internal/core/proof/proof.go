// Package proof decides since when a VM's copies of the store's contents are proved current.
//
// A read of the store proves a version as of the time at which its request was sent. VMs
// pass proofs on with their age, and the receiver dates them on its own clock. A proof that
// was passed on over any number of VMs, with restarts, pauses and delayed responses, is
// never dated later than the read of the store that it comes from. A VM that has just
// started may so receive a proof that is older than itself.
package proof

import (
	"github.com/rosemarywall/rosemarywall/internal/core/instant"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Configuration is the version of the configuration in force and its latest proof. The zero
// value is that of a VM without a configuration. It is not safe for concurrent use.
type Configuration struct {
	version  ident.ConfigurationVersion
	provedAt instant.Instant
}

// Install records a version that was read. provedAt is the time as of which the read proves
// it current, Never if it proves nothing. older is set if a newer version is in force, so
// that the read is ignored, and changed if the version was not in force before.
func (c *Configuration) Install(version ident.ConfigurationVersion, provedAt instant.Instant) (older, changed bool) {
	if version < c.version {
		return true, false
	}
	changed = version > c.version
	c.version, c.provedAt = version, instant.Latest(c.provedAt, provedAt)
	return false, changed
}

// Observe records the proof of another VM. It counts if it is one of the version in force.
func (c *Configuration) Observe(version ident.ConfigurationVersion, provedAt instant.Instant) {
	if version > 0 && version == c.version {
		c.provedAt = instant.Latest(c.provedAt, provedAt)
	}
}

// Version returns the version in force, zero without one.
func (c *Configuration) Version() ident.ConfigurationVersion { return c.version }

// ProvedAt returns the time of the latest proof.
func (c *Configuration) ProvedAt() instant.Instant { return c.provedAt }
