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
	// ApplyTimeout limits the time that Apply waits for the acceptance of a note.
	ApplyTimeout = 10 * time.Second
	// inForceDeadline limits the time that Apply waits until an accepted version is in
	// force on every VM. It is above the upper bound of 4 s within which that happens.
	inForceDeadline = 6 * time.Second
	inForceInterval = 100 * time.Millisecond
	// maxHistory limits the number of notes that are read for one response.
	maxHistory = 100
)

// Outcome is the outcome of applying a note.
type Outcome string

// Outcomes of a note.
const (
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused means that the note has no effect, now or later.
	OutcomeRefused Outcome = "refused"
	// OutcomePending means that the note is proposed and may still be accepted.
	OutcomePending Outcome = "pending"
	// OutcomeUnknown means that the note may have been proposed.
	OutcomeUnknown Outcome = "unknown"
)

// Result is the result of applying a note. Code and Detail give the reason if it was
// not accepted.
type Result struct {
	// Accepted is true if and only if Outcome is OutcomeAccepted.
	Accepted bool                       `json:"accepted"`
	Outcome  Outcome                    `json:"outcome"`
	Version  ident.ConfigurationVersion `json:"version"`
	// Changes lists the changes of the note or, after a conflict, those of the
	// conflicting notes.
	Changes  []configuration.Change `json:"changes,omitempty"`
	Problems configuration.Problems `json:"problems,omitempty"`
	Code     resultcode.Code        `json:"code,omitempty"`
	Detail   string                 `json:"detail,omitempty"`
	// InForceAfter is the time from the acceptance until every live VM has reported
	// the version.
	InForceAfter time.Duration `json:"in_force_after_ns,omitempty"`
	// Lagging lists the live VMs that did not report the version in time.
	Lagging []ident.VMName `json:"lagging,omitempty"`
}

// HistoryEntry is an accepted note. It is stored in the object note-<version>.
type HistoryEntry struct {
	objectapi.WriterTag
	Version ident.ConfigurationVersion `json:"version"`
	Title   string                     `json:"title"`
	Changes []configuration.Change     `json:"changes"`
	Note    []byte                     `json:"note"`
}

// Apply proposes a note, waits for its acceptance and then until it is in force on
// every live VM. Problems refer to the note by the name file.
func (c *Controller) Apply(ctx context.Context, file string, text []byte) Result {
	note, problems := configuration.ParseNote(file, text)
	if note == nil {
		return rejectedNote(problems)
	}
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	select {
	case c.applySemaphore <- struct{}{}:
	case <-ctx.Done():
		return refusedResult(resultcode.New(resultcode.NoteConflict, "this VM is applying another note"))
	}
	result := c.apply(ctx, note, text)
	<-c.applySemaphore
	c.vars.Add("notes_"+string(result.Outcome), 1)
	if result.Outcome == OutcomeAccepted {
		result.InForceAfter, result.Lagging = c.awaitInForce(result.Version)
	}
	return result
}

func rejectedNote(problems configuration.Problems) Result {
	return Result{Outcome: OutcomeRefused, Problems: problems, Code: problems[0].Code, Detail: "the note was rejected"}
}

func refusedResult(err error) Result {
	return Result{Outcome: OutcomeRefused, Code: resultcode.Of(err), Detail: err.Error()}
}

func (c *Controller) apply(ctx context.Context, note *configuration.Note, text []byte) Result {
	s, err := c.readStored(ctx)
	if err != nil {
		return refusedResult(err)
	}
	c.update(func() { c.acceptVersion(s.current.Version, configuration.Encode(s.current)) })
	if s.pending() {
		r := refusedResult(resultcode.New(resultcode.NoteConflict, "version %d, proposed by %s, is still pending", s.proposal.Version, s.proposal.Acceptor))
		r.Version, r.Changes = s.proposal.Version, s.pendingChanges()
		return r
	}
	next, changes, problems := configuration.Apply(s.current, note)
	if next == nil {
		r := rejectedNote(problems)
		if r.Code == resultcode.NoteConflict {
			r.Version, r.Changes = s.current.Version, c.changesSince(ctx, note.Base, s.current.Version)
		}
		return r
	}
	if err := c.propose(ctx, s, next, text); err != nil {
		r := refusedResult(err)
		r.Version, r.Changes = next.Version, changes
		switch r.Code {
		case resultcode.NoteConflict:
			r.Changes = c.conflictingChanges(ctx, s)
		case resultcode.NoteNotAccepted:
			r.Outcome = OutcomePending
		case resultcode.PlatformDown, resultcode.PlatformQuota:
			r.Outcome = OutcomeUnknown // a quota error may follow a write whose response was lost
		}
		return r
	}
	if err := c.acceptProposal(ctx, s, next); err != nil {
		return Result{Outcome: OutcomePending, Version: next.Version, Changes: changes, Code: resultcode.Of(err), Detail: err.Error()}
	}
	return Result{Accepted: true, Outcome: OutcomeAccepted, Version: next.Version, Changes: changes}
}

// conflictingChanges returns the changes of the note that became the version instead.
func (c *Controller) conflictingChanges(ctx context.Context, lost storedState) []configuration.Change {
	now, err := c.readStored(ctx)
	if err != nil {
		return nil
	}
	if now.pending() && now.current.Version == lost.current.Version {
		return now.pendingChanges()
	}
	return configuration.Diff(lost.current, now.current)
}

// changesSince returns the changes of the accepted notes after version base.
func (c *Controller) changesSince(ctx context.Context, base, current ident.ConfigurationVersion) []configuration.Change {
	entries, _ := c.History(ctx, current, base)
	var changes []configuration.Change
	for i := len(entries) - 1; i >= 0; i-- {
		changes = append(changes, entries[i].Changes...)
	}
	return changes
}

// writeHistory stores an accepted note. A failure is only counted, because the
// history informs operators and no decision depends on it.
func (c *Controller) writeHistory(ctx context.Context, old, next *configuration.Configuration, text []byte) {
	entry := HistoryEntry{Version: next.Version, Changes: configuration.Diff(old, next), Note: text}
	if note, _ := configuration.ParseNote("note", text); note != nil {
		entry.Title = note.Title
	}
	entry.SetWriter(c.writer.NewID())
	_, err := c.platform.Put(ctx, objectapi.KindConfiguration, historyName(next.Version), entry, 0)
	if err != nil && !resultcode.Is(err, resultcode.PlatformConflict) {
		c.vars.Add("history_failures", 1)
	}
}

func historyName(version ident.ConfigurationVersion) string {
	return fmt.Sprintf("%s%d", notePrefix, version)
}

// History returns at most maxHistory accepted notes, newest first, from version from
// down to the one after base. It omits notes that are not stored.
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

// awaitInForce waits until every live VM of the membership view has reported the
// version. The watchers of each zone provide the versions of its VMs. It returns the
// elapsed time and the VMs that have not reported the version.
func (c *Controller) awaitInForce(version ident.ConfigurationVersion) (time.Duration, []ident.VMName) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceDeadline)
	defer cancel()
	start := c.clock.Now()
	for {
		lagging := c.lagging(version)
		if len(lagging) == 0 || ctx.Err() != nil {
			return c.clock.Now() - start, lagging
		}
		c.sendRequests(true, c.allWatchers()...)
		sleep(ctx, inForceInterval)
	}
}

func (c *Controller) allWatchers() []peer.Member {
	return append(c.watchersOfOtherZones(), c.otherWatchersOfZone("")...)
}

func (c *Controller) lagging(version ident.ConfigurationVersion) []ident.VMName {
	c.mu.Lock()
	versions := c.recentVersions(c.clock.Now())
	c.mu.Unlock()
	var lagging []ident.VMName
	for _, member := range c.mesh.Members() {
		if member.State == peer.Alive && versions[member.Name] < version {
			lagging = append(lagging, member.Name)
		}
	}
	return lagging
}
