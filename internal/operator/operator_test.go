package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	configcontroller "github.com/rosemarywall/rosemarywall/internal/controller/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// fakeVM is the administration address of a VM in front of one configuration.
type fakeVM struct {
	mu      sync.Mutex // requests may overlap after an answer was lost
	current *configuration.Configuration
	history []configcontroller.HistoryEntry
	answer  *configcontroller.Result // replaces the answer to a note
	lose    string                   // "before" or "after" the note takes effect
	posts   int
}

func (f *fakeVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var body any
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/configuration":
		body = f.current
	case "GET /v1/notes":
		body = f.history
	case "GET /v1/status":
		body = configcontroller.Status{VM: "entry-1", Version: f.current.Version, Proposal: f.current.Version + 1, Reason: "test",
			Members: []configcontroller.MemberStatus{
				{Name: "entry-1", Zone: "ruse-a", State: "alive", Known: true, Version: f.current.Version},
				{Name: "entry-2", Zone: "plovdiv-a", State: "suspect"}}}
	case "GET /debug/state":
		body = map[string]any{"version": "test"}
	case "POST /v1/notes":
		f.posts++
		text, _ := io.ReadAll(r.Body)
		body = f.post(r.URL.Query().Get("file"), text)
	default:
		http.NotFound(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (f *fakeVM) post(file string, text []byte) configcontroller.Result {
	if f.lose == "before" {
		panic(http.ErrAbortHandler)
	}
	if f.answer != nil {
		return *f.answer
	}
	note, problems := configuration.ParseNote(file, text)
	if note == nil {
		return configcontroller.Result{Outcome: configcontroller.OutcomeRefused, Problems: problems, Code: problems[0].Code}
	}
	next, changes, problems := configuration.Apply(f.current, note)
	if next == nil {
		return configcontroller.Result{Outcome: configcontroller.OutcomeRefused, Problems: problems, Code: problems[0].Code}
	}
	f.current = next
	f.history = append([]configcontroller.HistoryEntry{{Version: next.Version, Title: note.Title, Changes: changes, Note: text}}, f.history...)
	if f.lose == "after" {
		panic(http.ErrAbortHandler)
	}
	return configcontroller.Result{Outcome: configcontroller.OutcomeAccepted, Version: next.Version, Changes: changes, InForceAfter: 412 * time.Millisecond}
}

// run starts the command against the fake VM and records what it prints.
func (f *fakeVM) run(t *testing.T, arguments ...string) (status int, printed string) {
	server := httptest.NewUnstartedServer(f)
	server.Config.ErrorLog = nil
	server.Start()
	defer server.Close()
	address := server.Listener.Addr().String()
	for i := range arguments {
		arguments[i] = strings.ReplaceAll(arguments[i], "SELF", address)
	}
	var out, problems bytes.Buffer
	status = Main(append([]string{"--address", address}, arguments...), &out, &problems)
	printed = fmt.Sprintf("$ %s\n%s%sexit status %d\n", strings.Join(arguments, " "), &out, &problems, status)
	printed = strings.ReplaceAll(printed, address, "SELF")
	return status, regexp.MustCompile(`"?127\.0\.0\.1:\d+->.*`).ReplaceAllString(printed, "...")
}

func newFake() *fakeVM { return &fakeVM{current: configuration.Empty()} }

// Guards against commands that print something else than what happened, or whose
// exit status hides a refusal.
func TestSession(t *testing.T) {
	f := newFake()
	var session strings.Builder
	for _, line := range []string{
		"note check testdata/first.ini", "note diff testdata/first.ini", "note apply testdata/first.ini",
		"note check testdata/first.ini", "note apply testdata/bad.ini", "note apply testdata/second.ini",
		"note status", "note history", "dump SELF", "note apply testdata/none.ini", "note check", "key new web",
	} {
		_, printed := f.run(t, strings.Fields(line)...)
		session.WriteString(printed + "\n")
	}
	golden.Assert(t, session.String(), "session.golden")
	assert.Equal(t, f.posts, 2, "a note with problems of form is not sent")
}

// Guards against results that sound better or worse than they are.
func TestOutcomes(t *testing.T) {
	change := []configuration.Change{{Action: configuration.ActionWithdraw, Kind: configuration.KindKey, Name: "web/main"}}
	var session strings.Builder
	for _, test := range []struct {
		result configcontroller.Result
		status int
	}{
		{configcontroller.Result{Outcome: configcontroller.OutcomeRefused, Version: 2, Changes: change, Code: resultcode.NoteConflict, Detail: "another note became version 2 first"}, exitFailed},
		{configcontroller.Result{Outcome: configcontroller.OutcomePending, Version: 2, Changes: change, Code: resultcode.NoteNotAccepted, Detail: "1 of 3 zones acknowledged"}, exitOpen},
		{configcontroller.Result{Outcome: configcontroller.OutcomeUnknown, Code: resultcode.PlatformDown, Detail: "no answer"}, exitOpen},
		{configcontroller.Result{Outcome: configcontroller.OutcomeAccepted, Version: 2, Changes: change, InForceAfter: 6 * time.Second, Lagging: []ident.VMName{"entry-9"}}, exitDone},
	} {
		f := newFake()
		f.answer = &test.result
		status, printed := f.run(t, "note", "apply", "testdata/first.ini")
		assert.Equal(t, status, test.status)
		session.WriteString(printed + "\n")
	}
	golden.Assert(t, session.String(), "outcomes.golden")
}

// Guards against a note that is sent again, or reported as failed, although it
// was accepted before the connection to the VM was lost.
func TestLostAnswerOfAnAcceptedNote(t *testing.T) {
	f := newFake()
	f.lose = "after"
	status, printed := f.run(t, "note", "apply", "testdata/first.ini")
	assert.Equal(t, status, exitDone, printed)
	assert.Assert(t, strings.Contains(printed, "accepted as version 1; the VM's answer was lost"), printed)
	assert.Equal(t, f.posts, 1)
}

// Guards against a key that is stored with its note, and a hash that does not
// belong to the key.
func TestNewKey(t *testing.T) {
	var out, problems bytes.Buffer
	assert.Equal(t, Main([]string{"key", "new", "web/main"}, &out, &problems), exitDone)
	key := strings.TrimSpace(strings.TrimPrefix(problems.String(), "key, shown only now: "))
	assert.Equal(t, len(key), 43)
	assert.Equal(t, out.String(), fmt.Sprintf("[add key web/main]\nhash = sha256:%x\n", configuration.HashKey(key)))

	file := filepath.Join(t.TempDir(), "note.ini")
	assert.NilError(t, os.WriteFile(file, append([]byte("[note]\ntitle = t\n"), out.Bytes()...), 0o600))
	assert.Equal(t, Main([]string{"note", "check", file}, &out, &problems), exitDone)
}
