package configcontroller

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/freshness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
)

// Kinds of messages between VMs.
const (
	kindNotice   peer.Kind = "configuration.notice"
	kindRequest  peer.Kind = "configuration.question"
	kindResponse peer.Kind = "configuration.answer"
)

// ballot identifies an attempt to accept a proposal. An acceptor counts only the
// acknowledgements of its own ballot.
type ballot struct {
	Version ident.ConfigurationVersion `cbor:"1,keyasint" json:"version"`
	Attempt uint64                     `cbor:"2,keyasint" json:"attempt"`
}

func (b ballot) after(other ballot) bool {
	return b.Version > other.Version || b.Version == other.Version && b.Attempt > other.Attempt
}

// notice notifies a VM of a newer version or ballot, which it may then request.
type notice struct {
	Accepted ident.ConfigurationVersion `cbor:"1,keyasint"`
	Proposal ballot                     `cbor:"2,keyasint"`
}

// stateRequest requests the state of a VM. It also contains the state of the sender and
// thereby acknowledges the proposal to a watcher of the sender's zone.
type stateRequest struct {
	// SentAt is the time on the sender's clock. The response repeats it together with
	// the sender's incarnation, which identifies responses to an earlier incarnation.
	SentAt          time.Duration              `cbor:"1,keyasint"`
	Incarnation     ident.Incarnation          `cbor:"2,keyasint"`
	Accepted        ident.ConfigurationVersion `cbor:"3,keyasint"`
	Pending         ident.ConfigurationVersion `cbor:"4,keyasint"`
	Proposal        ballot                     `cbor:"5,keyasint"`
	TableVersionSum uint64                     `cbor:"6,keyasint"`
	IncludeVersions bool                       `cbor:"7,keyasint,omitempty"`
}

// stateResponse contains the state of a VM and what the sender of the request lacks.
type stateResponse struct {
	SentAt      time.Duration              `cbor:"1,keyasint"`
	Incarnation ident.Incarnation          `cbor:"2,keyasint"`
	Attestation freshness.Attestation      `cbor:"3,keyasint"`
	Accepted    ident.ConfigurationVersion `cbor:"4,keyasint"`
	Proposal    ballot                     `cbor:"5,keyasint"`
	// HasReading, ReadVersions and ReadingAge describe the newest platform reading.
	// ReadingAge is its age when the response is sent.
	HasReading    bool                                        `cbor:"6,keyasint,omitempty"`
	ReadVersions  [2]ident.ConfigurationVersion               `cbor:"7,keyasint,omitempty"` // accepted, proposal
	ReadingAge    time.Duration                               `cbor:"8,keyasint,omitempty"`
	ZoneSummaries []freshness.ZoneSummary                     `cbor:"9,keyasint,omitempty"`
	Configuration []byte                                      `cbor:"10,keyasint,omitempty"` // accepted configuration
	Note          []byte                                      `cbor:"11,keyasint,omitempty"` // note of the proposal
	Digest        []byte                                      `cbor:"12,keyasint,omitempty"` // of the proposed configuration
	Tables        map[ident.AvailabilityZone]freshness.Table  `cbor:"13,keyasint,omitempty"`
	Versions      map[ident.VMName]ident.ConfigurationVersion `cbor:"14,keyasint,omitempty"`
}

// versionReport is the version that a VM reported, and the time of the report.
type versionReport struct {
	version ident.ConfigurationVersion
	at      time.Duration
}

func (c *Controller) registerMessages() {
	c.mesh.Handle(kindNotice, receive(c, c.onNotice))
	c.mesh.Handle(kindRequest, receive(c, c.onRequest))
	c.mesh.Handle(kindResponse, receive(c, c.onResponse))
}

func receive[T any](c *Controller, handle func(peer.Member, T)) func(peer.Member, cbor.RawMessage) {
	return func(from peer.Member, body cbor.RawMessage) {
		var message T
		if err := peer.Decode(body, &message); err != nil {
			c.vars.Add("messages_malformed", 1)
			return
		}
		handle(from, message)
	}
}

func (c *Controller) send(to ident.VMName, kind peer.Kind, body any) {
	if err := c.mesh.Send(context.Background(), to, kind, body); err != nil {
		c.vars.Add("sends_failed", 1)
		return
	}
	c.vars.Add("sends", 1)
}

// sendRequests sends a request to each VM. versions also requests the versions of
// other VMs.
func (c *Controller) sendRequests(versions bool, members ...peer.Member) {
	c.mu.Lock()
	req := stateRequest{SentAt: c.clock.Now(), Incarnation: c.mesh.Self().Incarnation, Accepted: c.state.Version(),
		Pending: c.state.Pending(), Proposal: c.proposal.ballot, TableVersionSum: c.tableVersionSum(), IncludeVersions: versions}
	c.mu.Unlock()
	for _, member := range members {
		c.send(member.Name, kindRequest, req)
	}
}

func (c *Controller) onNotice(from peer.Member, n notice) {
	newer := false
	c.update(func() {
		newer = n.Accepted > c.state.Version() || n.Proposal.after(c.proposal.ballot)
		c.state.Learn(max(n.Accepted, n.Proposal.Version))
		c.learnProposal(proposal{ballot: n.Proposal})
	})
	if newer {
		// The request to the watchers acknowledges the proposal.
		c.sendRequests(false, append(c.otherWatchersOfZone(from.Name), from)...)
	}
}

func (c *Controller) onRequest(from peer.Member, req stateRequest) {
	if highest := max(req.Accepted, req.Proposal.Version); highest > c.highest() {
		c.update(func() { c.state.Learn(highest) })
	}
	resp := c.recordRequest(from, req)
	c.send(from.Name, kindResponse, resp)
	c.signalAcknowledger()
}

func (c *Controller) highest() ident.ConfigurationVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Highest()
}

// recordRequest records the state of the sender and returns the response. It does not
// publish a snapshot, because the checks of client requests do not depend on it.
func (c *Controller) recordRequest(from peer.Member, req stateRequest) stateResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.versionReports[from.Name] = versionReport{req.Accepted, now}
	if from.Zone == c.mesh.Self().Zone && req.Proposal.after(c.vmAcks[from.Name]) {
		c.vmAcks[from.Name] = req.Proposal
	}
	return c.responseTo(req, now)
}

// responseTo returns the response to a request. The caller holds c.mu.
func (c *Controller) responseTo(req stateRequest, now time.Duration) stateResponse {
	resp := stateResponse{SentAt: req.SentAt, Incarnation: req.Incarnation, Attestation: c.state.Attestation(), Accepted: c.state.Version(), Proposal: c.proposal.ballot}
	if r := c.state.LastReading(); r.At >= 0 {
		resp.HasReading, resp.ReadVersions, resp.ReadingAge = true, [2]ident.ConfigurationVersion{r.Accepted, r.Proposal}, now-r.At
	}
	// Summaries cost a pass over all VMs and prove less than a recent reading.
	if now-c.state.LastReading().At > attestationAge {
		resp.ZoneSummaries = c.state.ZoneSummaries(now, req.Accepted)
		if req.Pending != req.Accepted {
			resp.ZoneSummaries = append(resp.ZoneSummaries, c.state.ZoneSummaries(now, req.Pending)...)
		}
	}
	// A VM that has the pending proposal needs only its version to adopt it.
	if req.Accepted < c.state.Version() && req.Pending != c.state.Version() {
		resp.Configuration = configuration.Encode(c.current.configuration)
	}
	if c.proposal.note != nil && req.Pending < c.proposal.Version && c.proposal.Version == c.state.Version()+1 {
		resp.Note, resp.Digest = c.proposal.note, c.proposal.digest
	}
	if req.TableVersionSum != c.tableVersionSum() {
		resp.Tables = c.tables()
	}
	if req.IncludeVersions {
		resp.Versions = c.recentVersions(now)
	}
	return resp
}

func (c *Controller) onResponse(from peer.Member, resp stateResponse) {
	if resp.Incarnation != c.mesh.Self().Incarnation || resp.Attestation.VM != from.Name || resp.Attestation.Zone != from.Zone {
		return
	}
	var out outgoingNotice
	c.update(func() {
		before := c.knownVersions()
		for zone, table := range resp.Tables {
			c.state.SetTable(zone, table)
		}
		c.acceptConfiguration(resp)
		c.learnProposal(proposal{ballot: resp.Proposal, note: resp.Note, digest: resp.Digest})
		c.state.RecordAttestation(resp.Attestation, resp.SentAt)
		for _, summary := range resp.ZoneSummaries {
			c.state.RecordZoneSummary(summary, resp.SentAt)
		}
		if resp.HasReading {
			c.state.RecordReading(freshness.Reading{Accepted: resp.ReadVersions[0], Proposal: resp.ReadVersions[1], At: resp.SentAt - resp.ReadingAge})
		}
		c.versionReports[from.Name] = versionReport{resp.Accepted, c.clock.Now()}
		for vm, version := range resp.Versions {
			if version >= c.versionReports[vm].version {
				c.versionReports[vm] = versionReport{version, c.clock.Now()}
			}
		}
		out = c.noticeSince(before)
	})
	c.broadcast(out, false)
}
