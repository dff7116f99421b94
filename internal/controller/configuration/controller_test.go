package configcontroller

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/freshness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

func assertCode(t *testing.T, err error, code resultcode.Code) {
	t.Helper()
	assert.Equal(t, resultcode.Of(err), code, "%v", err)
}

// Guards against a note that takes longer than the target of 1 s to be in force on all
// VMs, and against accepting wrong or withdrawn keys.
func TestNoteIsInForceEverywhere(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		vm := f.vm("ruse-a-1")
		grant, err := vm.Authorise("web", "deck", key)
		assert.NilError(t, err)
		open, err := vm.Authorise("web", "wiki", "")
		assert.NilError(t, err)
		assert.Assert(t, open.Open && !grant.Open)
		_, err = vm.Authorise("web", "deck", "wrong")
		assertCode(t, err, resultcode.KeyRejected)
		_, err = vm.Authorise("other", "deck", key)
		assertCode(t, err, resultcode.KeyRejected)
		_, err = vm.Authorise("web", "none", key)
		assertCode(t, err, resultcode.UnknownDatabase)

		began := time.Now()
		r := f.apply("constanta-a-1", withdrawal)
		assert.Assert(t, r.Outcome == OutcomeAccepted && len(r.Lagging) == 0, "%+v", r)
		assert.Assert(t, time.Since(began) < time.Second, "took %s", time.Since(began))
		t.Logf("accepted and in force after %s, of which in force after acceptance %s", time.Since(began), r.InForceAfter)
		for _, vm := range f.network.vms {
			assert.Equal(t, vm.Current().Version, r.Version)
			assertCode(t, vm.Check(grant), resultcode.KeyWithdrawn)
			assert.NilError(t, vm.Check(open))
		}
	})
}

// Guards against an isolated zone that accepts a key for longer than MaxStaleness after
// its withdrawal, and against rejecting clients of open databases there.
func TestIsolatedZoneStopsKeyedRequests(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		vm := f.vm("ruse-a-0")
		grant, err := vm.Authorise("web", "deck", key)
		assert.NilError(t, err)
		open, err := vm.Authorise("web", "wiki", "")
		assert.NilError(t, err)
		f.isolate("ruse-a")
		r := f.apply("plovdiv-a-0", withdrawal)
		assert.Assert(t, r.Outcome == OutcomeAccepted, "%+v", r)
		assert.DeepEqual(t, r.Lagging, []ident.VMName{"ruse-a-0", "ruse-a-1"})
		time.Sleep(freshness.MaxStaleness - r.InForceAfter)
		assertCode(t, vm.Check(grant), resultcode.ConfigurationNotFresh)
		assert.NilError(t, vm.Check(open))
		ready, reason := vm.Ready()
		assert.Assert(t, !ready && reason != "")
	})
}

// Guards against a platform outage that stops service although nothing else fails, in
// an idle fleet and in each phase of a note.
func TestPlatformOutageKeepsServing(t *testing.T) {
	for name, stopAt := range map[string]string{"quiet": "", "proposed": "proposal", "acknowledged": "plovdiv-a", "accepted": "current"} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(f *testFleet) {
				f.applyFirstNote()
				f.store.afterPut = func(_ objectapi.Kind, object string, _ ident.VMName) error {
					if object != stopAt {
						return nil
					}
					f.store.outage = true
					return errPlatformDown
				}
				var applying sync.WaitGroup
				if stopAt == "" {
					f.setOutage(true)
				} else {
					applying.Go(func() { f.apply("constanta-a-0", "[note]\ntitle = second\n"+keySection("add", "next", "next")) })
				}
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					for name, vm := range f.network.vms {
						_, err := vm.Authorise("web", "deck", key)
						assert.NilError(t, err, "%s", name)
					}
				}
				f.store.mu.Lock()
				assert.Assert(t, f.store.outage)
				f.store.outage, f.store.afterPut = false, nil
				f.store.mu.Unlock()
				applying.Wait()
				time.Sleep(20 * time.Second)
				if stopAt == "" {
					return
				}
				for _, vm := range f.network.vms { // completed by a watcher and only once
					assert.Equal(t, vm.Current().Version, ident.ConfigurationVersion(2))
				}
			})
		})
	}
}

// Guards against a note that is applied twice or reported as failed after the
// platform's response to one of its writes is lost.
func TestLostPlatformResponses(t *testing.T) {
	for _, lost := range []string{"proposal", "ruse-a", "current", "note-2"} {
		t.Run(lost, func(t *testing.T) {
			runFleet(t, func(f *testFleet) {
				f.applyFirstNote()
				count := 0
				f.store.afterPut = func(_ objectapi.Kind, object string, _ ident.VMName) error {
					if object != lost {
						return nil
					}
					if count++; count > 1 {
						return nil
					}
					return errPlatformDown
				}
				r := f.apply("plovdiv-a-1", withdrawal)
				assert.Assert(t, count > 0)
				assert.Assert(t, r.Outcome == OutcomeAccepted, "%+v", r)
				assert.Equal(t, r.Version, ident.ConfigurationVersion(2))
				time.Sleep(5 * time.Second)
				assert.Equal(t, f.vm("ruse-a-0").Current().Version, ident.ConfigurationVersion(2))
			})
		})
	}
}

// Guards against reporting success for both of two concurrent notes, and against a
// conflict that is reported without the changes of the accepted note.
func TestOperatorsRace(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		var results [2]Result
		var racing sync.WaitGroup
		racing.Go(func() { results[0] = f.apply("plovdiv-a-0", withdrawal) })
		racing.Go(func() {
			results[1] = f.apply("ruse-a-0", "[note]\ntitle = other\n"+keySection("add", "next", "next"))
		})
		racing.Wait()
		winner, loser := results[0], results[1]
		if winner.Outcome != OutcomeAccepted {
			winner, loser = loser, winner
		}
		assert.Assert(t, winner.Outcome == OutcomeAccepted && loser.Outcome == OutcomeRefused, "%+v %+v", winner, loser)
		assert.Equal(t, loser.Code, resultcode.NoteConflict)
		assert.DeepEqual(t, loser.Changes, winner.Changes)

		late := f.apply("ruse-a-0", "[note]\ntitle = late\nbase = 1\n"+keySection("add", "third", "third"))
		assert.Equal(t, late.Code, resultcode.NoteConflict)
		assert.DeepEqual(t, late.Changes, winner.Changes)
	})
}

// Guards against a wrong outcome when too few zones acknowledge a proposal, and against
// a proposal that is never completed after its acceptor has failed.
func TestProposalWithoutMajorityStaysPending(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		f.isolate("ruse-a")
		f.isolate("constanta-a")
		r := f.apply("plovdiv-a-0", withdrawal)
		assert.Equal(t, r.Code, resultcode.NoteNotAccepted, "%+v", r)
		assert.Equal(t, r.Outcome, OutcomePending)
		assert.Equal(t, f.vm("plovdiv-a-1").Current().Version, ident.ConfigurationVersion(1))
		second := f.apply("plovdiv-a-1", "[note]\ntitle = x\n[withdraw database wiki]\n")
		assert.Equal(t, second.Code, resultcode.NoteConflict)
		assert.DeepEqual(t, second.Changes, r.Changes)

		f.network.mu.Lock()
		f.network.dead["plovdiv-a-0"] = true
		f.vm("plovdiv-a-0").stop()
		f.network.partitioned = map[ident.AvailabilityZone]bool{}
		f.network.mu.Unlock()
		f.store.mu.Lock()
		f.network.platformCut = map[ident.AvailabilityZone]bool{}
		f.store.mu.Unlock()
		time.Sleep(20 * time.Second)
		for name, vm := range f.network.vms {
			if name != "plovdiv-a-0" {
				assert.Equal(t, vm.Current().Version, ident.ConfigurationVersion(2), "%s", name)
			}
		}
	})
}

// Guards against a VM outside the share tables that accepts a proposal although
// restarted VMs send it no requests, and against such a VM rejecting a note.
func TestVMOutsideTheShareTableProposesOnly(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		f.start("ruse-a-9", "ruse-a", 1)
		time.Sleep(time.Second)
		r := f.apply("ruse-a-9", withdrawal)
		assert.Assert(t, r.Outcome == OutcomeAccepted && len(r.Lagging) == 0, "%+v", r)
		var proposal proposalValue
		assert.NilError(t, decode(f.store.objects["configuration/proposal"], &proposal))
		assert.Equal(t, proposal.Attempt, uint64(1))
		assert.Assert(t, proposal.Acceptor != "ruse-a-9")
	})
}

// Guards against a return to an older configuration, and against accepting a withdrawn
// key again, when all VMs but one restart during a platform outage.
func TestFleetRestartInOutageKeepsTheVersion(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		assert.Assert(t, f.apply("plovdiv-a-0", withdrawal).Outcome == OutcomeAccepted)
		f.setOutage(true)
		for name, vm := range f.network.vms {
			if name != "ruse-a-1" {
				f.start(name, vm.member.Zone, 2)
			}
		}
		time.Sleep(2 * time.Second)
		for _, vm := range f.network.vms {
			assert.Equal(t, vm.Current().Version, ident.ConfigurationVersion(2))
			_, err := vm.Authorise("web", "deck", key)
			assertCode(t, err, resultcode.KeyRejected)
		}
		f.setOutage(false)
		time.Sleep(2 * time.Second)
		for _, vm := range f.network.vms {
			ready, reason := vm.Ready()
			assert.Assert(t, ready, reason)
		}
	})
}

// Guards against a VM that restarts alone during an outage and rejects clients although
// the other VMs can attest its configuration.
func TestRestartedVMServesDuringOutage(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		f.setOutage(true)
		var vm *testVM
		for name, old := range f.network.vms {
			if _, watcher := old.watcherRank(); !watcher { // watchers send requests to nearly every VM anyway
				vm = f.start(name, old.member.Zone, 2)
			}
		}
		time.Sleep(2*gossipInterval + 100*time.Millisecond) // two rounds of requests
		vm.mu.Lock()
		assert.Assert(t, vm.state.Qualified())
		vm.mu.Unlock()
		time.Sleep(freshness.MaxStaleness)
		_, err := vm.Authorise("web", "deck", key)
		assert.NilError(t, err)
		f.setOutage(false)
	})
}

// Guards against a zone that accepts work while it is out of service, and against a load
// surge on its return: connected clients continue at once, new ones are admitted
// gradually over RampDuration.
func TestZoneLeavesAndReturns(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		vm := f.vm("ruse-a-0")
		grant, err := vm.Authorise("web", "deck", key)
		assert.NilError(t, err)
		assert.Assert(t, f.apply("plovdiv-a-0", "[note]\ntitle = out\n[change zone ruse-a]\nstate = out\n").Outcome == OutcomeAccepted)
		assertCode(t, vm.Check(grant), resultcode.ZoneOut)
		_, err = vm.Authorise("web", "wiki", "")
		assertCode(t, err, resultcode.ZoneOut)
		assert.NilError(t, f.vm("plovdiv-a-0").Check(grant))

		assert.Assert(t, f.apply("plovdiv-a-0", "[note]\ntitle = in\n[change zone ruse-a]\nstate = in\n").Outcome == OutcomeAccepted)
		var admitted [6]int
		for second := range admitted {
			for range 100 {
				assert.NilError(t, vm.Check(grant))
				if _, err := vm.Authorise("web", "deck", key); err == nil {
					admitted[second]++
				} else {
					assertCode(t, err, resultcode.ZoneOut)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
		assert.Assert(t, admitted[0] < 30 && admitted[2] > admitted[0] && admitted[4] > admitted[2], "%v", admitted)
		assert.Equal(t, admitted[5], 100)
	})
}

// Guards against more platform calls than documented while nothing changes.
func TestIdleFleetLimitsPlatformCalls(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		f.store.mu.Lock()
		before := f.store.calls
		f.store.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.store.mu.Lock()
		calls := f.store.calls - before
		f.store.mu.Unlock()
		// The fake counts a watch twice: at its start and at its end.
		assert.Assert(t, calls/2 <= len(testZones)*4*10, "%d calls", calls)
	})
}

// Measures Check for an organisation with 4 keys.
func BenchmarkCheck(b *testing.B) {
	c := configuration.Empty()
	keys := map[string]string{}
	for _, name := range []string{"a", "b", "c", "d"} {
		keys[name] = fmt.Sprintf("%x", configuration.HashKey(name))
	}
	c.Organisations["web"] = configuration.Organisation{Databases: []ident.GroupName{"deck"}, Keys: keys}
	c.Databases["deck"] = configuration.Database{}
	controller := &Controller{clock: clock.New()}
	controller.snapshot.Store(&snapshot{accepted: newPolicy(c, "ruse-a"), acceptedUntil: freshness.Forever,
		pendingUntil: freshness.Forever, rampStart: noRamp})
	grant, err := controller.Authorise("web", "deck", "d")
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		if err := controller.Check(grant); err != nil {
			b.Fatal(err)
		}
	}
}
