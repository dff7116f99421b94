package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta is the metadata of an object of the store.
type meta struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	at      uint64
	Removed bool   `json:"removed"`
	Object  object `json:"object"`
}

// store is the platform's metadata store.
type store struct {
	server *httptest.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func newStore() *store {
	s := &store{revision: 10, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = httptest.NewServer(s)
	return s
}

func (s *store) address() string { return s.server.Listener.Addr().String() }

func (s *store) close() { s.server.CloseClientConnections(); s.server.Close() }

// set writes an object as the operator and the members do.
func (s *store) set(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the cases pass values that can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, raw, nil).Meta.Revision
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.announce(change{kind: kind, at: s.revision, Removed: true, Object: o})
}

// put stores a value; s.mu must be held. A write that changes nothing is no change.
func (s *store) put(kind, name string, spec json.RawMessage, finalizers []string) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(spec) && slices.Equal(o.Meta.Finalizers, finalizers) {
		return o
	}
	s.revision++
	if !ok {
		o.Meta.Name, o.Meta.CreateRevision = name, s.revision
	}
	o.Meta.Revision, o.Meta.Finalizers, o.Spec = s.revision, append([]string{}, finalizers...), spec
	s.objects[kind][name] = o
	s.announce(change{kind: kind, at: s.revision, Object: o})
	return o
}

func (s *store) announce(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the object API.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Store-Era", "1")
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		respond(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name, isStatus)
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.at > after {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			respond(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var sent object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = sent.Meta.Name
	}
	condition := sent.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && condition > 0 && condition != current.Meta.Revision:
		respond(w, http.StatusConflict, current)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		s.announce(change{kind: kind, at: s.revision, Removed: true, Object: current})
		respond(w, http.StatusOK, current)
	case isStatus:
		s.revision++
		current.Status, current.Meta.Revision = sent.Status, s.revision
		s.objects[kind][name] = current
		s.announce(change{kind: kind, at: s.revision, Object: current})
		respond(w, http.StatusOK, current)
	default:
		respond(w, http.StatusOK, s.put(kind, name, sent.Spec, sent.Meta.Finalizers))
	}
}
