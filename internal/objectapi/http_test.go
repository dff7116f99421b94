package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) *HTTPClient {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewHTTPClient(server.Listener.Addr().String(), WithTimeout(time.Minute))
}

func respond(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }
}

// Guards against names that lead a call to another object, and against texts that are written
// as others.
func TestUnsendableTextsAreRefused(t *testing.T) {
	calls := 0
	c := newTestClient(t, func(http.ResponseWriter, *http.Request) { calls++ })
	for _, name := range []string{"", ".", "..", "a\xff"} {
		_, err := c.Get(t.Context(), KindGroup, name)
		assert.Equal(t, framing.ReasonOf(err), framing.Field, "get %q: %v", name, err)
		_, err = c.Put(t.Context(), KindGroup, name, 1, 0)
		assert.Equal(t, framing.ReasonOf(err), framing.Field, "put %q: %v", name, err)
		err = c.Delete(t.Context(), KindGroup, name, 1)
		assert.Equal(t, framing.ReasonOf(err), framing.Field, "delete %q: %v", name, err)
		err = c.Announce(t.Context(), VM{Name: "vm" + "\xff"})
		assert.Equal(t, framing.ReasonOf(err), framing.Field)
	}
	_, err := c.Put(t.Context(), KindGroup, "g1", "a\xff", 0)
	assert.Equal(t, framing.ReasonOf(err), framing.Field)
	assert.Equal(t, calls, 0)
}

// Guards against a missing, shortened or foreign response that is taken for an object that does
// not exist, for an empty list, or for another object.
func TestResponsesAreWhole(t *testing.T) {
	object := `{"kind":"group","name":"g1","version":7,"value":{"a":1}}`
	for _, body := range []string{"", " ", "null", "{}", "[]", object + object, object[:len(object)-1], strings.Replace(object, "g1", "g2", 1),
		strings.Replace(object, `"group"`, `"zone-ack"`, 1), strings.Replace(object, `:1`, ":\"\xff\"", 1), strings.Replace(object, `,"value":{"a":1}`, "", 1)} {
		c := newTestClient(t, respond(body))
		_, err := c.Get(t.Context(), KindGroup, "g1")
		assert.Equal(t, resultcode.Of(err), resultcode.PlatformDown, "get: %q", body)
		_, err = c.Put(t.Context(), KindGroup, "g1", 1, 3)
		assert.Equal(t, resultcode.Of(err), resultcode.PlatformDown, "put: %q", body)
	}
	changes := `{"objects":[],"deleted":null,"version":7}`
	for _, body := range []string{"", "null", "{}", "[]", `{"objects":[]}`, changes + changes, changes[:len(changes)-1]} {
		c := newTestClient(t, respond(body))
		_, err := c.List(t.Context(), KindGroup)
		assert.Equal(t, resultcode.Of(err), resultcode.PlatformDown, "list: %q", body)
		_, err = c.Watch(t.Context(), []Kind{KindGroup}, 3, 0)
		assert.Equal(t, resultcode.Of(err), resultcode.PlatformDown, "watch: %q", body)
	}
	c := newTestClient(t, respond(changes))
	all, err := c.List(t.Context(), KindGroup)
	assert.NilError(t, err)
	assert.Equal(t, all.Version, Version(7))
	c = newTestClient(t, respond(object))
	o, err := c.Get(t.Context(), KindGroup, "g1")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), `{"a":1}`)
}

// Guards against a redirection that leads a call to another object, and against a response
// without end.
func TestResponsesAreBounded(t *testing.T) {
	calls := 0
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == 1 {
			http.Redirect(w, r, "/v1/objects/group/g1?again", http.StatusTemporaryRedirect)
			return
		}
		fmt.Fprint(w, `{"kind":"group","name":"g1","version":7,"value":1}`)
	})
	_, err := c.Put(t.Context(), KindGroup, "g1", 1, 3)
	assert.Equal(t, resultcode.Of(err), resultcode.PlatformDown)
	assert.Equal(t, calls, 1)
	sent := 0
	c = newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		part := []byte(strings.Repeat(" ", 1<<20))
		for ; sent < MaxResponseBytes+16<<20; sent += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	_, err = c.List(t.Context(), KindGroup)
	assert.ErrorContains(t, err, "larger than")
	assert.Equal(t, resultcode.Of(err), resultcode.PlatformDown)
}

// unreadable is a client whose object has a value that cannot be read.
type unreadable struct{ Client }

func (unreadable) Get(_ context.Context, kind Kind, name string) (Object, error) {
	return Object{Kind: kind, Name: name, Version: 7}, nil
}

// Guards against an update that takes an unreadable value for a new one and replaces it.
func TestUpdateKeepsUnreadableValue(t *testing.T) {
	change := func(*struct{ WriterTag }, bool) error { t.Error("the value was changed"); return nil }
	_, err := Update(t.Context(), unreadable{}, NewWriter("vm-1", 1), KindGroup, "g1", change)
	assert.Equal(t, resultcode.Of(err), resultcode.PlatformBadRequest)
}

// FuzzResponse looks for a body that is taken for another object than the one of the call.
func FuzzResponse(f *testing.F) {
	for _, body := range []string{"", "null", `{"kind":"group","name":"g1","version":7,"value":1}`, `{"kind":"group","name":"g1"} {}`, `{"name":"g1","name":"g2"}`} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var o Object
		if err := decode(http.StatusOK, "GET", body, &o); err != nil {
			return
		}
		if o.check(KindGroup, "g1") == nil && (o.Name != "g1" || o.Kind != KindGroup || o.Version == 0) {
			t.Fatalf("%q", body)
		}
		if !json.Valid(body) {
			t.Fatalf("not one value: %q", body)
		}
	})
}
