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
	kindQuestion peer.Kind = "configuration.question"
	kindAnswer   peer.Kind = "configuration.answer"
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

// question asks a VM for what it knows. It also states what the asker knows, and
// thereby acknowledges the proposal to a watcher of the asker's zone.
type question struct {
	// Asked is the asker's time; the answer repeats it together with the asker's
	// incarnation, so that an answer to an earlier life is recognised.
	Asked       time.Duration              `cbor:"1,keyasint"`
	Incarnation ident.Incarnation          `cbor:"2,keyasint"`
	Accepted    ident.ConfigurationVersion `cbor:"3,keyasint"`
	Held        ident.ConfigurationVersion `cbor:"4,keyasint"`
	Proposal    ballot                     `cbor:"5,keyasint"`
	Tables      uint64                     `cbor:"6,keyasint"` // sum of the table versions
	Versions    bool                       `cbor:"7,keyasint,omitempty"`
}

type answer struct {
	Asked       time.Duration              `cbor:"1,keyasint"`
	Incarnation ident.Incarnation          `cbor:"2,keyasint"`
	Self        freshness.Attestation      `cbor:"3,keyasint"`
	Accepted    ident.ConfigurationVersion `cbor:"4,keyasint"`
	Proposal    ballot                     `cbor:"5,keyasint"`
	// Reading is the newest platform reading, made ReadingAge before the answer.
	HasReading bool                                        `cbor:"6,keyasint,omitempty"`
	Read       [2]ident.ConfigurationVersion               `cbor:"7,keyasint,omitempty"` // accepted, proposal
	ReadingAge time.Duration                               `cbor:"8,keyasint,omitempty"`
	Zones      []freshness.ZoneSummary                     `cbor:"9,keyasint,omitempty"`
	Full       []byte                                      `cbor:"10,keyasint,omitempty"` // accepted configuration
	Note       []byte                                      `cbor:"11,keyasint,omitempty"` // note of the proposal
	Digest     []byte                                      `cbor:"12,keyasint,omitempty"` // of the proposed configuration
	Tables     map[ident.AvailabilityZone]freshness.Table  `cbor:"13,keyasint,omitempty"`
	Versions   map[ident.VMName]ident.ConfigurationVersion `cbor:"14,keyasint,omitempty"`
}

// reported is the version that a VM has stated, and when.
type reported struct {
	version ident.ConfigurationVersion
	at      time.Duration
}

func (c *Controller) registerMessages() {
	c.mesh.Handle(kindNotice, receive(c, c.onNotice))
	c.mesh.Handle(kindQuestion, receive(c, c.onQuestion))
	c.mesh.Handle(kindAnswer, receive(c, c.onAnswer))
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

// ask sends a question to each VM.
func (c *Controller) ask(versions bool, members ...peer.Member) {
	c.mu.Lock()
	q := question{Asked: c.clock.Now(), Incarnation: c.mesh.Self().Incarnation, Accepted: c.core.Version(),
		Held: c.core.Pending(), Proposal: c.known.ballot, Tables: c.tableVersions(), Versions: versions}
	c.mu.Unlock()
	for _, member := range members {
		c.send(member.Name, kindQuestion, q)
	}
}

func (c *Controller) onNotice(from peer.Member, n notice) {
	newer := false
	c.locked(func() {
		newer = n.Accepted > c.core.Version() || n.Proposal.after(c.known.ballot)
		c.core.Learn(max(n.Accepted, n.Proposal.Version))
		c.learn(proposal{ballot: n.Proposal})
	})
	if newer {
		// The question to the watchers acknowledges the proposal.
		c.ask(false, append(c.zoneWatchers(from.Name), from)...)
	}
}

func (c *Controller) onQuestion(from peer.Member, q question) {
	if highest := max(q.Accepted, q.Proposal.Version); highest > c.highest() {
		c.locked(func() { c.core.Learn(highest) })
	}
	a := c.recordQuestion(from, q)
	c.send(from.Name, kindAnswer, a)
	c.wakeAcknowledger()
}

func (c *Controller) highest() ident.ConfigurationVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Highest()
}

// recordQuestion notes what the asker states and returns the answer. Neither
// changes what requests are decided by.
func (c *Controller) recordQuestion(from peer.Member, q question) answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.versions[from.Name] = reported{q.Accepted, now}
	if from.Zone == c.mesh.Self().Zone && q.Proposal.after(c.acks[from.Name]) {
		c.acks[from.Name] = q.Proposal
	}
	return c.answerTo(q, now)
}

// answerTo states what this VM knows and adds what the asker lacks. The caller holds the lock.
func (c *Controller) answerTo(q question, now time.Duration) answer {
	a := answer{Asked: q.Asked, Incarnation: q.Incarnation, Self: c.core.Attestation(), Accepted: c.core.Version(), Proposal: c.known.ballot}
	if r := c.core.LastReading(); r.At >= 0 {
		a.HasReading, a.Read, a.ReadingAge = true, [2]ident.ConfigurationVersion{r.Accepted, r.Proposal}, now-r.At
	}
	// A recent reading proves more than summaries, which cost a pass over all VMs.
	if now-c.core.LastReading().At > attestAfter {
		a.Zones = c.core.ZoneSummaries(now, q.Accepted)
		if q.Held != q.Accepted {
			a.Zones = append(a.Zones, c.core.ZoneSummaries(now, q.Held)...)
		}
	}
	// A VM that holds the proposal adopts it by its version alone.
	if q.Accepted < c.core.Version() && q.Held != c.core.Version() {
		a.Full = configuration.Encode(c.current.configuration)
	}
	if c.known.note != nil && q.Held < c.known.Version && c.known.Version == c.core.Version()+1 {
		a.Note, a.Digest = c.known.note, c.known.digest
	}
	if q.Tables != c.tableVersions() {
		a.Tables = c.tables()
	}
	if q.Versions {
		a.Versions = c.freshVersions(now)
	}
	return a
}

func (c *Controller) onAnswer(from peer.Member, a answer) {
	if a.Incarnation != c.mesh.Self().Incarnation || a.Self.VM != from.Name || a.Self.Zone != from.Zone {
		return
	}
	var news news
	c.locked(func() {
		before := c.knowledge()
		for zone, table := range a.Tables {
			c.core.SetTable(zone, table)
		}
		c.takeConfiguration(a)
		c.learn(proposal{ballot: a.Proposal, note: a.Note, digest: a.Digest})
		c.core.RecordAttestation(a.Self, a.Asked)
		for _, summary := range a.Zones {
			c.core.RecordZoneSummary(summary, a.Asked)
		}
		if a.HasReading {
			c.core.RecordReading(freshness.Reading{Accepted: a.Read[0], Proposal: a.Read[1], At: a.Asked - a.ReadingAge})
		}
		c.versions[from.Name] = reported{a.Accepted, c.clock.Now()}
		for vm, version := range a.Versions {
			if version >= c.versions[vm].version {
				c.versions[vm] = reported{version, c.clock.Now()}
			}
		}
		news = c.newsSince(before)
	})
	c.fanOut(news, false)
}
