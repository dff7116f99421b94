package storesync

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// runRelayed runs a VM that follows the store and one that follows the former, which
// reaches the same contents through a store of its own.
func runRelayed(t *testing.T, test func(first, second *testFollower)) {
	virtualtime.Test(t, func(t *testing.T) {
		first := newFollower(newStore())
		second := newRelayedFollower(newStore(), first)
		second.rank.Store(3)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { first.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		wg.Go(func() { second.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		test(first, second)
		cancel()
		wg.Wait()
	})
}

// tell passes the proof of the first VM on, as a probe does.
func tell(first, second *testFollower) {
	version, age, _ := first.Proof()
	second.ObserveProof(second.elapsed(), "relay", true, version, age)
}

func drain(name ident.UpstreamName, revision uint64) catalog.Upstream {
	return catalog.Upstream{Name: name, Group: "g1", Revision: revision, State: catalog.Draining}
}

// Guards against store calls by every VM of a zone: one reads, the others learn of
// changes from it, and sooner than a list of their own would tell.
func TestZoneLearnsFromOneVM(t *testing.T) {
	runRelayed(t, func(first, second *testFollower) {
		before, _ := second.store.calls()
		first.store.change(func() {
			first.store.upstream["u1"] = drain("u1", 7)
			first.store.version = 9
		})
		for range 2 * firstRelist / time.Second {
			time.Sleep(500 * time.Millisecond)
			tell(first, second)
		}
		time.Sleep(100 * time.Millisecond)
		_, leaving := second.Snapshot().Leaving["u1"]
		assert.Assert(t, leaving)
		assert.Equal(t, second.Snapshot().Catalog.Version, ident.ConfigurationVersion(9))
		assert.Equal(t, second.Digest(), first.Digest())
		gets, lists := second.store.calls()
		assert.Equal(t, lists, 0)
		assert.Equal(t, gets, before)
		first.store.change(func() { delete(first.store.upstream, "u1") })
		time.Sleep(firstRelist + 100*time.Millisecond)
		_, gone := second.Snapshot().Deregistered["u1"]
		assert.Assert(t, gone)
	})
}

// Guards against a proof that is made younger on its way: the configuration of
// another VM is proved for the time of that VM's reading.
func TestRelayedConfigurationKeepsItsAge(t *testing.T) {
	runRelayed(t, func(first, second *testFollower) {
		first.store.change(func() { first.store.version = 2 })
		time.Sleep(1500 * time.Millisecond)
		first.store.change(func() { first.store.fail = resultcode.New(resultcode.PlatformDown, "down") })
		second.store.change(func() { second.store.fail = resultcode.New(resultcode.PlatformDown, "down") })
		time.Sleep(2 * time.Second)
		_, before, _ := first.Proof()
		tell(first, second)
		time.Sleep(100 * time.Millisecond)
		_, age, ok := second.Proof()
		assert.Assert(t, ok)
		assert.Assert(t, age >= before && age <= before+200*time.Millisecond, "%v and %v", age, before)
		time.Sleep(3 * time.Second)
		assert.Assert(t, !second.Fresh())
	})
}

// Guards against a VM that stays blind because the one that reads for it has lost the
// store or does not answer.
func TestVMReadsForItselfWithoutItsRelay(t *testing.T) {
	for name, lose := range map[string]func(first, second *testFollower){
		"store lost": func(first, _ *testFollower) {
			first.store.change(func() { first.store.fail = resultcode.New(resultcode.PlatformUnavailable, "down") })
		},
		"silent": func(_, second *testFollower) { second.relayLost.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runRelayed(t, func(first, second *testFollower) {
				lose(first, second)
				second.store.change(func() { second.store.upstream["u1"] = drain("u1", 7) })
				// The question under way is answered, the next one is not; probes end that one
				// sooner than here.
				time.Sleep(2*(viewWait+viewTimeout) + firstRelist)
				_, leaving := second.Snapshot().Leaving["u1"]
				assert.Assert(t, leaving)
			})
		})
	}
}

// Guards against a VM that trusts its relay although other VMs know more: the relay's
// watch was lost without notice.
func TestDifferentDigestEndsTheTrustInTheRelay(t *testing.T) {
	runRelayed(t, func(first, second *testFollower) {
		second.store.change(func() { second.store.upstream["u1"] = drain("u1", 7) })
		for range 3 {
			second.ObserveDigest(4711)
			time.Sleep(500 * time.Millisecond)
		}
		_, leaving := second.Snapshot().Leaving["u1"]
		assert.Assert(t, leaving)
		assert.Equal(t, len(first.Snapshot().Upstreams["g1"]), 0)
	})
}
