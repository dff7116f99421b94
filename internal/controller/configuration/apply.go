package configcontroller

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

const (
	// ApplyTimeout is the time that Apply waits for the acceptance.
	ApplyTimeout = 10 * time.Second
	// inForceDeadline is the time that Apply waits for an accepted version to be in
	// force on every VM; the bound is 4 s.
	inForceDeadline = 6 * time.Second
	inForceInterval = 100 * time.Millisecond
	// maxHistory limits the notes that are read for one answer.
	maxHistory = 100
)

// Outcome says what became of a note.
type Outcome string

// Outcomes of a note.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused notes have no effect and never will.
	OutcomeRefused Outcome = "refused"
	// OutcomePending notes are proposed and may be accepted at any time.
	OutcomePending Outcome = "pending"
	// OutcomeUnknown means that the note may have been proposed.
	OutcomeUnknown Outcome = "unknown"
)

// Result describes what became of a note. Unless it was accepted, Code and Detail
// say why not.
type Result struct {
	// Accepted is true if and only if the outcome is Accepted.
	Accepted bool                       `json:"accepted"`
	Outcome  Outcome                    `json:"outcome"`
	Version  ident.ConfigurationVersion `json:"version"`
	// Changes lists what the note changes, or, on a conflict, what another note changed.
	Changes  []configuration.Change `json:"changes,omitempty"`
	Problems configuration.Problems `json:"problems,omitempty"`
	Code     resultcode.Code        `json:"code,omitempty"`
	Detail   string                 `json:"detail,omitempty"`
	// InForceAfter is the time from the acceptance until every live VM reported the version.
	InForceAfter time.Duration  `json:"in_force_after_ns,omitempty"`
	Lagging      []ident.VMName `json:"lagging,omitempty"` // VMs that had not reported it in time
}

// HistoryEntry is an accepted note, stored as note-<version>.
type HistoryEntry struct {
	objectapi.Signature
	Version ident.ConfigurationVersion `json:"version"`
	Title   string                     `json:"title"`
	Changes []configuration.Change     `json:"changes"`
	Note    []byte                     `json:"note"`
}

// Apply proposes a note, waits for its acceptance and then until it is in force.
// file appears in problems.
func (c *Controller) Apply(ctx context.Context, file string, text []byte) Result {
	note, problems := configuration.ParseNote(file, text)
	if note == nil {
		return refused(problems)
	}
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	select {
	case c.applying <- struct{}{}:
	case <-ctx.Done():
		return failed(resultcode.New(resultcode.NoteConflict, "another note is going through this VM"))
	}
	result := c.apply(ctx, note, text)
	<-c.applying
	c.vars.Add("notes_"+string(result.Outcome), 1)
	if result.Outcome == OutcomeAccepted {
		result.InForceAfter, result.Lagging = c.awaitInForce(result.Version)
	}
	return result
}

func refused(problems configuration.Problems) Result {
	return Result{Outcome: OutcomeRefused, Problems: problems, Code: problems[0].Code, Detail: "the note was rejected"}
}

func failed(err error) Result {
	return Result{Outcome: OutcomeRefused, Code: resultcode.Of(err), Detail: err.Error()}
}

func (c *Controller) apply(ctx context.Context, note *configuration.Note, text []byte) Result {
	s, err := c.readStored(ctx)
	if err != nil {
		return failed(err)
	}
	c.locked(func() { c.accept(s.current.Version, configuration.Encode(s.current)) })
	if s.pending() {
		r := failed(resultcode.New(resultcode.NoteConflict, "version %d, proposed through %s, is not accepted yet", s.proposal.Version, s.proposal.Acceptor))
		r.Version, r.Changes = s.proposal.Version, s.pendingChanges()
		return r
	}
	next, changes, problems := configuration.Apply(s.current, note)
	if next == nil {
		r := refused(problems)
		if r.Code == resultcode.NoteConflict {
			r.Version, r.Changes = s.current.Version, c.changesSince(ctx, note.Base, s.current.Version)
		}
		return r
	}
	if err := c.propose(ctx, s, next, text); err != nil {
		r := failed(err)
		r.Version, r.Changes = next.Version, changes
		switch r.Code {
		case resultcode.NoteConflict:
			r.Changes = c.winner(ctx, s)
		case resultcode.NoteNotAccepted:
			r.Outcome = OutcomePending
		case resultcode.PlatformDown, resultcode.PlatformQuota:
			r.Outcome = OutcomeUnknown // a quota refusal may follow a lost answer
		}
		return r
	}
	if err := c.acceptProposal(ctx, s, next); err != nil {
		return Result{Outcome: OutcomePending, Version: next.Version, Changes: changes, Code: resultcode.Of(err), Detail: err.Error()}
	}
	return Result{Accepted: true, Outcome: OutcomeAccepted, Version: next.Version, Changes: changes}
}

// winner lists the changes of the note that won the race for a version.
func (c *Controller) winner(ctx context.Context, lost stored) []configuration.Change {
	now, err := c.readStored(ctx)
	if err != nil {
		return nil
	}
	if now.pending() && now.current.Version == lost.current.Version {
		return now.pendingChanges()
	}
	return configuration.Diff(lost.current, now.current)
}

// changesSince lists the changes of the accepted notes after base.
func (c *Controller) changesSince(ctx context.Context, base, current ident.ConfigurationVersion) []configuration.Change {
	entries, _ := c.History(ctx, current, base)
	var changes []configuration.Change
	for i := len(entries) - 1; i >= 0; i-- {
		changes = append(changes, entries[i].Changes...)
	}
	return changes
}

// writeHistory stores the accepted note. A failure is counted only: the history
// is for operators, and no decision depends on it.
func (c *Controller) writeHistory(ctx context.Context, old, next *configuration.Configuration, text []byte) {
	entry := HistoryEntry{Version: next.Version, Changes: configuration.Diff(old, next), Note: text}
	if note, _ := configuration.ParseNote("note", text); note != nil {
		entry.Title = note.Title
	}
	entry.SetWriter(c.writer.Next())
	_, err := c.platform.Put(ctx, objectapi.KindConfiguration, historyName(next.Version), entry, 0)
	if err != nil && !resultcode.Is(err, resultcode.PlatformConflict) {
		c.vars.Add("history_failures", 1)
	}
}

func historyName(version ident.ConfigurationVersion) string {
	return fmt.Sprintf("%s%d", notePrefix, version)
}

// History returns accepted notes, the newest first, from a version down to the
// one after base, at most 100. Notes that were not stored are left out.
func (c *Controller) History(ctx context.Context, from, base ident.ConfigurationVersion) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	for version := from; version > base && from-version < maxHistory; version-- {
		var entry HistoryEntry
		var stored objectapi.Version
		if err := c.get(ctx, historyName(version), &entry, &stored); err != nil {
			return entries, err
		}
		if stored > 0 {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// awaitInForce waits until every live VM of the view has reported the version. The
// watchers of each zone know the versions of its VMs.
func (c *Controller) awaitInForce(version ident.ConfigurationVersion) (time.Duration, []ident.VMName) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceDeadline)
	defer cancel()
	start := c.clock.Now()
	for {
		lagging := c.lagging(version)
		if len(lagging) == 0 || ctx.Err() != nil {
			return c.clock.Now() - start, lagging
		}
		c.ask(true, c.allWatchers()...)
		pause(ctx, inForceInterval)
	}
}

func (c *Controller) allWatchers() []peer.Member {
	return append(c.otherWatchers(), c.zoneWatchers("")...)
}

func (c *Controller) lagging(version ident.ConfigurationVersion) []ident.VMName {
	c.mu.Lock()
	versions := c.freshVersions(c.clock.Now())
	c.mu.Unlock()
	var lagging []ident.VMName
	for _, member := range c.mesh.Members() {
		if member.State == peer.Alive && versions[member.Name] < version {
			lagging = append(lagging, member.Name)
		}
	}
	return lagging
}
