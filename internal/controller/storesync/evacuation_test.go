package storesync

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Guards against an evacuated zone that is used beyond the bound by a VM that learns of the
// evacuation late: after an outage, or because its watch was lost without notice.
func TestLateEvacuationIsNotUsedBeyondBound(t *testing.T) {
	for name, outage := range map[string]bool{"outage": true, "lost watch": false} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *testFollower, store *fakeStore) {
				if !outage {
					f.rank.Store(1)
					time.Sleep(firstRelistInterval) // the next list was scheduled at rank 0
				}
				acknowledged := f.elapsed()
				store.change(func() {
					store.zones = []string{"a"}
					if outage {
						store.fail = resultcode.New(resultcode.PlatformDown, "down")
					}
				})
				time.Sleep(f.times.Evacuate - time.Second)
				store.change(func() { store.fail = nil })
				for f.elapsed() < acknowledged+30*time.Second {
					if w, known := f.Snapshot().Evacuated["a"]; known {
						assert.Assert(t, !w.Usable(acknowledged+f.times.Evacuate), "learned at %v, usable until %v", w.LearnedAt-acknowledged, w.UsableUntil-acknowledged)
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
				t.Fatal("the evacuation is not learned")
			})
		})
	}
}

// Guards against clients that are refused although the evacuation is new: a view that other
// VMs have proved recently leaves time to replace the primary.
func TestRelayedProofOfViewLeavesTimeForReplacement(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		f.rank.Store(1)
		time.Sleep(2 * firstRelistInterval)
		f.ObserveView(f.elapsed(), ViewProof{Digest: f.ViewProof().Digest, Proved: true, Age: 300 * time.Millisecond})
		acknowledged := f.elapsed()
		store.change(func() { store.zones = []string{"a"} })
		f.relist["zones"] <- struct{}{}
		time.Sleep(10 * time.Millisecond)
		w := f.Snapshot().Evacuated["a"]
		assert.Assert(t, w.Usable(acknowledged+f.times.Evacuate/2))
		assert.Assert(t, !w.Usable(acknowledged+f.times.Evacuate))
	})
}

// Guards against a proof that a VM takes over from one that knows something else, and
// against lists at the store because of a VM whose view is older.
func TestOnlyNewerViewsCauseLists(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		f.rank.Store(1)
		time.Sleep(2 * firstRelistInterval)
		before := f.ViewProof().Age
		_, lists := store.calls()
		for range 4 {
			f.ObserveView(f.elapsed(), ViewProof{Digest: 4711, Proved: true, Age: f.ViewProof().Age + time.Second})
			time.Sleep(digestMismatchLimit)
		}
		_, after := store.calls()
		assert.Equal(t, after, lists)
		assert.Assert(t, f.ViewProof().Age >= before+4*digestMismatchLimit, "a different view is no proof")
	})
}

// Guards against an evacuation that ends, or an upstream that counts as gone, because a VM
// that has listed the store itself returns to a relay whose view is older.
func TestOlderViewOfRelayIsIgnored(t *testing.T) {
	runRelayed(t, func(first, second *testFollower) {
		second.store.change(func() {
			second.store.zones = []string{"a"}
			second.store.upstream["u1"] = catalog.Upstream{Name: "u1", Group: "g1", Revision: 2}
		})
		for range 3 {
			second.ObserveView(second.elapsed(), ViewProof{Digest: 4711, Proved: true})
			time.Sleep(digestMismatchLimit)
		}
		known := func() {
			assert.Equal(t, len(second.Snapshot().Evacuated), 1)
			assert.Equal(t, len(second.Snapshot().Upstreams["g1"]), 1)
			assert.Equal(t, len(second.Snapshot().Deregistered), 0)
		}
		known()
		time.Sleep(2 * relayBypassTime)
		known()
		first.store.change(func() { first.store.revision = 10 })
		time.Sleep(firstRelistInterval + 100*time.Millisecond)
		known()
		first.store.change(func() { first.store.zones = []string{"c"} })
		time.Sleep(firstRelistInterval + 100*time.Millisecond)
		_, ended := second.Snapshot().Evacuated["c"]
		assert.Assert(t, ended && len(second.Snapshot().Evacuated) == 1, "a newer view applies")
	})
}

// Guards against a draining upstream that is used beyond the bound by a VM that learns of it
// late, after an outage.
func TestLateDrainIsNotUsedBeyondBound(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		store.change(func() { store.upstream["u1"] = catalog.Upstream{Name: "u1", Group: "g1", Revision: 7} })
		time.Sleep(firstRelistInterval + time.Second)
		acknowledged := f.elapsed()
		store.change(func() {
			store.upstream["u1"] = drainingUpstream("u1", 8)
			store.fail = resultcode.New(resultcode.PlatformDown, "down")
		})
		time.Sleep(f.times.Drain - time.Second)
		store.change(func() { store.fail = nil })
		time.Sleep(maxRetryDelay + 100*time.Millisecond)
		w, leaving := f.Snapshot().Leaving["u1"]
		assert.Assert(t, leaving && !w.Usable(acknowledged+f.times.Drain), "usable until %v after the acknowledgement", w.UsableUntil-acknowledged)
	})
}
