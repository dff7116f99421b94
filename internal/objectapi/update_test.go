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

func assertCode(t *testing.T, err error, code resultcode.Code) {
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

// Guards against a change that is applied twice or lost when responses are lost or
// other writers update the same object.
func TestUpdateAppliesOnceDespiteLostResponses(t *testing.T) {
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

// Guards against unlimited retries and against the loss of the code of the last error.
func TestUpdateReturnsLastError(t *testing.T) {
	server, client := start(t)
	server.SetOutage(true)
	_, err := api.Update(t.Context(), client, api.NewWriter("vm", 1), api.KindZoneAck, "z", increment)
	assertCode(t, err, resultcode.PlatformDown)
	reject := func(*counter, bool) error { return resultcode.New(resultcode.NoteConflict, "not now") }
	server.SetOutage(false)
	_, err = api.Update(t.Context(), client, api.NewWriter("vm", 1), api.KindZoneAck, "z", reject)
	assertCode(t, err, resultcode.NoteConflict)
}

// supersedingClient replaces the object between a lost response and the next read.
type supersedingClient struct {
	*api.HTTPClient
	server *platform.Server
}

func (c supersedingClient) Put(ctx context.Context, kind api.Kind, name string, value any, version api.Version) (api.Object, error) {
	object, err := c.HTTPClient.Put(ctx, kind, name, value, version)
	if err != nil {
		c.server.Seed(kind, name, []byte(`{"writer":"other","count":10}`))
	}
	return object, err
}

// Guards against a change that is applied twice because another writer replaced the
// object after a put whose response was lost. Update must return an error instead.
func TestUpdateSupersededByAnotherWriter(t *testing.T) {
	server, client := start(t)
	server.LoseAnswers(1)
	_, err := api.Update(t.Context(), supersedingClient{client, server}, api.NewWriter("vm", 1), api.KindZoneAck, "z", increment)
	assertCode(t, err, resultcode.PlatformConflict)
	object, err := client.Get(t.Context(), api.KindZoneAck, "z")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(object.Value), `"count":10`), "%s", object.Value)
}

// Guards against retry delays that differ between runs with equal seeds, and against
// repeated writer identifiers.
func TestWriterIsSeeded(t *testing.T) {
	first, second := api.NewWriter("vm", 5), api.NewWriter("vm", 5)
	a, b := first.BackOff(), second.BackOff()
	for range 5 {
		assert.Equal(t, a.NextBackOff(), b.NextBackOff())
	}
	id := first.NewID()
	assert.Assert(t, id != first.NewID())
}
