package objectapi_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	api "github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/standin/platform"
)

func start(t *testing.T) (*platform.Server, *api.HTTPClient) {
	t.Helper()
	server, err := platform.Start("")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server, api.NewHTTPClient(server.Address(), api.WithTimeout(10*time.Second))
}

func expect(t *testing.T, err error, code resultcode.Code) {
	t.Helper()
	assert.Equal(t, resultcode.Of(err), code, "%v", err)
}

type counter struct {
	api.WriterTag
	Count int `json:"count"`
}

func increment(value *counter, _ bool) error {
	value.Count++
	return nil
}

// Update must apply a change exactly once although answers are lost and other
// writers interfere.
func TestUpdateOnceInSpiteOfLostAnswers(t *testing.T) {
	server, client := start(t)
	writer := api.NewWriter("vm-1-1", 7)
	for want := 1; want <= 5; want++ {
		server.LoseAnswers(1)
		object, err := api.Update(t.Context(), client, writer, api.KindZoneAck, "z", increment)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(object.Value), `"writer":"vm-1-1-`))
	}
	done := make(chan error)
	for i := range uint64(4) {
		go func() {
			_, err := api.Update(context.Background(), client, api.NewWriter("vm-"+string(rune('a'+i)), i), api.KindZoneAck, "z", increment)
			done <- err
		}()
	}
	for range 4 {
		assert.NilError(t, <-done)
	}
	object, err := client.Get(t.Context(), api.KindZoneAck, "z")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(object.Value), `"count":9`), "%s", object.Value)
}

// Retries must end with the code of the last error.
func TestUpdateGivesUp(t *testing.T) {
	server, client := start(t)
	server.SetOutage(true)
	_, err := api.Update(t.Context(), client, api.NewWriter("vm", 1), api.KindZoneAck, "z", increment)
	expect(t, err, resultcode.PlatformDown)
	refuse := func(*counter, bool) error { return resultcode.New(resultcode.NoteConflict, "not now") }
	server.SetOutage(false)
	_, err = api.Update(t.Context(), client, api.NewWriter("vm", 1), api.KindZoneAck, "z", refuse)
	expect(t, err, resultcode.NoteConflict)
}

// overtaking replaces the object between a lost answer and the next read.
type overtaking struct {
	*api.HTTPClient
	server *platform.Server
}

func (o overtaking) Put(ctx context.Context, kind api.Kind, name string, value any, version api.Version) (api.Object, error) {
	object, err := o.HTTPClient.Put(ctx, kind, name, value, version)
	if err != nil {
		o.server.Seed(kind, name, []byte(`{"writer":"other","count":10}`))
	}
	return object, err
}

// When another writer replaced the object after an own write without answer, a
// second application would count twice: Update must report it instead.
func TestUpdateOvertaken(t *testing.T) {
	server, client := start(t)
	server.LoseAnswers(1)
	_, err := api.Update(t.Context(), overtaking{client, server}, api.NewWriter("vm", 1), api.KindZoneAck, "z", increment)
	expect(t, err, resultcode.PlatformConflict)
	object, err := client.Get(t.Context(), api.KindZoneAck, "z")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(object.Value), `"count":10`), "%s", object.Value)
}

// Equal seeds must give equal retry delays, so that a run can be repeated, and
// identifiers must never repeat.
func TestWriterIsSeeded(t *testing.T) {
	first, second := api.NewWriter("vm", 5), api.NewWriter("vm", 5)
	a, b := first.BackOff(), second.BackOff()
	for range 5 {
		assert.Equal(t, a.NextBackOff(), b.NextBackOff())
	}
	id := first.NewID()
	assert.Assert(t, id != first.NewID())
}
