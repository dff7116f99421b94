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

// learnProposal notes a proposal and holds it when its content is known. The caller
// holds the lock.
func (c *Controller) learnProposal(p proposal) {
	if p.Version == 0 || p.Version < c.proposal.Version {
		return
	}
	if p.Version == c.proposal.Version && p.note == nil {
		p.note, p.digest = c.proposal.note, c.proposal.digest
	}
	if p.ballot.after(c.proposal.ballot) {
		c.ballotSince = c.clock.Now()
	}
	if p.ballot.after(c.proposal.ballot) || c.proposal.note == nil || p.acceptor != "" && p.ballot == c.proposal.ballot {
		c.proposal = p
	}
	c.state.Learn(p.Version)
	c.preparePending()
}

// preparePending computes the configuration of the known proposal. A result with another
// digest, made by a different version of the program, is not used; such a VM
// takes the full configuration after the acceptance. The caller holds the lock.
func (c *Controller) preparePending() {
	p := c.proposal
	if p.note == nil || p.Version != c.state.Version()+1 || c.state.Pending() == p.Version {
		return
	}
	next, err := applyNote(c.current.configuration, p.note)
	if err != nil || !bytes.Equal(configuration.Digest(next), p.digest) {
		c.vars.Add("proposals_not_applicable", 1)
		c.log.Warn().Uint64("version", uint64(p.Version)).Err(err).Msg("proposal does not apply here")
		return
	}
	c.pending = newPolicy(next, c.mesh.Self().Zone)
	c.state.SetPending(next.Version, zonesOf(next))
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

// acceptVersion adopts an accepted version that is held already, or whose encoding is
// given. The caller holds the lock.
func (c *Controller) acceptVersion(version ident.ConfigurationVersion, encoded []byte) {
	c.state.Learn(version)
	if version <= c.state.Version() {
		return
	}
	if c.pending != nil && c.pending.configuration.Version == version {
		c.adopt(c.pending.configuration)
		c.preparePending()
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
	c.preparePending()
}

func (c *Controller) acceptConfiguration(a stateResponse) {
	c.acceptVersion(a.Accepted, a.Configuration)
}

// knownVersions is what is worth telling other VMs.
type knownVersions struct {
	accepted ident.ConfigurationVersion
	ballot   ballot
}

func (c *Controller) knownVersions() knownVersions {
	return knownVersions{c.state.Version(), c.proposal.ballot}
}

// outgoingNotice is a notice to send, if any.
type outgoingNotice struct {
	notice
	due bool
}

func (c *Controller) noticeSince(before knownVersions) outgoingNotice {
	now := c.knownVersions()
	return outgoingNotice{notice{now.accepted, now.ballot}, now != before}
}

// broadcast sends a notice to the VMs of the own zone if this VM is a watcher, and
// to the watchers of the other zones if it learned the news from the platform.
func (c *Controller) broadcast(n outgoingNotice, fromPlatform bool) {
	if !n.due {
		return
	}
	var to []peer.Member
	if _, watcher := c.watcherRank(); watcher || fromPlatform {
		to = c.zonePeers()
	}
	if fromPlatform {
		to = append(to, c.watchersOfOtherZones()...)
	}
	for _, member := range to {
		c.send(member.Name, kindNotice, n.notice)
	}
	c.signalAcknowledger()
}

func (c *Controller) tableVersionSum() uint64 {
	var sum uint64
	for _, zone := range c.state.ZonesWithTable() {
		sum += c.state.Table(zone).Version
	}
	return sum
}

// tables returns the share tables that are known, without those of the membership view.
func (c *Controller) tables() map[ident.AvailabilityZone]freshness.Table {
	tables := map[ident.AvailabilityZone]freshness.Table{}
	for _, zone := range c.state.ZonesWithTable() {
		if table := c.state.Table(zone); table.Version > 0 {
			tables[zone] = table
		}
	}
	return tables
}

// versionReportTTL is the time after which a VM that reports no more is left out of the status.
const versionReportTTL = 5 * time.Second

// recentVersions returns the versions that VMs reported recently, this VM's included.
func (c *Controller) recentVersions(now time.Duration) map[ident.VMName]ident.ConfigurationVersion {
	versions := map[ident.VMName]ident.ConfigurationVersion{c.mesh.Self().Name: c.state.Version()}
	for vm, r := range c.versionReports {
		if now-r.at < versionReportTTL {
			versions[vm] = r.version
		}
	}
	return versions
}
