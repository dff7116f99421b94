package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/httpserver"
	"github.com/rosemarywall/rosemarywall/internal/version"
)

const headerTimeout = 5 * time.Second

// Readiness reports whether new callers are welcome, and the reason when not.
type Readiness func() (ready bool, reason string)

// Server serves the administration address.
type Server struct {
	mux   *http.ServeMux
	ready Readiness
	http  *http.Server

	mu    sync.Mutex
	dumps map[string]func() any
	vars  map[string]expvar.Var
}

// New returns a server that is not listening yet.
func New(ready Readiness) *Server {
	s := &Server{mux: http.NewServeMux(), ready: ready, dumps: map[string]func() any{}, vars: map[string]expvar.Var{}}
	s.http = httpserver.New(s.mux, headerTimeout)
	s.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	s.mux.HandleFunc("GET /readyz", s.serveReady)
	s.mux.HandleFunc("GET /debug/vars", s.serveVars)
	s.mux.HandleFunc("GET /debug/state", s.serveState)
	return s
}

// Handle adds a handler. It must be called before Serve.
func (s *Server) Handle(pattern string, handler http.Handler) { s.mux.Handle(pattern, handler) }

// AddDump adds the state of a component to the state dump.
func (s *Server) AddDump(component string, dump func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dumps[component] = dump
}

// AddVars adds the metrics of a component to /debug/vars. They belong to this server,
// so that several VMs can run in one process.
func (s *Server) AddVars(component string, vars expvar.Var) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vars[component] = vars
}

// serveVars writes the metrics of the process and of the components as one JSON object.
func (s *Server) serveVars(w http.ResponseWriter, _ *http.Request) {
	all := map[string]json.RawMessage{}
	expvar.Do(func(v expvar.KeyValue) { all[v.Key] = json.RawMessage(v.Value.String()) })
	s.mu.Lock()
	for name, v := range s.vars {
		all[name] = json.RawMessage(v.String())
	}
	s.mu.Unlock()
	_ = httpserver.WriteJSON(w, all) // the status tells
}

// Serve answers requests on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve administration address")
	}
	return nil
}

// Shutdown ends running requests by the deadline of ctx and stops.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := s.ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	_ = httpserver.WriteJSON(w, s.State()) // the status tells
}

// State returns the state of every component, by name.
func (s *Server) State() map[string]any {
	s.mu.Lock()
	names := make([]string, 0, len(s.dumps))
	dumps := make(map[string]func() any, len(s.dumps))
	for name, dump := range s.dumps {
		names = append(names, name)
		dumps[name] = dump
	}
	s.mu.Unlock()
	sort.Strings(names)
	state := map[string]any{"version": version.Version}
	for _, name := range names {
		state[name] = dumps[name]()
	}
	return state
}
