// Package proof decides since when a VM's copies of the store's contents are proved current.
//
// A read of the store proves a version as of the time at which its request was sent. VMs
// pass proofs on with their age, and the receiver dates them on its own clock. A proof that
// was passed on over any number of VMs, with restarts, pauses and delayed responses, is
// never dated later than the read of the store that it comes from. A VM that has just
// started may so receive a proof that is older than itself.
package proof

import (
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/instant"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
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

// Observe records the proof of another VM. It counts only if it proves the version in force.
func (c *Configuration) Observe(version ident.ConfigurationVersion, provedAt instant.Instant) {
	if version > 0 && version == c.version {
		c.provedAt = instant.Latest(c.provedAt, provedAt)
	}
}

// Version returns the version in force, zero without one.
func (c *Configuration) Version() ident.ConfigurationVersion { return c.version }

// ProvedAt returns the time of the latest proof.
func (c *Configuration) ProvedAt() instant.Instant { return c.provedAt }

// Views holds the proofs of the lists of a VM, by the kind of their objects. It is not safe
// for concurrent use.
type Views struct {
	provedAt  map[objectapi.Kind]instant.Instant
	settledAt instant.Instant
}

// NewViews returns views without proofs.
func NewViews() Views { return Views{provedAt: map[objectapi.Kind]instant.Instant{}} }

// DistrustUntil records that the store's contents prove nothing before a time. It reports
// whether this extends the distrust.
func (v *Views) DistrustUntil(settledAt instant.Instant) bool {
	if !settledAt.After(v.settledAt) {
		return false
	}
	v.settledAt = settledAt
	return true
}

// SettledAt returns the time from which the store's contents are trusted, Never if they were
// trusted from the start.
func (v *Views) SettledAt() instant.Instant { return v.settledAt }

// Unsettled returns the time for which the store's contents are not trusted yet.
func (v *Views) Unsettled(now time.Duration) time.Duration {
	passed, _ := v.settledAt.Age(now)
	return max(0, -passed)
}

// Prove records that the view of a kind was current at a time. A read of a store that lacks
// acknowledged changes proves nothing.
func (v *Views) Prove(kind objectapi.Kind, at instant.Instant) {
	if !v.settledAt.After(at) {
		v.provedAt[kind] = instant.Latest(v.provedAt[kind], at)
	}
}

// ProvedAt returns the time at which the views of all given kinds were last proved current.
func (v *Views) ProvedAt(kind objectapi.Kind, others ...objectapi.Kind) instant.Instant {
	at := v.provedAt[kind]
	for _, k := range others {
		at = instant.Earliest(at, v.provedAt[k])
	}
	return at
}
