package storesync

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// restore brings the store back from a copy with the given revision, after an outage.
func (s *fakeStore) restore(outage time.Duration, revision uint64, change func()) {
	s.change(func() { s.fail = resultcode.New(resultcode.PlatformDown, "down") })
	time.Sleep(outage)
	s.change(func() {
		s.fail = nil
		s.revision = objectapi.NewVersion(s.revision.Era()+1, revision)
		change()
	})
}

// Guards against a withdrawn key that is accepted again because the copy, in which the
// newest configuration is missing, seems to prove the one before.
func TestOlderCopyDoesNotProveConfiguration(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		time.Sleep(2 * time.Second)
		store.restore(f.times.Revoke, 1, func() {})
		returned := f.elapsed()
		assert.Assert(t, !f.Fresh())
		for f.elapsed() < returned+configurationRewriteTime {
			assert.Assert(t, !f.Fresh())
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * maxRetryDelay)
		assert.Assert(t, f.Fresh(), "the configuration has not been written again, so it is the newest")
	})
	run(t, func(f *testFollower, store *fakeStore) {
		time.Sleep(2 * time.Second)
		store.restore(f.times.Revoke, 1, func() {})
		time.Sleep(configurationRewriteTime / 2)
		store.change(func() { store.version = 2 })
		time.Sleep(2 * maxRetryDelay)
		assert.Equal(t, f.Snapshot().Catalog.Version, ident.ConfigurationVersion(2))
		assert.Assert(t, f.Fresh())
	})
}

// Guards against an upstream that counts as ready again, or one that had left and is used
// again, because the copy holds an older registration.
func TestOlderRegistrationsOfCopyAreNotUsed(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		register := func(name ident.UpstreamName, era, revision uint64, state catalog.UpstreamState) {
			store.upstream[string(name)] = catalog.Upstream{Name: name, Group: "g1", State: state, Revision: uint64(objectapi.NewVersion(era, revision))}
		}
		store.change(func() {
			store.revision = 50
			register("u1", 0, 41, catalog.Draining)
			register("u2", 0, 42, catalog.Ready)
		})
		time.Sleep(firstRelistInterval + 100*time.Millisecond)
		store.change(func() { delete(store.upstream, "u2") })
		time.Sleep(firstRelistInterval + 100*time.Millisecond)
		store.restore(time.Second, 45, func() {
			register("u1", 1, 40, catalog.Ready)
			register("u2", 1, 42, catalog.Ready)
		})
		time.Sleep(f.times.Reregister - time.Second)
		leaving := f.Snapshot().Leaving
		assert.Equal(t, len(leaving), 2, "%+v", leaving)
		store.change(func() { register("u1", 1, 46, catalog.Draining); delete(store.upstream, "u2") })
		time.Sleep(2 * f.times.Reregister)
		assert.Equal(t, len(f.Snapshot().Leaving), 2)
		store.change(func() { register("u1", 1, 47, catalog.Ready) })
		time.Sleep(firstRelistInterval + 100*time.Millisecond)
		assert.Equal(t, len(f.Snapshot().Leaving), 1, "what was written after the return applies")
	})
}

// Guards against a VM that has just started and takes an older copy for current although
// the other VMs do not trust it yet.
func TestStartingVMDistrustsCopyThatOthersDistrust(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		f.ObserveView(f.elapsed(), ViewProof{Era: 3, Unsettled: f.times.Reregister})
		store.change(func() { store.revision = objectapi.NewVersion(3, 9) })
		time.Sleep(f.times.Reregister - 50*time.Millisecond)
		assert.Equal(t, f.ViewProof().Era, uint64(3))
		assert.Assert(t, f.ViewProof().Age >= f.times.Reregister, "the lists prove nothing")
	})
}

// Guards against a VM that notices a new era late and makes the others, which have trusted
// it for long, distrust the store again.
func TestLateVMDoesNotRenewDistrust(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		time.Sleep(2 * time.Second)
		store.restore(time.Second, 1, func() {})
		time.Sleep(2 * f.times.Reregister)
		trusted := f.ViewProof()
		assert.Equal(t, trusted.Era, uint64(1))
		assert.Equal(t, trusted.Unsettled, time.Duration(0))
		f.ObserveView(f.elapsed(), ViewProof{Era: 1, Unsettled: f.times.Reregister})
		assert.Equal(t, f.ViewProof().Unsettled, time.Duration(0))
	})
}

// Guards against a withdrawn key that is accepted again because a VM that has just started
// takes the older copy for current and passes its proof on to the others.
func TestProofOfVMThatTrustsCopyIsNotTakenOver(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		time.Sleep(2 * time.Second)
		store.restore(f.times.Revoke, 1, func() {}) // a later configuration was acknowledged and lost
		started := newFollower(store)
		assert.Assert(t, started.readConfiguration(context.Background()))
		version, age, ok := started.Proof()
		assert.Assert(t, ok)
		f.ObserveView(f.elapsed(), started.ViewProof())
		f.ObserveProof(f.elapsed(), "started", true, version, age)
		assert.Assert(t, !f.Fresh(), "the copy does not prove that no later configuration was acknowledged")
	})
}
