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

// ballot identifies the acknowledgements of a proposal that one acceptor may count.
type ballot struct {
	Version ident.ConfigurationVersion `cbor:"1,keyasint" json:"version"`
	Attempt uint64                     `cbor:"2,keyasint" json:"attempt"`
}

func (b ballot) after(other ballot) bool {
	return b.Version > other.Version || b.Version == other.Version && b.Attempt > other.Attempt
}

// notice tells a VM that something newer may be asked for.
type notice struct {
	Accepted ident.ConfigurationVersion `cbor:"1,keyasint"`
	Proposal ballot                     `cbor:"2,keyasint"`
}

// stateRequest asks a VM for what it knows. It also states what the asker knows, and
// thereby acknowledges the proposal to a watcher of the asker's zone.
type stateRequest struct {
	// SentAt is the asker's time; the answer repeats it together with the asker's
	// incarnation, so that an answer to an earlier life is recognised.
	SentAt          time.Duration              `cbor:"1,keyasint"`
	Incarnation     ident.Incarnation          `cbor:"2,keyasint"`
	Accepted        ident.ConfigurationVersion `cbor:"3,keyasint"`
	Pending         ident.ConfigurationVersion `cbor:"4,keyasint"`
	Proposal        ballot                     `cbor:"5,keyasint"`
	TableVersionSum uint64                     `cbor:"6,keyasint"` // sum of the table versions
	IncludeVersions bool                       `cbor:"7,keyasint,omitempty"`
}

type stateResponse struct {
	Asked       time.Duration              `cbor:"1,keyasint"`
	Incarnation ident.Incarnation          `cbor:"2,keyasint"`
	Attestation freshness.Attestation      `cbor:"3,keyasint"`
	Accepted    ident.ConfigurationVersion `cbor:"4,keyasint"`
	Proposal    ballot                     `cbor:"5,keyasint"`
	// Reading is the newest platform reading, made ReadingAge before the answer.
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

// versionReport is the version that a VM has stated, and when.
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
		if err := cbor.Unmarshal(body, &message); err != nil {
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

// sendRequests sends a question to each VM.
func (c *Controller) sendRequests(versions bool, members ...peer.Member) {
	c.mu.Lock()
	q := stateRequest{SentAt: c.clock.Now(), Incarnation: c.mesh.Self().Incarnation, Accepted: c.state.Version(),
		Pending: c.state.Pending(), Proposal: c.proposal.ballot, TableVersionSum: c.tableVersionSum(), IncludeVersions: versions}
	c.mu.Unlock()
	for _, member := range members {
		c.send(member.Name, kindRequest, q)
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
		// The question to the watchers acknowledges the proposal.
		c.sendRequests(false, append(c.otherWatchersOfZone(from.Name), from)...)
	}
}

func (c *Controller) onRequest(from peer.Member, q stateRequest) {
	if highest := max(q.Accepted, q.Proposal.Version); highest > c.highest() {
		c.update(func() { c.state.Learn(highest) })
	}
	a := c.recordRequest(from, q)
	c.send(from.Name, kindResponse, a)
	c.signalAcknowledger()
}

func (c *Controller) highest() ident.ConfigurationVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Highest()
}

// recordRequest notes what the asker states and returns the answer. Neither
// changes what requests are decided by.
func (c *Controller) recordRequest(from peer.Member, q stateRequest) stateResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.versionReports[from.Name] = versionReport{q.Accepted, now}
	if from.Zone == c.mesh.Self().Zone && q.Proposal.after(c.vmAcks[from.Name]) {
		c.vmAcks[from.Name] = q.Proposal
	}
	return c.responseTo(q, now)
}

// responseTo states what this VM knows and adds what the asker lacks. The caller holds the lock.
func (c *Controller) responseTo(q stateRequest, now time.Duration) stateResponse {
	a := stateResponse{Asked: q.SentAt, Incarnation: q.Incarnation, Attestation: c.state.Attestation(), Accepted: c.state.Version(), Proposal: c.proposal.ballot}
	if r := c.state.LastReading(); r.At >= 0 {
		a.HasReading, a.ReadVersions, a.ReadingAge = true, [2]ident.ConfigurationVersion{r.Accepted, r.Proposal}, now-r.At
	}
	// A recent reading proves more than summaries, which cost a pass over all VMs.
	if now-c.state.LastReading().At > attestationAge {
		a.ZoneSummaries = c.state.ZoneSummaries(now, q.Accepted)
		if q.Pending != q.Accepted {
			a.ZoneSummaries = append(a.ZoneSummaries, c.state.ZoneSummaries(now, q.Pending)...)
		}
	}
	// A VM that holds the proposal adopts it by its version alone.
	if q.Accepted < c.state.Version() && q.Pending != c.state.Version() {
		a.Configuration = configuration.Encode(c.current.configuration)
	}
	if c.proposal.note != nil && q.Pending < c.proposal.Version && c.proposal.Version == c.state.Version()+1 {
		a.Note, a.Digest = c.proposal.note, c.proposal.digest
	}
	if q.TableVersionSum != c.tableVersionSum() {
		a.Tables = c.tables()
	}
	if q.IncludeVersions {
		a.Versions = c.recentVersions(now)
	}
	return a
}

func (c *Controller) onResponse(from peer.Member, a stateResponse) {
	if a.Incarnation != c.mesh.Self().Incarnation || a.Attestation.VM != from.Name || a.Attestation.Zone != from.Zone {
		return
	}
	var news outgoingNotice
	c.update(func() {
		before := c.knownVersions()
		for zone, table := range a.Tables {
			c.state.SetTable(zone, table)
		}
		c.acceptConfiguration(a)
		c.learnProposal(proposal{ballot: a.Proposal, note: a.Note, digest: a.Digest})
		c.state.RecordAttestation(a.Attestation, a.Asked)
		for _, summary := range a.ZoneSummaries {
			c.state.RecordZoneSummary(summary, a.Asked)
		}
		if a.HasReading {
			c.state.RecordReading(freshness.Reading{Accepted: a.ReadVersions[0], Proposal: a.ReadVersions[1], At: a.Asked - a.ReadingAge})
		}
		c.versionReports[from.Name] = versionReport{a.Accepted, c.clock.Now()}
		for vm, version := range a.Versions {
			if version >= c.versionReports[vm].version {
				c.versionReports[vm] = versionReport{version, c.clock.Now()}
			}
		}
		news = c.noticeSince(before)
	})
	c.broadcast(news, false)
}
