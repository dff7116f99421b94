package operator

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer of something else than the VM that is reported as a note without
// effect, although the note was accepted.
func TestAnswerWithoutOutcomeIsNoAnswer(t *testing.T) {
	for _, answer := range []string{"null", "{}", `{"error":"bad gateway"}`, `{"outcome":"done"}`, `{"outcome":"refused"} {}`, `{"outcome":"refu`, "", "[]"} {
		f := newFake()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				f.ServeHTTP(w, r)
				return
			}
			text, _ := io.ReadAll(r.Body)
			f.post(r.URL.Query().Get("file"), text)
			w.WriteHeader(http.StatusBadGateway)
			fmt.Fprint(w, answer)
		}))
		var out, problems bytes.Buffer
		status := Main([]string{"--address", server.Listener.Addr().String(), "note", "apply", "testdata/first.ini"}, &out, &problems)
		server.Close()
		assert.Equal(t, status, exitDone, "%q: %s%s", answer, &out, &problems)
		assert.Assert(t, strings.Contains(out.String(), "accepted as version 1; the VM's answer was lost"), "%q: %s", answer, &out)
	}
}

// Guards against a redirection that takes a note, or a question, to another VM.
func TestRedirectionsAreNotFollowed(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		http.Redirect(w, r, "/v1/other", http.StatusFound)
	}))
	defer server.Close()
	var out, problems bytes.Buffer
	status := Main([]string{"--address", server.Listener.Addr().String(), "note", "history"}, &out, &problems)
	assert.Equal(t, status, exitFailed)
	assert.Equal(t, calls, 1)
}

// Guards against a half-written file whose last value is taken for a whole one.
func TestNoteThatEndsWithinLine(t *testing.T) {
	text, err := os.ReadFile("testdata/first.ini")
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "note.ini")
	for end := range len(text) {
		if end == 0 || text[end-1] == '\n' {
			continue // may be a whole note
		}
		assert.NilError(t, os.WriteFile(file, text[:end], 0o600))
		var out, problems bytes.Buffer
		status := Main([]string{"note", "check", file}, &out, &problems)
		assert.Equal(t, status, exitFailed, "%q", text[max(0, end-30):end])
		assert.Assert(t, strings.Contains(problems.String(), "half written"))
	}
}
