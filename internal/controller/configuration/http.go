package configcontroller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// MemberStatus is a VM of the membership view with its configuration version;
// Known is false when the VM has not reported one recently.
type MemberStatus struct {
	Name    ident.VMName               `json:"name"`
	Zone    ident.AvailabilityZone     `json:"zone"`
	State   string                     `json:"state"`
	Known   bool                       `json:"known"`
	Version ident.ConfigurationVersion `json:"version"`
}

// Status is the state of the fleet's configuration as this VM knows it.
type Status struct {
	VM       ident.VMName               `json:"vm"`
	Version  ident.ConfigurationVersion `json:"version"`
	Proposal ident.ConfigurationVersion `json:"proposal"` // equal to Version when none is pending
	Fresh    bool                       `json:"fresh"`
	Reason   string                     `json:"reason,omitempty"`
	Members  []MemberStatus             `json:"members"`
}

// Handler serves the operator's calls: POST and GET /v1/notes, GET /v1/status and
// GET /v1/configuration.
func (c *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/notes", c.servePost)
	mux.HandleFunc("GET /v1/notes", c.serveHistory)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		c.ask(true, c.allWatchers()...)
		pause(r.Context(), inForceInterval)
		reply(w, http.StatusOK, c.Status())
	})
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, c.Current())
	})
	return mux
}

func (c *Controller) servePost(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, configuration.MaxNoteBytes+1))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		text = make([]byte, configuration.MaxNoteBytes+1)
	} else if err != nil {
		reply(w, http.StatusBadRequest, Result{Outcome: OutcomeRefused, Code: resultcode.NoteSyntax, Detail: "the note did not arrive completely"})
		return
	}
	file := r.URL.Query().Get("file")
	if file == "" {
		file = "note"
	}
	// An operator who loses the connection must not leave the note half done.
	result := c.Apply(context.WithoutCancel(r.Context()), file, text)
	reply(w, statusOf(result), result)
}

func statusOf(r Result) int {
	switch {
	case r.Outcome == OutcomeAccepted:
		return http.StatusOK
	case r.Code == resultcode.NoteConflict:
		return http.StatusConflict
	case len(r.Problems) > 0:
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

func (c *Controller) serveHistory(w http.ResponseWriter, r *http.Request) {
	entries, err := c.History(r.Context(), c.Current().Version, 0)
	if err != nil {
		reply(w, http.StatusServiceUnavailable, failed(err))
		return
	}
	reply(w, http.StatusOK, entries)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Status returns the versions of all VMs of the membership view.
func (c *Controller) Status() Status {
	members := c.mesh.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	versions := c.freshVersions(now)
	status := Status{VM: c.mesh.Self().Name, Version: c.core.Version(), Proposal: max(c.core.Version(), c.known.Version)}
	status.Fresh, status.Reason = c.core.Fresh(now)
	for _, member := range members {
		version, known := versions[member.Name]
		status.Members = append(status.Members, MemberStatus{member.Name, member.Zone, stateName(member.State), known, version})
	}
	return status
}

func stateName(state peer.State) string {
	names := map[peer.State]string{peer.Alive: "alive", peer.Suspect: "suspect", peer.Dead: "dead", peer.Leaving: "leaving"}
	return names[state]
}

// Dump returns the state for the state dump; it holds hashes of keys, never keys.
func (c *Controller) Dump() any {
	status := c.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, held := c.core.FreshUntil()
	return map[string]any{
		"status": status, "now": c.clock.Now(), "accepted_until": accepted, "held_until": held,
		"qualified": c.core.Qualified(), "reading": c.core.LastReading(), "known_proposal": c.known.ballot,
		"held": c.core.Pending(), "zone_acks": c.zoneAcks, "tables": c.tables(), "watching": c.watching,
		"configuration": c.current.configuration,
	}
}
