package admin

import (
	"expvar"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func get(t *testing.T, s *Server, path string) (int, string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	s.mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	body, err := io.ReadAll(recorder.Body)
	assert.NilError(t, err)
	return recorder.Code, string(body)
}

// Guards against a load balancer that keeps sending callers to a draining VM.
func TestReadinessTurnsOffWhileLivenessStays(t *testing.T) {
	ready := true
	s := New(func() (bool, string) { return ready, "draining" })
	code, _ := get(t, s, "/readyz")
	assert.Equal(t, code, http.StatusOK)
	ready = false
	code, body := get(t, s, "/readyz")
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Equal(t, body, "draining\n")
	code, _ = get(t, s, "/livez")
	assert.Equal(t, code, http.StatusOK)
}

// Guards against a component whose state is missing from the dump.
func TestStateHoldsEveryComponent(t *testing.T) {
	s := New(func() (bool, string) { return true, "" })
	s.AddDump("callers", func() any { return map[string]int{"idle": 2} })
	code, body := get(t, s, "/debug/state")
	assert.Equal(t, code, http.StatusOK)
	assert.Assert(t, cmp.Contains(body, `"idle": 2`))
	assert.Assert(t, cmp.Contains(body, `"version"`))
}

// Guards against an empty body with status 200 for a state or metrics that cannot be encoded, and
// against requests without bounds.
func TestUnreadableStateIsAnError(t *testing.T) {
	s := New(func() (bool, string) { return true, "" })
	s.AddDump("callers", func() any { return math.NaN() })
	code, body := get(t, s, "/debug/state")
	assert.Equal(t, code, http.StatusInternalServerError)
	assert.Assert(t, cmp.Contains(body, "cannot be encoded"))
	s.AddVars("odd", expvar.Func(func() any { return math.Inf(1) }))
	code, _ = get(t, s, "/debug/vars")
	assert.Equal(t, code, http.StatusInternalServerError)
	assert.Assert(t, s.http.ReadTimeout > 0 && s.http.IdleTimeout > 0 && s.http.MaxHeaderBytes > 0)
}
