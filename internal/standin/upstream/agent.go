package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Times of the status stream.
const (
	streamCoalesce = time.Millisecond
	streamInterval = 100 * time.Millisecond
)

// agentHandler serves the member agent's protocol.
func (m *Member) agentHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		m.answer(w, m.Status(), nil)
	})
	mux.HandleFunc("GET /v1/stream", m.stream)
	mux.HandleFunc("GET /v1/questions", m.questions)
	mux.HandleFunc("GET /v1/transaction/{id}", func(w http.ResponseWriter, r *http.Request) {
		m.answer(w, group.TransactionResponse{State: m.transactionState(r.PathValue("id"))}, nil)
	})
	mux.HandleFunc("POST /v1/fence", action(m, func(_ context.Context, r group.FenceRequest) (group.Status, error) {
		return m.fence(r.Term, r.Proposer)
	}))
	mux.HandleFunc("POST /v1/promote", action(m, func(ctx context.Context, r group.FenceRequest) (group.Status, error) {
		return m.promote(ctx, r.Term, r.Proposer)
	}))
	mux.HandleFunc("POST /v1/follow", action(m, func(_ context.Context, r group.FollowRequest) (group.Status, error) {
		return m.follow(r.Term, m.group.resolve(r.Primary, r.PrimaryAddress))
	}))
	mux.HandleFunc("POST /v1/handover", action(m, func(ctx context.Context, r group.HandoverRequest) (group.Status, error) {
		return m.startHandover(ctx, r.Term)
	}))
	return mux
}

// resolve finds a primary by name or by the address of its agent.
func (g *Group) resolve(name ident.UpstreamName, agentAddress string) ident.UpstreamName {
	if name != "" {
		return name
	}
	for _, m := range g.members {
		if m.agentAddress == agentAddress {
			return m.name
		}
	}
	return ""
}

// action decodes the request of a state change, runs it and answers.
func action[T any](m *Member, run func(context.Context, T) (group.Status, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request T
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if m.waitRunning(r.Context()) != nil {
			return
		}
		status, err := run(r.Context(), request)
		m.answer(w, status, err)
	}
}

// answer sends a JSON answer, subject to the faults of the agent.
func (m *Member) answer(w http.ResponseWriter, body any, err error) {
	if !m.mayAnswer() {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		status := http.StatusInternalServerError
		if errors.Is(err, errRefused) {
			status = http.StatusConflict
		}
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// mayAnswer applies the faults of the agent to the next answer; false means that the
// connection closes without it.
func (m *Member) mayAnswer() bool {
	fault, delay := m.takeFault(agentAnswers)
	switch fault {
	case DelayAnswer:
		return sleep(m.ended(), delay)
	case DropAnswer, CloseBeforeAnswer, DuplicateAnswer:
		return false
	}
	return true
}

// stream sends a status line on every change and at least every streamInterval.
func (m *Member) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		changed := m.changes()
		if encoder.Encode(m.Status()) != nil || controller.Flush() != nil {
			return
		}
		if !waitFor(r.Context(), nil, streamCoalesce) || !waitFor(r.Context(), changed, streamInterval) {
			return
		}
	}
}

// waitFor waits for an event or a duration; false means that ctx ended.
func waitFor(ctx context.Context, event <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-event:
	case <-timer.C:
	}
	return true
}

func (m *Member) serveAgent(listener net.Listener) *http.Server {
	server := &http.Server{Handler: m.agentHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return server
}
