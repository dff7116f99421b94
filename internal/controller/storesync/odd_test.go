package storesync

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/core/instant"
	"github.com/rosemarywall/rosemarywall/internal/framing"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
)

func (f *testFollower) upstreams() []string {
	names := []string{}
	for _, u := range f.Snapshot().Upstreams["g1"] {
		names = append(names, string(u.Name))
	}
	return names
}

// Guards against an upstream that remains in the view for ever after its registration became
// invalid, and against one that does not return with its next valid registration.
func TestUpstreamWithInvalidRegistrationLeaves(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		store.change(func() {
			store.upstream["u1"] = catalog.Upstream{Name: "u1", Group: "g1", Revision: 7}
			store.upstream["u2"] = catalog.Upstream{Name: "u2", Group: "g1", Revision: 8}
		})
		time.Sleep(2 * firstRelistInterval)
		store.change(func() { store.invalid["u1"] = 9 })
		time.Sleep(2 * firstRelistInterval)
		_, deregistered := f.Snapshot().Deregistered["u1"]
		assert.Assert(t, deregistered)
		time.Sleep(deregisteredRetention + 2*firstRelistInterval)
		assert.DeepEqual(t, f.upstreams(), []string{"u2"})
		store.change(func() {
			delete(store.invalid, "u1")
			store.upstream["u1"] = catalog.Upstream{Name: "u1", Group: "g1", Revision: 10}
		})
		time.Sleep(2 * firstRelistInterval)
		assert.DeepEqual(t, f.upstreams(), []string{"u1", "u2"})
		assert.Equal(t, len(f.Snapshot().Leaving), 0)
	})
}

// Guards against log lines for each reading of invalid registrations, of which there may be
// hundreds.
func TestInvalidRegistrationIsLoggedOnce(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		var out bytes.Buffer
		f.mu.Lock()
		f.log = zerolog.New(&out)
		f.mu.Unlock()
		lines := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return strings.Count(out.String(), "invalid upstream registration ignored")
		}
		store.change(func() { store.invalid["u1"], store.unnamed = 9, 3 })
		time.Sleep(10 * firstRelistInterval)
		assert.Equal(t, lines(), 1)
		store.change(func() { store.invalid["u1"] = 10 })
		time.Sleep(10 * firstRelistInterval)
		assert.Equal(t, lines(), 2)
		store.change(func() { delete(store.invalid, "u1") })
		time.Sleep(10 * firstRelistInterval)
		store.change(func() { store.invalid["u1"] = 10 })
		time.Sleep(10 * firstRelistInterval)
		assert.Equal(t, lines(), 3)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, strings.Count(out.String(), "without a readable name"), 1)
	})
}

// Guards against invalid registrations that are sent to the other VMs of the zone, and against
// an upstream that remains in use there.
func TestInvalidRegistrationIsNotRelayed(t *testing.T) {
	runRelayed(t, func(first, second *testFollower) {
		first.store.change(func() {
			first.store.upstream["u1"] = catalog.Upstream{Name: "u1", Group: "g1", Revision: 7}
			first.store.upstream["u2"] = catalog.Upstream{Name: "u2", Group: "g1", Revision: 8}
		})
		time.Sleep(2 * firstRelistInterval)
		assert.DeepEqual(t, second.upstreams(), []string{"u1", "u2"})
		first.store.change(func() { first.store.invalid["u1"], first.store.invalid["u3"] = 9, 10 })
		time.Sleep(2 * firstRelistInterval)
		view := first.ServeView(t.Context(), ViewRequest{Kind: "upstreams"})
		assert.Equal(t, len(view.Objects), 1)
		assert.Equal(t, view.Objects[0].Name, "u2")
		_, deregistered := second.Snapshot().Deregistered["u1"]
		assert.Assert(t, deregistered)
		assert.Equal(t, first.ViewProof().Digest, second.ViewProof().Digest)
		time.Sleep(deregisteredRetention + 2*firstRelistInterval)
		assert.DeepEqual(t, first.upstreams(), []string{"u2"})
	})
}

// Guards against an invalid registration that a watch reports and that keeps the upstream in
// use until the next list.
func TestInvalidRegistrationInWatch(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		store.change(func() { store.upstream["u1"] = catalog.Upstream{Name: "u1", Group: "g1", Revision: 7} })
		time.Sleep(2 * firstRelistInterval)
		odd := objectapi.Object{Name: "u1", Version: 20}
		f.applyChanges("upstreams", objectapi.Changes{Objects: []objectapi.Object{odd}, Version: 20}, f.changeUpstreams)
		_, leaving := f.Snapshot().Leaving["u1"]
		assert.Assert(t, leaving)
		f.applyChanges("upstreams", objectapi.Changes{Deleted: []objectapi.Object{odd}, Version: 21}, f.changeUpstreams)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, len(f.invalid), 0)
	})
}

// Guards against rejected entries of a configuration that are logged and counted with each
// reading, and against a configuration that one of them keeps from being in force.
func TestRejectedEntryIsLoggedOnceForEachVersion(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		var out bytes.Buffer
		invalid := 0
		f.mu.Lock()
		f.log, f.onInvalid = zerolog.New(&out), func() { invalid++ }
		f.mu.Unlock()
		reject := func(version uint64, places ...string) {
			c := &catalog.Catalog{Version: ident.ConfigurationVersion(version)}
			for _, place := range places {
				c.Rejected = append(c.Rejected, framing.New(framing.Field, "%s is empty", place))
			}
			for range 3 {
				f.installCatalog(c, objectapi.Object{Version: objectapi.Version(version)}, instant.At(f.elapsed()), sourceStore)
			}
			assert.Equal(t, uint64(f.Snapshot().Catalog.Version), version)
		}
		reject(7, "tenants[3].name", "routes[0].host")
		reject(8, "tenants[3].name")
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, invalid, 3)
		assert.Equal(t, strings.Count(out.String(), "entry of the configuration rejected"), 3)
		assert.Equal(t, strings.Count(out.String(), "tenants[3].name is empty"), 2)
	})
}
