package storesync

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// fakeStore is an in-memory store.
type fakeStore struct {
	mu       sync.Mutex
	version  uint64
	upstream map[string]catalog.Upstream
	invalid  map[string]objectapi.Version // registrations that cannot be decoded
	unnamed  int
	zones    []string
	revision objectapi.Version
	fail     error
	delay    time.Duration
	gets     int
	lists    int
}

func newStore() *fakeStore {
	return &fakeStore{version: 1, revision: 1, upstream: map[string]catalog.Upstream{}, invalid: map[string]objectapi.Version{}}
}

func (s *fakeStore) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	f()
}

// calls returns the number of Get and List calls.
func (s *fakeStore) calls() (gets, lists int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gets, s.lists
}

func (s *fakeStore) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	s.mu.Lock()
	s.gets++
	delay, fail := s.delay, s.fail
	value, _ := json.Marshal(s.version)
	o := objectapi.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	s.mu.Unlock()
	time.Sleep(delay)
	return o, fail
}

func (s *fakeStore) List(_ context.Context, kind objectapi.Kind) (objectapi.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	all := objectapi.Changes{Version: s.revision}
	if kind == "zones" {
		for _, zone := range s.zones {
			all.Objects = append(all.Objects, objectapi.Object{Name: zone, Version: s.revision})
		}
		return all, s.fail
	}
	all.Unnamed = s.unnamed
	for name, version := range s.invalid {
		all.Objects = append(all.Objects, objectapi.Object{Name: name, Version: version, Value: []byte("{")})
	}
	for name, u := range s.upstream {
		if s.invalid[name] > 0 {
			continue
		}
		value, _ := json.Marshal(u)
		all.Objects = append(all.Objects, objectapi.Object{Name: name, Version: objectapi.Version(u.Revision), Value: value})
	}
	return all, s.fail
}

// Watch never reports a change, like a watch that the store has lost.
func (s *fakeStore) Watch(ctx context.Context, _ []objectapi.Kind, after objectapi.Version, timeout time.Duration) (objectapi.Changes, error) {
	select {
	case <-time.After(timeout):
		return objectapi.Changes{Version: after}, nil
	case <-ctx.Done():
		return objectapi.Changes{}, ctx.Err()
	}
}

type testFollower struct {
	*Follower
	store *fakeStore
	rank  atomic.Int64
	start time.Time
	// relayUnresponsive makes requests to the relay time out.
	relayUnresponsive atomic.Bool
}

func (f *testFollower) elapsed() time.Duration { return time.Since(f.start) }

func newFollower(store *fakeStore) *testFollower { return newRelayedFollower(store, nil) }

// newRelayedFollower returns a follower that has another one as its relay.
func newRelayedFollower(store *fakeStore, relay *testFollower) *testFollower {
	f := &testFollower{store: store, start: time.Now()}
	options := Options{
		Source: Source{
			Store: store, ConfigKind: "config", ConfigName: "main", UpstreamsKind: "upstreams", EvacuationsKind: "zones",
			DecodeCatalog: func(o objectapi.Object) (*catalog.Catalog, error) {
				c := &catalog.Catalog{}
				return c, o.Decode(&c.Version)
			},
			DecodeUpstream: func(o objectapi.Object) (u catalog.Upstream, err error) {
				err = o.Decode(&u)
				return u, err
			},
		},
		Times: Times{Apply: 3 * time.Second, Revoke: 5 * time.Second, Drain: 7 * time.Second, Evacuate: 5 * time.Second, Reregister: 2500 * time.Millisecond},
		Now:   f.elapsed, Log: zerolog.Nop(), Rank: func() int { return int(f.rank.Load()) },
	}
	if relay != nil {
		options.Relay = func() (ident.VMName, bool) { return "relay", true }
		options.RequestView = func(ctx context.Context, _ ident.VMName, r ViewRequest) (ViewResponse, error) {
			if f.relayUnresponsive.Load() {
				<-ctx.Done()
				return ViewResponse{}, ctx.Err()
			}
			return relay.ServeView(ctx, r), nil
		}
	}
	f.Follower = New(options)
	return f
}

// run runs a test with a follower in virtual time.
func run(t *testing.T, test func(f *testFollower, store *fakeStore)) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newStore()
		f := newFollower(store)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { f.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		test(f, store)
		cancel()
		wg.Wait()
	})
}

// Guards against a configuration that is used for longer than the time to revoke a key,
// and against a proof that is dated by the arrival of the response instead of the sending
// of the request.
func TestProofIsDatedByRequest(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		assert.Assert(t, f.Fresh())
		store.change(func() { store.delay = 700 * time.Millisecond })
		time.Sleep(3 * time.Second)
		_, age, ok := f.Proof()
		assert.Assert(t, ok)
		assert.Assert(t, age >= 700*time.Millisecond-pollResolution, "%v", age)
		store.change(func() { store.fail = resultcode.New(resultcode.PlatformDown, "down") })
		time.Sleep(5 * time.Second)
		assert.Assert(t, !f.Fresh())
		f.ObserveProof(f.elapsed()-time.Second, "vm-2", true, 1, 3*time.Second)
		assert.Assert(t, f.Fresh(), "proof is 4 s old as of the sending of the request")
		time.Sleep(600 * time.Millisecond)
		assert.Assert(t, !f.Fresh())
		f.ObserveProof(f.elapsed(), "vm-2", false, 2, 0)
		assert.Assert(t, !f.Fresh(), "a proof of another version must not count")
	})
}

// Guards against a configuration change that is applied later than the bound, and against
// all VMs reading the configuration from the store although one reads it for all.
func TestChangeIsAppliedWithinBound(t *testing.T) {
	for rank, bound := range []time.Duration{1100 * time.Millisecond, 1700 * time.Millisecond, 2 * time.Second, 2200 * time.Millisecond} {
		run(t, func(f *testFollower, store *fakeStore) {
			f.rank.Store(int64(rank))
			store.change(func() { store.version = 9 })
			time.Sleep(bound)
			assert.Equal(t, f.Snapshot().Catalog.Version, ident.ConfigurationVersion(9), "rank %d", rank)
		})
	}
	run(t, func(f *testFollower, store *fakeStore) {
		f.rank.Store(3)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			f.ObserveProof(f.elapsed(), "vm-2", false, 1, 900*time.Millisecond)
		}
		gets, _ := store.calls()
		assert.Equal(t, gets, 1)
		store.change(func() { store.version = 2 })
		f.ObserveProof(f.elapsed(), "vm-2", false, 2, 0)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, f.Snapshot().Catalog.Version, ident.ConfigurationVersion(2), "a newer version reported by a peer must be read immediately")
	})
}

// Guards against an older configuration that replaces a newer one.
func TestVersionNeverDecreases(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		store.change(func() { store.version = 5 })
		time.Sleep(2 * time.Second)
		store.change(func() { store.version = 4 })
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.Snapshot().Catalog.Version, ident.ConfigurationVersion(5))
	})
}

// Guards against upstreams that are considered leaving although their registrations only
// expired during an outage of the store, and against ones that are never considered
// leaving.
func TestRegistrationsExpiringDuringOutage(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		u := catalog.Upstream{Name: "u1", Group: "g1", Revision: 7}
		store.change(func() { store.upstream["u1"] = u })
		time.Sleep(firstRelistInterval + time.Second)
		assert.Equal(t, len(f.Snapshot().Upstreams["g1"]), 1)
		store.change(func() { store.fail = resultcode.New(resultcode.PlatformUnavailable, "down") })
		time.Sleep(firstRelistInterval)
		assert.Assert(t, !f.RegistrationsComplete())
		store.change(func() { store.fail = nil; delete(store.upstream, "u1") })
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, !f.RegistrationsComplete())
		if w, leaving := f.Snapshot().Leaving["u1"]; leaving {
			assert.Assert(t, w.LearnedAt > f.elapsed() && w.Usable(f.elapsed()), "upstream is considered leaving too early")
		}
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, f.RegistrationsComplete())
		w, leaving := f.Snapshot().Leaving["u1"]
		assert.Assert(t, leaving && w.LearnedAt <= f.elapsed())
		store.change(func() { store.upstream["u1"] = u })
		time.Sleep(firstRelistInterval + time.Second)
		_, leaving = f.Snapshot().Leaving["u1"]
		assert.Assert(t, !leaving, "upstream has registered again with the same revision")
	})
}

// Guards against registrations that count as complete while the store does not respond, and
// so against a takeover without the replicas whose registrations expire meanwhile. Other
// VMs relay fresh proofs of the configuration, so that this VM does not read it itself.
func TestRegistrationsStayIncompleteDuringOutage(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		time.Sleep(2 * firstRelistInterval)
		assert.Assert(t, f.RegistrationsComplete())
		store.change(func() { store.fail = resultcode.New(resultcode.PlatformDown, "down") })
		noticed := false
		for range 80 {
			time.Sleep(200 * time.Millisecond)
			f.ObserveProof(f.elapsed(), "vm-2", true, 1, 0)
			complete := f.RegistrationsComplete()
			assert.Assert(t, !complete || !noticed, "registrations count as complete")
			noticed = noticed || !complete
		}
		assert.Assert(t, noticed)
		assert.Assert(t, f.Fresh())
	})
}

// Guards against a draining upstream or an evacuated zone that continues to receive work,
// and against an evacuation that never ends.
func TestDrainingAndEvacuation(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		store.change(func() {
			store.upstream["u1"] = catalog.Upstream{Name: "u1", Group: "g1", Revision: 7, State: catalog.Draining}
			store.zones = []string{"a"}
		})
		time.Sleep(firstRelistInterval + time.Second)
		_, leaving := f.Snapshot().Leaving["u1"]
		assert.Assert(t, leaving)
		_, evacuated := f.Snapshot().Evacuated["a"]
		assert.Assert(t, evacuated)
		store.change(func() { store.zones = nil })
		time.Sleep(firstRelistInterval + time.Second)
		_, evacuated = f.Snapshot().Evacuated["a"]
		assert.Assert(t, !evacuated)
	})
}

// Guards against a VM whose watch was lost without notice and that therefore keeps
// outdated registrations, although the digest of another VM differs.
func TestLostWatchIsDetectedByDigest(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		f.rank.Store(1)
		time.Sleep(firstRelistInterval) // the next list was scheduled at rank 0
		assert.Equal(t, f.ViewProof().Digest, uint64(0))
		store.change(func() { store.upstream["u1"] = catalog.Upstream{Name: "u1", Group: "g1", Revision: 7} })
		for range 3 {
			f.ObserveView(f.elapsed(), ViewProof{Digest: 4711, Proved: true})
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, len(f.Snapshot().Upstreams["g1"]), 1)
		assert.Assert(t, f.ViewProof().Digest != 0)
	})
}
