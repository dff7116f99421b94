package groupcontroller

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// withFleet runs a test in virtual time with three VMs in three zones.
func withFleet(t *testing.T, test func(t *testing.T, f *fakeGroup, s *fakeSource, fleet []*Controller)) {
	virtualtime.Test(t, func(t *testing.T) {
		f, s := newFakeGroup(), &fakeSource{current: testConfiguration(nil)}
		fleet := startControllers(f, s, map[ident.VMName]ident.AvailabilityZone{"vm1": "za", "vm2": "zb", "vm3": "zc"})
		time.Sleep(time.Second)
		test(t, f, s, fleet)
		for _, c := range fleet {
			c.Stop()
		}
	})
}

// promotions returns the number of primary changes that the fleet carried out.
func promotions(fleet []*Controller) (unplanned, planned int64) {
	for _, c := range fleet {
		unplanned += c.metrics.promotions.Value()
		planned += c.metrics.plannedMoves.Value()
	}
	return unplanned, planned
}

// Guards against a dead or partitioned primary that is not replaced within the target, or
// replaced more than once, and against VMs that do not learn the new primary.
func TestFailover(t *testing.T) {
	for name, fault := range map[string]struct {
		cause  func(*fakeMember)
		target time.Duration
	}{
		"dead":        {func(m *fakeMember) { m.refuse = true }, time.Second},
		"partitioned": {func(m *fakeMember) { m.partitioned = true }, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fakeGroup, _ *fakeSource, fleet []*Controller) {
				f.setPoints("c", at(1, 9), at(1, 9)) // the most advanced replica
				synctest.Wait()
				f.change("a", fault.cause)
				time.Sleep(fault.target)
				for _, c := range fleet {
					target, err := c.Primary(within(t, time.Millisecond), testGroup)
					assert.NilError(t, err)
					assert.Equal(t, target.Upstream, ident.UpstreamName("c"))
					assert.Equal(t, target.Term, ident.Term(2))
					assert.NilError(t, c.Confirm(within(t, time.Millisecond), target, at(2, 10)))
				}
				unplanned, planned := promotions(fleet)
				assert.Equal(t, unplanned, int64(1))
				assert.Equal(t, planned, int64(0))
			})
		})
	}
}

// Guards against a former primary that comes back and does not follow the new one.
func TestFormerPrimaryFollows(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fakeGroup, _ *fakeSource, fleet []*Controller) {
		f.change("a", func(m *fakeMember) { m.refuse = true })
		time.Sleep(time.Second)
		f.change("a", func(m *fakeMember) { m.refuse = false })
		time.Sleep(2 * time.Second)
		dump := fleet[0].Dump()[testGroup]
		assert.Equal(t, dump.Members[0].Status.Term, ident.Term(2))
		assert.Equal(t, dump.Members[0].Status.Primary, dump.Primary)
		assert.Equal(t, string(dump.Record.State), "serving")
	})
}

// Guards against a leaving primary that keeps its role, and against a planned move that
// fails requests.
func TestLeavingPrimaryMoves(t *testing.T) {
	withFleet(t, func(t *testing.T, _ *fakeGroup, s *fakeSource, fleet []*Controller) {
		s.set(testConfiguration(func(u map[ident.UpstreamName]configuration.Upstream) {
			a := u["a"]
			a.State = configuration.UpstreamLeaving
			u["a"] = a
		}))
		for range 400 {
			_, err := fleet[1].Primary(within(t, time.Second), testGroup)
			assert.NilError(t, err)
			_, err = fleet[2].Read(within(t, time.Second), testGroup, request.ReadRequirement{Strict: true})
			assert.NilError(t, err)
			time.Sleep(5 * time.Millisecond)
		}
		target, err := fleet[0].Primary(within(t, time.Millisecond), testGroup)
		assert.NilError(t, err)
		assert.Assert(t, target.Upstream != "a")
		unplanned, planned := promotions(fleet)
		assert.Equal(t, unplanned, int64(0))
		assert.Equal(t, planned, int64(1))
	})
}
