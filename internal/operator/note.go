package operator

import (
	"bytes"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	configcontroller "github.com/rosemarywall/rosemarywall/internal/controller/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// lostAnswerTries is the number of looks at the history, one per second, after the
// answer to an applied note was lost.
const lostAnswerTries = 15

// read parses a note file and reports its problems.
func (s *session) read(file string) ([]byte, *configuration.Note) {
	text, err := os.ReadFile(file)
	if err != nil {
		s.fail(exitFailed, err)
		return nil, nil
	}
	if len(text) > 0 && !bytes.HasSuffix(text, []byte("\n")) {
		s.fail(exitFailed, errors.Newf("%s: the last line has no line end; the file may be half written", file))
		return nil, nil
	}
	note, problems := configuration.ParseNote(file, text)
	if note == nil {
		s.fail(exitFailed, problems)
	}
	return text, note
}

func (s *session) check(file string) int {
	_, note := s.read(file)
	if note == nil {
		return exitFailed
	}
	if len(*s.addresses) == 0 {
		fmt.Fprintf(s.out, "%s: the form is valid; --address also checks it against the current configuration\n", file)
		return exitDone
	}
	next, _, status := s.preview(note)
	if status == exitDone {
		fmt.Fprintf(s.out, "%s: applies to version %d\n", file, next.Version-1)
	}
	return status
}

func (s *session) diff(file string) int {
	_, note := s.read(file)
	if note == nil {
		return exitFailed
	}
	next, changes, status := s.preview(note)
	if status == exitDone {
		fmt.Fprintf(s.out, "version %d would become %d:\n", next.Version-1, next.Version)
		s.list(changes)
	}
	return status
}

// preview applies the note to the current configuration of the fleet, here only.
func (s *session) preview(note *configuration.Note) (*configuration.Configuration, []configuration.Change, int) {
	c, err := newClient(*s.addresses)
	if err != nil {
		return nil, nil, s.fail(exitUsage, err)
	}
	current, err := c.configuration()
	if err != nil {
		return nil, nil, s.fail(exitFailed, err)
	}
	next, changes, problems := configuration.Apply(current, note)
	if next == nil {
		return nil, nil, s.fail(exitFailed, problems)
	}
	return next, changes, exitDone
}

func (s *session) list(changes []configuration.Change) {
	for _, change := range changes {
		fmt.Fprintf(s.out, "  %s\n", change)
	}
}

func (s *session) apply(file string) int {
	text, note := s.read(file)
	if note == nil {
		return exitFailed
	}
	c, err := newClient(*s.addresses)
	if err != nil {
		return s.fail(exitUsage, err)
	}
	before, err := c.status()
	if err != nil {
		return s.fail(exitFailed, errors.Wrap(err, "nothing was sent"))
	}
	result, err := c.apply(file, text)
	if err != nil {
		return s.lostAnswer(c, before.Version, text, err)
	}
	return s.report(result)
}

// lostAnswer looks for the note in the history, because a note whose answer was
// lost may have been accepted and must not be sent again.
func (s *session) lostAnswer(c *client, before ident.ConfigurationVersion, text []byte, lost error) int {
	fmt.Fprintf(s.errors, "%s\nlooking for the note in the history\n", lost)
	for try := range lostAnswerTries {
		if try > 0 {
			time.Sleep(time.Second)
		}
		entries, err := c.history()
		if err != nil {
			continue
		}
		for _, entry := range entries {
			if entry.Version > before && bytes.Equal(entry.Note, text) {
				fmt.Fprintf(s.out, "accepted as version %d; the VM's answer was lost\n", entry.Version)
				return exitDone
			}
		}
	}
	fmt.Fprintf(s.errors, "not known whether the note is accepted; see \"note status\" and \"note history\" before sending it again\n")
	return exitOpen
}

func (s *session) report(r configcontroller.Result) int {
	if r.Outcome == configcontroller.OutcomeAccepted {
		s.reportAccepted(r)
		return exitDone
	}
	if len(r.Problems) > 0 {
		s.fail(exitFailed, r.Problems)
	} else {
		fmt.Fprintln(s.errors, r.Detail)
	}
	switch r.Outcome {
	case configcontroller.OutcomePending:
		fmt.Fprintf(s.out, "version %d is proposed and its acceptance is not confirmed; it may be accepted at any time:\n", r.Version)
		s.list(r.Changes)
		return exitOpen
	case configcontroller.OutcomeUnknown:
		fmt.Fprintln(s.out, "not known whether the note was proposed; see \"note status\" before sending it again")
		return exitOpen
	}
	fmt.Fprintln(s.out, "this note has no effect")
	if r.Code == resultcode.NoteConflict {
		fmt.Fprintln(s.out, "changed or proposed by others:")
		s.list(r.Changes)
	}
	return exitFailed
}

func (s *session) reportAccepted(r configcontroller.Result) {
	fmt.Fprintf(s.out, "accepted as version %d\n", r.Version)
	s.list(r.Changes)
	after := r.InForceAfter.Round(time.Millisecond)
	if len(r.Lagging) == 0 {
		fmt.Fprintf(s.out, "in force on every live VM %s after the acceptance\n", after)
		return
	}
	fmt.Fprintf(s.out, "not reported within %s by %v; a VM that does not have it refuses keyed requests\n", after, r.Lagging)
}

func (s *session) showStatus() int {
	c, err := newClient(*s.addresses)
	if err != nil {
		return s.fail(exitUsage, err)
	}
	status, err := c.status()
	if err != nil {
		return s.fail(exitFailed, err)
	}
	fmt.Fprintf(s.out, "version %d as %s knows it\n", status.Version, status.VM)
	if status.Proposal > status.Version {
		fmt.Fprintf(s.out, "version %d is proposed and not accepted yet\n", status.Proposal)
	}
	if !status.Fresh {
		fmt.Fprintf(s.out, "%s cannot prove that this is current: %s\n", status.VM, status.Reason)
	}
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VM\tzone\tstate\tversion")
	for _, member := range status.Members {
		version := "unknown"
		if member.Known {
			version = fmt.Sprint(member.Version)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", member.Name, member.Zone, member.State, version)
	}
	_ = table.Flush()
	return exitDone
}

func (s *session) showHistory() int {
	c, err := newClient(*s.addresses)
	if err != nil {
		return s.fail(exitUsage, err)
	}
	entries, err := c.history()
	if err != nil {
		return s.fail(exitFailed, err)
	}
	for _, entry := range entries {
		fmt.Fprintf(s.out, "version %d: %s\n", entry.Version, entry.Title)
		s.list(entry.Changes)
	}
	return exitDone
}
