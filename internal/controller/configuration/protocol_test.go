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

// Guards against responses that prove freshness although their requests were sent more
// than MaxStaleness ago.
func TestDelayedResponsesProveNothing(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		f.setOutage(true)
		f.network.mu.Lock()
		f.network.delay = freshness.MaxStaleness * 2 / 3 // a response arrives 4 s after its request was sent
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

// Guards against a platform reading that is dated by the arrival of its response.
func TestDelayedReadingsProveNothing(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		f.network.mu.Lock()
		f.network.partitioned["ruse-a"] = true
		f.network.mu.Unlock()
		f.store.mu.Lock()
		f.store.watchDelay = map[ident.AvailabilityZone]time.Duration{"ruse-a": freshness.MaxStaleness}
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

// Guards against accepting a key that a pending note withdraws, when an outage hides
// whether the note was accepted, and against rejecting other keys.
func TestOutageAfterAProposedWithdrawal(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		assert.Equal(t, f.apply("plovdiv-a-0", "[note]\ntitle = second\n"+keySection("add", "next", "next")).Outcome, OutcomeAccepted)
		vm := f.vm("ruse-a-1")
		grant, err := vm.Authorise("web", "deck", key)
		assert.NilError(t, err)
		other, err := vm.Authorise("web", "deck", "next")
		assert.NilError(t, err)
		f.store.afterPut = func(_ objectapi.Kind, object string, _ ident.VMName) error {
			if object == "current" {
				f.store.outage = true
				return errPlatformDown
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

// Guards against a proposer whose attestations count while its proposal may exist
// although the proposer does not know it.
func TestProposerIsUnsettledDuringItsCall(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		vm := f.vm("plovdiv-a-0")
		unsettled := func() bool {
			vm.mu.Lock()
			defer vm.mu.Unlock()
			return vm.state.Attestation().Unsettled
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

// Guards against an acceptor that counts acknowledgements of another attempt or of an
// older share table.
func TestOnlyOwnAttemptCounts(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		c := f.vm("plovdiv-a-0").Controller
		c.mu.Lock()
		table := c.state.Table("ruse-a").Version
		c.mu.Unlock()
		assert.Assert(t, table > 0)
		count := func(b ballot, table uint64) int {
			value, err := json.Marshal(zoneAck{ballot: b, Table: table})
			assert.NilError(t, err)
			return c.countAcknowledgements([]objectapi.Object{{Name: "ruse-a", Value: value}}, ballot{2, 2}, testZones)
		}
		assert.Equal(t, count(ballot{2, 2}, table), 1)
		assert.Equal(t, count(ballot{2, 1}, table), 0)
		assert.Equal(t, count(ballot{2, 3}, table), 0)
		assert.Equal(t, count(ballot{2, 2}, table-1), 0)
	})
}

// Guards against accepting a response to an earlier incarnation of this VM, whose clock
// started at another time, and a response in the name of another VM.
func TestForeignResponsesAreIgnored(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		f.applyFirstNote()
		vm, from := f.vm("ruse-a-0"), f.vm("ruse-a-1").member
		at := func() time.Duration {
			vm.mu.Lock()
			defer vm.mu.Unlock()
			return vm.state.LastReading().At
		}
		resp := stateResponse{SentAt: time.Hour, Incarnation: 7, HasReading: true, Attestation: freshness.Attestation{VM: from.Name, Zone: from.Zone}}
		vm.onResponse(from, resp)
		assert.Assert(t, at() < time.Hour)
		resp.Incarnation, resp.Attestation.VM = vm.member.Incarnation, "plovdiv-a-0"
		vm.onResponse(from, resp)
		assert.Assert(t, at() < time.Hour)
		resp.Attestation.VM = from.Name
		vm.onResponse(from, resp)
		assert.Equal(t, at(), time.Hour)
	})
}

// Guards against a zone that acknowledges a proposal that only a minority of its VMs
// knows.
func TestZoneAcknowledgesByMajority(t *testing.T) {
	runFleet(t, func(f *testFleet) {
		c := f.vm("plovdiv-a-0").Controller
		c.mu.Lock()
		defer c.mu.Unlock()
		c.learnProposal(proposal{ballot: ballot{1, 2}})
		hasMajority := func() bool { _, _, majority := c.zoneAcknowledged(); return majority }
		assert.Assert(t, !hasMajority(), "one of three")
		c.vmAcks["plovdiv-a-1"] = ballot{1, 1}
		c.vmAcks["ruse-a-0"] = ballot{1, 2}
		assert.Assert(t, !hasMajority(), "an earlier attempt and a VM of another zone")
		c.vmAcks["plovdiv-a-1"] = ballot{1, 2}
		assert.Assert(t, hasMajority(), "two of three")
	})
}
