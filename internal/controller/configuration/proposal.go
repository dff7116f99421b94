package configcontroller

import (
	"bytes"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/freshness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// proposal is a proposal as known to this VM. The content of a version never changes;
// only the attempt and the acceptor do.
type proposal struct {
	ballot
	note     []byte // nil while the content is unknown
	digest   []byte
	acceptor ident.VMName // empty when learned from a peer
}

// learnProposal records a proposal and makes it the pending one if its content is
// known. The caller holds c.mu.
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

// preparePending computes the configuration of the known proposal. If its digest
// differs, because another version of the program computed the original, it is not
// used, and this VM receives the full configuration after the acceptance. The caller
// holds c.mu.
func (c *Controller) preparePending() {
	p := c.proposal
	if p.note == nil || p.Version != c.state.Version()+1 || c.state.Pending() == p.Version {
		return
	}
	next, err := applyNote(c.current.configuration, p.note)
	if err != nil || !bytes.Equal(configuration.Digest(next), p.digest) {
		c.vars.Add("proposals_not_applicable", 1)
		c.log.Warn().Uint64("version", uint64(p.Version)).Err(err).Msg("proposal cannot be applied on this VM")
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

// acceptVersion adopts an accepted version if it is the pending one or if its encoded
// configuration is given. The caller holds c.mu.
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

func (c *Controller) acceptConfiguration(resp stateResponse) {
	c.acceptVersion(resp.Accepted, resp.Configuration)
}

// knownVersions is the state of which other VMs are notified.
type knownVersions struct {
	accepted ident.ConfigurationVersion
	ballot   ballot
}

func (c *Controller) knownVersions() knownVersions {
	return knownVersions{c.state.Version(), c.proposal.ballot}
}

// outgoingNotice is a notice that is sent if due is true.
type outgoingNotice struct {
	notice
	due bool
}

func (c *Controller) noticeSince(before knownVersions) outgoingNotice {
	now := c.knownVersions()
	return outgoingNotice{notice{now.accepted, now.ballot}, now != before}
}

// broadcast sends a notice to the VMs of this VM's zone if this VM is a watcher or the
// information comes from the platform. In the latter case it also notifies the
// watchers of the other zones.
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

// tables returns the known share tables, without those made of the membership view.
func (c *Controller) tables() map[ident.AvailabilityZone]freshness.Table {
	tables := map[ident.AvailabilityZone]freshness.Table{}
	for _, zone := range c.state.ZonesWithTable() {
		if table := c.state.Table(zone); table.Version > 0 {
			tables[zone] = table
		}
	}
	return tables
}

// versionReportTTL is the time after which the last report of a VM is ignored.
const versionReportTTL = 5 * time.Second

// recentVersions returns the recently reported versions of VMs, including this one.
func (c *Controller) recentVersions(now time.Duration) map[ident.VMName]ident.ConfigurationVersion {
	versions := map[ident.VMName]ident.ConfigurationVersion{c.mesh.Self().Name: c.state.Version()}
	for vm, r := range c.versionReports {
		if now-r.at < versionReportTTL {
			versions[vm] = r.version
		}
	}
	return versions
}
