package platform

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

// Limits of the platform.
const (
	// DefaultWrites and DefaultReads are calls per second in total.
	DefaultWrites = 400
	DefaultReads  = 2000
	// maxWait bounds the waiting time of a watch.
	maxWait = 5 * time.Minute
	// envelopeBytes is the room for the request around a value.
	envelopeBytes = 4096
)

// Server is the stand-in. Its methods may be called while it serves.
type Server struct {
	store    *store
	vms      *vmList
	calls    *expvar.Map
	listener net.Listener
	http     *http.Server
	stop     context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	outage  bool
	slow    time.Duration
	lose    int
	cut     map[ident.AvailabilityZone]bool
	reads   *rate.Limiter
	writes  *rate.Limiter
	changed chan struct{} // closed when a control changes
}

// New returns a server that does not listen yet.
func New() *Server {
	s := &Server{
		store: newStore(), vms: newVMList(time.Now), calls: new(expvar.Map).Init(),
		cut: map[ident.AvailabilityZone]bool{}, changed: make(chan struct{}),
		reads: rate.NewLimiter(DefaultReads, DefaultReads), writes: rate.NewLimiter(DefaultWrites, DefaultWrites),
	}
	s.stop, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start listens at address, IP:port; empty means a free port on loopback.
func Start(address string) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := New()
	s.listener = listener
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address is the listening address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and all calls.
func (s *Server) Close() {
	s.cancel()
	if s.http != nil {
		_ = s.http.Close()
	}
}

// Calls returns the counters of calls by kind, including refused calls.
func (s *Server) Calls() *expvar.Map { return s.calls }

// SetOutage makes every call, waiting watches included, fail with 503.
func (s *Server) SetOutage(outage bool) { s.change(func() { s.outage = outage }) }

// SetSlow delays every call.
func (s *Server) SetSlow(delay time.Duration) { s.change(func() { s.slow = delay }) }

// LoseAnswers loses the answers of the next n changes after they took effect.
func (s *Server) LoseAnswers(n int) { s.change(func() { s.lose = n }) }

// SetQuota limits the calls per second; the burst is one second's worth.
func (s *Server) SetQuota(reads, writes int) {
	s.change(func() {
		s.reads = rate.NewLimiter(rate.Limit(reads), reads)
		s.writes = rate.NewLimiter(rate.Limit(writes), writes)
	})
}

// CutZone withholds calls and answers of a zone until it is restored.
func (s *Server) CutZone(zone ident.AvailabilityZone, cut bool) {
	s.change(func() { s.cut[zone] = cut })
}

// SetVMList sets the age of the list of VMs, and the time without announcement
// after which a VM is dropped.
func (s *Server) SetVMList(lag, expiry time.Duration) { s.vms.setLag(lag, expiry) }

// SetVM lists a VM, as an announcement does.
func (s *Server) SetVM(vm objectapi.VM) { s.vms.record(vm.Name, &vm) }

// RemoveVM drops a VM from the list.
func (s *Server) RemoveVM(name ident.VMName) { s.vms.record(name, nil) }

// Seed stores an object unconditionally.
func (s *Server) Seed(kind objectapi.Kind, name string, value json.RawMessage) {
	s.store.put(objectKey{kind, name}, value, nil)
}

func (s *Server) change(apply func()) {
	s.mu.Lock()
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.store.wake()
}

// Handler serves the object API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.admit(objectapi.CallGet, s.get))
	mux.HandleFunc("GET /v1/objects/{kind}", s.admit(objectapi.CallList, s.list))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.admit(objectapi.CallPut, s.put))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.admit(objectapi.CallDelete, s.remove))
	mux.HandleFunc("GET /v1/watch", s.admit(objectapi.CallWatch, s.watch))
	mux.HandleFunc("GET /v1/vms", s.admit(objectapi.CallVMs, s.listVMs))
	mux.HandleFunc("PUT /v1/vms/{name}", s.admit(objectapi.CallAnnounce, s.announce))
	mux.HandleFunc("DELETE /v1/vms/{name}", s.admit(objectapi.CallAnnounce, s.removeVM))
	return mux
}

// reply is the answer of a call.
type reply struct {
	status int
	body   any
}

// admit counts a call and applies the faults around it.
func (s *Server) admit(kind objectapi.CallKind, serve func(*http.Request) reply) http.HandlerFunc {
	changes := kind == objectapi.CallPut || kind == objectapi.CallDelete
	return func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(string(kind), 1)
		zone := ident.AvailabilityZone(r.Header.Get(objectapi.ZoneHeader))
		if !s.pass(r.Context(), zone) {
			panic(http.ErrAbortHandler)
		}
		if status := s.refusal(changes); status != 0 {
			write(w, reply{status, nil})
			return
		}
		answer := serve(r)
		if changes && answer.status == http.StatusOK && s.loses() {
			panic(http.ErrAbortHandler)
		}
		if !s.passAnswer(r.Context(), zone) {
			panic(http.ErrAbortHandler)
		}
		write(w, answer)
	}
}

// pass waits while the zone is cut off, then for the delay of slow calls. False
// means that the caller gave up.
func (s *Server) pass(ctx context.Context, zone ident.AvailabilityZone) bool {
	if !s.passAnswer(ctx, zone) {
		return false
	}
	s.mu.Lock()
	slow := s.slow
	s.mu.Unlock()
	return slow == 0 || s.sleep(ctx, slow)
}

func (s *Server) passAnswer(ctx context.Context, zone ident.AvailabilityZone) bool {
	for {
		s.mu.Lock()
		cut, changed := s.cut[zone], s.changed
		s.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-s.stop.Done():
			return false
		}
	}
}

func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-s.stop.Done():
	}
	return false
}

// refusal returns the status of a call that is not served, or zero.
func (s *Server) refusal(changes bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.reads
	if changes {
		limiter = s.writes
	}
	switch {
	case s.outage:
		return http.StatusServiceUnavailable
	case !limiter.Allow():
		return http.StatusTooManyRequests
	}
	return 0
}

func (s *Server) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose == 0 {
		return false
	}
	s.lose--
	return true
}

func write(w http.ResponseWriter, answer reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.status)
	if answer.body != nil {
		_ = json.NewEncoder(w).Encode(answer.body)
	}
}

func keyOf(r *http.Request) objectKey {
	return objectKey{objectapi.Kind(r.PathValue("kind")), r.PathValue("name")}
}

// ifVersion reads the condition of DELETE; nil means none.
func ifVersion(r *http.Request) (*objectapi.Version, error) {
	text := r.URL.Query().Get("if_version")
	if text == "" {
		return nil, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	version := objectapi.Version(number)
	return &version, err
}

func kindsOf(r *http.Request) []objectapi.Kind {
	var kinds []objectapi.Kind
	for name := range strings.SplitSeq(r.URL.Query().Get("kinds"), ",") {
		kinds = append(kinds, objectapi.Kind(name))
	}
	return kinds
}
