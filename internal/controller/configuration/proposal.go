package configcontroller

import (
	"bytes"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/freshness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// proposal is what this VM knows about the highest proposal. A proposal's content
// never changes; only its attempt and acceptor do.
type proposal struct {
	ballot
	note     []byte // nil while the content is unknown
	digest   []byte
	acceptor ident.VMName // empty when learned from a peer
}

// learn notes a proposal and holds it when its content is known. The caller
// holds the lock.
func (c *Controller) learn(p proposal) {
	if p.Version == 0 || p.Version < c.known.Version {
		return
	}
	if p.Version == c.known.Version && p.note == nil {
		p.note, p.digest = c.known.note, c.known.digest
	}
	if p.ballot.after(c.known.ballot) {
		c.since = c.clock.Now()
	}
	if p.ballot.after(c.known.ballot) || c.known.note == nil || p.acceptor != "" && p.ballot == c.known.ballot {
		c.known = p
	}
	c.core.Learn(p.Version)
	c.hold()
}

// hold computes the configuration of the known proposal. A result with another
// digest, made by a different version of the program, is not used; such a VM
// takes the full configuration after the acceptance. The caller holds the lock.
func (c *Controller) hold() {
	p := c.known
	if p.note == nil || p.Version != c.core.Version()+1 || c.core.Pending() == p.Version {
		return
	}
	next, err := applyNote(c.current.configuration, p.note)
	if err != nil || !bytes.Equal(configuration.Digest(next), p.digest) {
		c.vars.Add("proposals_not_applicable", 1)
		c.log.Warn().Uint64("version", uint64(p.Version)).Err(err).Msg("proposal does not apply here")
		return
	}
	c.held = newView(next, c.mesh.Self().Zone)
	c.core.SetPending(next.Version, zonesOf(next))
}

func applyNote(current *configuration.Configuration, text []byte) (*configuration.Configuration, error) {
	note, problems := configuration.ParseNote("note", text)
	if note == nil {
		return nil, problems
	}
	next, _, problems := configuration.Apply(current, note)
	if next == nil {
		return nil, problems
	}
	return next, nil
}

// accept adopts an accepted version that is held already, or whose encoding is
// given. The caller holds the lock.
func (c *Controller) accept(version ident.ConfigurationVersion, encoded []byte) {
	c.core.Learn(version)
	if version <= c.core.Version() {
		return
	}
	if c.held != nil && c.held.configuration.Version == version {
		c.adopt(c.held.configuration)
		c.hold()
		return
	}
	if len(encoded) == 0 {
		return
	}
	next, err := configuration.Decode(encoded)
	if err != nil || next.Version != version {
		c.vars.Add("configurations_malformed", 1)
		return
	}
	c.adopt(next)
	c.hold()
}

func (c *Controller) takeConfiguration(a answer) { c.accept(a.Accepted, a.Full) }

// knowledge is what is worth telling other VMs.
type knowledge struct {
	accepted ident.ConfigurationVersion
	ballot   ballot
}

func (c *Controller) knowledge() knowledge { return knowledge{c.core.Version(), c.known.ballot} }

// news is a notice to send, if any.
type news struct {
	notice
	any bool
}

func (c *Controller) newsSince(before knowledge) news {
	now := c.knowledge()
	return news{notice{now.accepted, now.ballot}, now != before}
}

// fanOut sends a notice to the VMs of the own zone if this VM is a watcher, and
// to the watchers of the other zones if it learned the news from the platform.
func (c *Controller) fanOut(n news, fromPlatform bool) {
	if !n.any {
		return
	}
	var to []peer.Member
	if _, watcher := c.rank(); watcher || fromPlatform {
		to = c.ownZone()
	}
	if fromPlatform {
		to = append(to, c.otherWatchers()...)
	}
	for _, member := range to {
		c.send(member.Name, kindNotice, n.notice)
	}
	c.wakeAcknowledger()
}

func (c *Controller) tableVersions() uint64 {
	var sum uint64
	for _, zone := range c.core.ZonesWithTable() {
		sum += c.core.Table(zone).Version
	}
	return sum
}

// tables returns the share tables that are known, without those of the membership view.
func (c *Controller) tables() map[ident.AvailabilityZone]freshness.Table {
	tables := map[ident.AvailabilityZone]freshness.Table{}
	for _, zone := range c.core.ZonesWithTable() {
		if table := c.core.Table(zone); table.Version > 0 {
			tables[zone] = table
		}
	}
	return tables
}

// versionMemory is the time after which a VM that reports no more is left out of the status.
const versionMemory = 5 * time.Second

// freshVersions returns the versions that VMs reported recently, this VM's included.
func (c *Controller) freshVersions(now time.Duration) map[ident.VMName]ident.ConfigurationVersion {
	versions := map[ident.VMName]ident.ConfigurationVersion{c.mesh.Self().Name: c.core.Version()}
	for vm, r := range c.versions {
		if now-r.at < versionMemory {
			versions[vm] = r.version
		}
	}
	return versions
}
