package storesync

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	_ "github.com/rosemarywall/rosemarywall/internal/fixedseed"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// Guards against revoked keys that go on to be accepted by the whole fleet because a VM that
// restarts during an outage of the store dates a relayed proof to its own start.
func TestRestartDuringOutageDoesNotRenewProof(t *testing.T) {
	runRelayed(t, func(first, second *testFollower) {
		down := resultcode.New(resultcode.PlatformDown, "down")
		first.store.change(func() { first.store.fail = down })
		second.store.change(func() { second.store.fail = down })
		lost := first.elapsed()
		for _, delay := range []time.Duration{2 * time.Second, 2 * time.Second, 400 * time.Millisecond} {
			time.Sleep(delay)
			_, before, _ := second.Proof()
			runStarted(t, first, down, func(restarted *testFollower) {
				time.Sleep(viewLoadWait)
				version, age, ok := restarted.Proof()
				assert.Assert(t, ok)
				assert.Assert(t, age >= first.elapsed()-lost, "proof is %v old, the store is away for %v", age, first.elapsed()-lost)
				second.ObserveProof(second.elapsed(), "restarted", true, version, age)
			})
			_, after, _ := second.Proof()
			assert.Assert(t, after >= before+viewLoadWait, "the proof became younger, from %v to %v", before, after)
		}
		assert.Assert(t, !first.Fresh() && !second.Fresh())
	})
}

// runStarted runs a test with a follower that has just started and has a relay; its calls of
// the store fail with the given error.
func runStarted(t *testing.T, relay *testFollower, storeError error, test func(*testFollower)) {
	t.Helper()
	started := newRelayedFollower(newStore(), relay)
	started.rank.Store(3)
	started.store.fail = storeError
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { started.Run(ctx) })
	test(started)
	cancel()
	wg.Wait()
}

// proofFleet is a fleet of followers, each with a clock of its own, whose store and messages
// take a drawn time in each direction.
type proofFleet struct {
	t   *rapid.T
	now time.Duration // time since the first start of a VM
	// acknowledged holds the time at which the store acknowledged each version.
	acknowledged []time.Duration
	vms          []*fleetVM
	pending      []pendingProof
}

type fleetVM struct {
	*Follower
	started time.Duration
}

// pendingProof is the response to a probe that has not arrived yet.
type pendingProof struct {
	to      *fleetVM
	sentAt  time.Duration
	from    ident.VMName
	version ident.ConfigurationVersion
	age     time.Duration
}

// delay lets time pass, as for a message or while a process is suspended. The store may
// acknowledge a change meanwhile.
func (f *proofFleet) delay() {
	f.now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(f.t, "delay"))
	if rapid.Bool().Draw(f.t, "change meanwhile") {
		f.acknowledged = append(f.acknowledged, f.now)
		f.now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(f.t, "delay after the change"))
	}
}

func (f *proofFleet) draw(label string) int { return rapid.IntRange(0, len(f.vms)-1).Draw(f.t, label) }

func fleetName(i int) ident.VMName { return ident.VMName(fmt.Sprint("vm-", i)) }

func (f *proofFleet) start(i int) {
	vm := &fleetVM{started: f.now}
	vm.Follower = New(Options{
		Source: Source{
			Store: fleetStore{fleet: f}, ConfigKind: "config", ConfigName: "main", UpstreamsKind: "upstreams", EvacuationsKind: "zones",
			DecodeCatalog: func(o objectapi.Object) (*catalog.Catalog, error) {
				c := &catalog.Catalog{}
				return c, o.Decode(&c.Version)
			},
		},
		Times: Times{Apply: 3 * time.Second, Revoke: 5 * time.Second},
		Now:   func() time.Duration { return f.now - vm.started },
		Log:   zerolog.Nop(), Rank: func() int { return i },
		RequestView: func(ctx context.Context, from ident.VMName, r ViewRequest) (ViewResponse, error) {
			f.delay()
			r.Wait = 0
			for j := range f.vms {
				if fleetName(j) == from {
					response := f.vms[j].ServeView(ctx, r)
					f.delay()
					return response, nil
				}
			}
			return ViewResponse{}, errNotAuthoritative
		},
	})
	f.vms[i] = vm
}

// fleetStore is the store of a proofFleet.
type fleetStore struct {
	Store
	fleet *proofFleet
}

func (s fleetStore) Get(context.Context, objectapi.Kind, string) (objectapi.Object, error) {
	s.fleet.delay()
	version := len(s.fleet.acknowledged)
	s.fleet.delay()
	value, err := json.Marshal(version)
	return objectapi.Object{Version: objectapi.Version(version), Value: value}, err
}

func (f *proofFleet) check(t *rapid.T) {
	for i, vm := range f.vms {
		version, age, ok := vm.Proof()
		if !ok || int(version) == len(f.acknowledged) {
			continue
		}
		superseded := f.acknowledged[version]
		assert.Assert(t, f.now-age <= superseded, "%s proves version %d at %v, a later one was acknowledged at %v", fleetName(i), version, f.now-age, superseded)
	}
}

// Guards against a proof that becomes younger than the read of the store that it comes from,
// over any chain of VMs, restarts, pauses and late messages.
func TestProofIsNeverYoungerThanItsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &proofFleet{t: t, acknowledged: []time.Duration{0}, vms: make([]*fleetVM, rapid.IntRange(2, 4).Draw(t, "VMs"))}
		for i := range f.vms {
			f.start(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":               f.check,
			"pass time":      func(*rapid.T) { f.delay() },
			"change":         func(*rapid.T) { f.acknowledged = append(f.acknowledged, f.now) },
			"restart":        func(*rapid.T) { f.start(f.draw("restarted")) },
			"read the store": func(*rapid.T) { f.vms[f.draw("reader")].readConfiguration(context.Background()) },
			"read from a VM": func(*rapid.T) {
				reader, from := f.vms[f.draw("reader")], f.draw("from")
				reader.newerFrom = fleetName(from)
				reader.readNewer(context.Background())
			},
			"probe": func(*rapid.T) {
				p := pendingProof{to: f.vms[f.draw("prober")]}
				p.sentAt = p.to.now()
				f.delay()
				from := f.draw("probed")
				var ok bool
				if p.version, p.age, ok = f.vms[from].Proof(); ok {
					p.from = fleetName(from)
					f.pending = append(f.pending, p)
				}
			},
			"receive": func(t *rapid.T) {
				if len(f.pending) == 0 {
					t.Skip("no response is under way")
				}
				i := rapid.IntRange(0, len(f.pending)-1).Draw(t, "response")
				p := f.pending[i]
				f.pending = slices.Delete(f.pending, i, i+1)
				p.to.ObserveProof(p.sentAt, p.from, true, p.version, p.age)
			},
		})
	})
}

// Guards against a view that was never proved current and that counts as proved at the start
// of the VM that relays it: nothing is proved while the VMs distrust a store that came back
// from an older copy.
func TestUnprovedViewStaysUnprovedWhenRelayed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		second := newFollower(newStore())
		time.Sleep(time.Second)
		relay := newFollower(newStore())
		relay.store.upstream["u1"] = catalog.Upstream{Name: "u1", Group: "g1", Revision: 7}
		relay.ObserveView(0, ViewProof{Era: 3, Unsettled: relay.times.Reregister})
		_, err := relay.list(context.Background(), "upstreams", relay.replaceUpstreams)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		second.requestView = func(ctx context.Context, _ ident.VMName, r ViewRequest) (ViewResponse, error) {
			return relay.ServeView(ctx, r), nil
		}
		asked := false
		second.relay = func() (ident.VMName, bool) { // the relay is known for one request
			known := !asked
			asked = true
			return "relay", known
		}
		second.followRelay(context.Background(), "upstreams", second.replaceUpstreams)
		assert.Equal(t, len(second.Snapshot().Upstreams["g1"]), 1)
		w := second.newWithdrawal("upstreams", second.times.Drain)
		assert.Equal(t, w.UsableUntil, w.LearnedAt, "a withdrawal must count as old if no read without it is known")
	})
}

// Guards against a VM that has just started and refuses a proof because it is older than
// itself: it would stop using an upstream that leaves, before there is another one.
func TestViewProofMayBeOlderThanProcess(t *testing.T) {
	run(t, func(f *testFollower, store *fakeStore) {
		f.store.change(func() { f.store.fail = resultcode.New(resultcode.PlatformDown, "down") })
		started := newFollower(store)
		started.ObserveView(0, f.ViewProof())
		time.Sleep(time.Second)
		started.ObserveView(time.Second, f.ViewProof())
		proof, want := started.ViewProof(), f.ViewProof()
		assert.Assert(t, proof.Proved && proof.Age == want.Age, "%+v, want an age of %v", proof, want.Age)
	})
}

// Guards against a VM that has just started and keeps a view that differs from the proved one
// of the other VMs, because their proof is older than the VM.
func TestMismatchWithProofOlderThanProcessIsNoticed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFollower(newStore())
		f.ObserveView(f.elapsed(), ViewProof{Digest: 4711, Proved: true, Age: 5 * time.Second})
		time.Sleep(digestMismatchLimit)
		f.ObserveView(f.elapsed(), ViewProof{Digest: 4711, Proved: true, Age: 5*time.Second + digestMismatchLimit})
		assert.Equal(t, len(f.relist["upstreams"]), 1, "no list is requested")
	})
}
