package configcontroller

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/freshness"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// Guards against answers of VMs that prove freshness although they were asked
// for longer than F ago.
func TestLateAnswersProveNothing(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.setUp()
		f.setOutage(true)
		f.network.mu.Lock()
		f.network.delay = freshness.MaxStaleness * 2 / 3 // an answer arrives 4 s after its question
		f.network.mu.Unlock()
		for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
			if now > freshness.MaxStaleness+4*latency {
				for name, vm := range f.network.vms {
					_, err := vm.Authorise("web", "deck", key)
					assert.Equal(t, resultcode.Of(err), resultcode.ConfigurationNotFresh, "%s at %s", name, now)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.setOutage(false)
		f.network.mu.Lock()
		f.network.delay = 0
		f.network.mu.Unlock()
	})
}

// Guards against a platform reading that is dated by the arrival of its answer.
func TestLateReadingsProveNothing(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.setUp()
		f.network.mu.Lock()
		f.network.apart["ruse-a"] = true
		f.network.mu.Unlock()
		f.store.mu.Lock()
		f.store.slow = map[ident.AvailabilityZone]time.Duration{"ruse-a": freshness.MaxStaleness}
		f.store.mu.Unlock()
		for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
			if now > freshness.MaxStaleness+4*latency {
				_, err := f.vm("ruse-a-0").Authorise("web", "deck", key)
				assert.Equal(t, resultcode.Of(err), resultcode.ConfigurationNotFresh, "at %s", now)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against a key that a pending note withdraws being honoured when an
// outage hides whether the note was accepted; other keys continue to work.
func TestOutageAfterAProposedWithdrawal(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.setUp()
		assert.Equal(t, f.apply("plovdiv-a-0", "[note]\ntitle = second\n"+keySection("add", "next", "next")).Outcome, OutcomeAccepted)
		vm := f.vm("ruse-a-1")
		grant, err := vm.Authorise("web", "deck", key)
		assert.NilError(t, err)
		other, err := vm.Authorise("web", "deck", "next")
		assert.NilError(t, err)
		f.store.afterPut = func(_ objectapi.Kind, object string, _ ident.VMName) error {
			if object == "current" {
				f.store.outage = true
				return errDown
			}
			return nil
		}
		assert.Equal(t, f.apply("plovdiv-a-0", withdrawal).Outcome, OutcomePending)
		for name, vm := range f.network.vms {
			assert.Equal(t, resultcode.Of(vm.Check(grant)), resultcode.KeyWithdrawn, "%s", name)
			_, err := vm.Authorise("web", "deck", key)
			assert.Equal(t, resultcode.Of(err), resultcode.KeyRejected, "%s", name)
			assert.NilError(t, vm.Check(other))
		}
		f.setOutage(false)
	})
}

// Guards against a proposer that attests while its proposal may exist without its
// knowing it.
func TestProposerIsUnsettledDuringItsCall(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.setUp()
		vm := f.vm("plovdiv-a-0")
		unsettled := func() bool {
			vm.mu.Lock()
			defer vm.mu.Unlock()
			return vm.core.Attestation().Unsettled
		}
		seen := false
		f.store.afterPut = func(_ objectapi.Kind, object string, _ ident.VMName) error {
			seen = seen || object == nameProposal && unsettled()
			return nil
		}
		assert.Equal(t, f.apply("plovdiv-a-0", withdrawal).Outcome, OutcomeAccepted)
		assert.Assert(t, seen && !unsettled())
	})
}

// Guards against acknowledgements of an earlier attempt, or by the members of an
// older share table, being counted by an acceptor.
func TestOnlyOwnAttemptCounts(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		c := f.vm("plovdiv-a-0").Controller
		c.mu.Lock()
		table := c.core.Table("ruse-a").Version
		c.mu.Unlock()
		assert.Assert(t, table > 0)
		count := func(b ballot, table uint64) int {
			value, err := json.Marshal(zoneAck{ballot: b, Table: table})
			assert.NilError(t, err)
			return c.count([]objectapi.Object{{Name: "ruse-a", Value: value}}, ballot{2, 2}, testZones)
		}
		assert.Equal(t, count(ballot{2, 2}, table), 1)
		assert.Equal(t, count(ballot{2, 1}, table), 0)
		assert.Equal(t, count(ballot{2, 3}, table), 0)
		assert.Equal(t, count(ballot{2, 2}, table-1), 0)
	})
}

// Guards against an answer to an earlier life of this VM, whose clock started
// elsewhere, and against an answer in another VM's name.
func TestForeignAnswersAreIgnored(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.setUp()
		vm, from := f.vm("ruse-a-0"), f.vm("ruse-a-1").member
		at := func() time.Duration {
			vm.mu.Lock()
			defer vm.mu.Unlock()
			return vm.core.LastReading().At
		}
		a := answer{Asked: time.Hour, Incarnation: 7, HasReading: true, Self: freshness.Attestation{VM: from.Name, Zone: from.Zone}}
		vm.onAnswer(from, a)
		assert.Assert(t, at() < time.Hour)
		a.Incarnation, a.Self.VM = vm.member.Incarnation, "plovdiv-a-0"
		vm.onAnswer(from, a)
		assert.Assert(t, at() < time.Hour)
		a.Self.VM = from.Name
		vm.onAnswer(from, a)
		assert.Equal(t, at(), time.Hour)
	})
}

// Guards against a zone that acknowledges a proposal which only a minority of its
// VMs knows.
func TestZoneAcknowledgesByMajority(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		c := f.vm("plovdiv-a-0").Controller
		c.mu.Lock()
		defer c.mu.Unlock()
		c.learn(proposal{ballot: ballot{1, 2}})
		acknowledged := func() bool { _, _, majority := c.acknowledged(); return majority }
		assert.Assert(t, !acknowledged(), "one of three")
		c.acks["plovdiv-a-1"] = ballot{1, 1}
		c.acks["ruse-a-0"] = ballot{1, 2}
		assert.Assert(t, !acknowledged(), "an earlier attempt and a VM of another zone")
		c.acks["plovdiv-a-1"] = ballot{1, 2}
		assert.Assert(t, acknowledged(), "two of three")
	})
}
