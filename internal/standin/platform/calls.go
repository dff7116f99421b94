package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

func (s *Server) get(r *http.Request) reply {
	object, ok := s.store.get(keyOf(r))
	if !ok {
		return reply{http.StatusNotFound, nil}
	}
	return reply{http.StatusOK, object}
}

func (s *Server) list(r *http.Request) reply {
	changes, _, _ := s.store.changes([]objectapi.Kind{objectapi.Kind(r.PathValue("kind"))}, 0)
	changes.Deleted = nil
	return reply{http.StatusOK, changes}
}

func (s *Server) put(r *http.Request) reply {
	body, err := io.ReadAll(io.LimitReader(r.Body, objectapi.MaxValueBytes+envelopeBytes))
	if err != nil {
		return reply{http.StatusBadRequest, nil}
	}
	if len(body) >= objectapi.MaxValueBytes+envelopeBytes {
		return reply{http.StatusRequestEntityTooLarge, nil}
	}
	var request objectapi.PutRequest
	if json.Unmarshal(body, &request) != nil || len(request.Value) == 0 {
		return reply{http.StatusBadRequest, nil}
	}
	if len(request.Value) > objectapi.MaxValueBytes {
		return reply{http.StatusRequestEntityTooLarge, nil}
	}
	object, stored := s.store.put(keyOf(r), request.Value, request.IfVersion)
	if !stored {
		return reply{http.StatusConflict, object}
	}
	return reply{http.StatusOK, object}
}

func (s *Server) remove(r *http.Request) reply {
	version, err := ifVersion(r)
	if err != nil {
		return reply{http.StatusBadRequest, nil}
	}
	current, present, done := s.store.remove(keyOf(r), version)
	switch {
	case !present:
		return reply{http.StatusNotFound, nil}
	case !done:
		return reply{http.StatusConflict, current}
	}
	return reply{http.StatusOK, nil}
}

// watch answers when something changed, when its time is over, or when an
// outage begins.
func (s *Server) watch(r *http.Request) reply {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return reply{http.StatusBadRequest, nil}
	}
	milliseconds, err := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64)
	if err != nil || milliseconds < 0 {
		return reply{http.StatusBadRequest, nil}
	}
	timer := time.NewTimer(min(time.Duration(milliseconds)*time.Millisecond, maxWait))
	defer timer.Stop()
	expired := false
	for {
		changes, found, changed := s.store.changes(kindsOf(r), objectapi.Version(after))
		if s.inOutage() {
			return reply{http.StatusServiceUnavailable, nil}
		}
		if found || expired {
			return reply{http.StatusOK, changes}
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return reply{http.StatusServiceUnavailable, nil}
		case <-s.stop.Done():
			return reply{http.StatusServiceUnavailable, nil}
		}
	}
}

func (s *Server) inOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *Server) listVMs(*http.Request) reply { return reply{http.StatusOK, s.vms.list()} }

func (s *Server) announce(r *http.Request) reply {
	var vm objectapi.VM
	if json.NewDecoder(r.Body).Decode(&vm) != nil || string(vm.Name) != r.PathValue("name") {
		return reply{http.StatusBadRequest, nil}
	}
	s.SetVM(vm)
	return reply{http.StatusOK, nil}
}

func (s *Server) removeVM(r *http.Request) reply {
	s.RemoveVM(ident.VMName(r.PathValue("name")))
	return reply{http.StatusOK, nil}
}
