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

// MemberStatus is a VM of the membership view with its configuration version. Known
// is false if the VM has not reported a version recently.
type MemberStatus struct {
	Name    ident.VMName               `json:"name"`
	Zone    ident.AvailabilityZone     `json:"zone"`
	State   string                     `json:"state"`
	Known   bool                       `json:"known"`
	Version ident.ConfigurationVersion `json:"version"`
}

// Status is the state of the fleet's configuration as known to this VM.
type Status struct {
	VM       ident.VMName               `json:"vm"`
	Version  ident.ConfigurationVersion `json:"version"`
	Proposal ident.ConfigurationVersion `json:"proposal"` // equals Version if none is pending
	Fresh    bool                       `json:"fresh"`
	Reason   string                     `json:"reason,omitempty"`
	Members  []MemberStatus             `json:"members"`
}

// Handler serves the operator API: POST and GET /v1/notes, GET /v1/status and
// GET /v1/configuration.
func (c *Controller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/notes", c.serveApply)
	mux.HandleFunc("GET /v1/notes", c.serveHistory)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		c.sendRequests(true, c.allWatchers()...)
		sleep(r.Context(), inForceInterval)
		writeJSON(w, http.StatusOK, c.Status())
	})
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, c.Current())
	})
	return mux
}

func (c *Controller) serveApply(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, configuration.MaxNoteBytes+1))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		text = make([]byte, configuration.MaxNoteBytes+1)
	} else if err != nil {
		writeJSON(w, http.StatusBadRequest, Result{Outcome: OutcomeRefused, Code: resultcode.NoteSyntax, Detail: "the request body could not be read completely"})
		return
	}
	file := r.URL.Query().Get("file")
	if file == "" {
		file = "note"
	}
	// A note must be completed even if the operator's connection is lost.
	result := c.Apply(context.WithoutCancel(r.Context()), file, text)
	writeJSON(w, httpStatus(result), result)
}

func httpStatus(r Result) int {
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
		writeJSON(w, http.StatusServiceUnavailable, refusedResult(err))
		return
	}
	writeJSON(w, http.StatusOK, entries)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
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
	versions := c.recentVersions(now)
	status := Status{VM: c.mesh.Self().Name, Version: c.state.Version(), Proposal: max(c.state.Version(), c.proposal.Version)}
	status.Fresh, status.Reason = c.state.Fresh(now)
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

// Dump returns the controller's state for the state dump. It contains hashes of keys,
// never the keys.
func (c *Controller) Dump() any {
	status := c.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, pending := c.state.FreshUntil()
	return map[string]any{
		"status": status, "now": c.clock.Now(), "accepted_until": accepted, "held_until": pending,
		"qualified": c.state.Qualified(), "reading": c.state.LastReading(), "known_proposal": c.proposal.ballot,
		"held": c.state.Pending(), "zone_acks": c.zoneAcks, "tables": c.tables(), "watching": c.watching,
		"configuration": c.current.configuration,
	}
}
