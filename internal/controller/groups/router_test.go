package groupcontroller

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/request"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

func at(term ident.Term, position ident.Position) ident.LogPoint {
	return ident.LogPoint{Term: term, Position: position}
}

// withRouter runs a test in virtual time with a started controller.
func withRouter(t *testing.T, test func(t *testing.T, f *fakeGroup, s *fakeSource, c *Controller)) {
	virtualtime.Test(t, func(t *testing.T) {
		f, s := newFakeGroup(), &fakeSource{current: testConfiguration(nil)}
		c := startController(f, s)
		defer c.Stop()
		synctest.Wait()
		test(t, f, s, c)
	})
}

// within returns a context that ends after d of virtual time.
func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against confirming a write that only the primary has.
func TestConfirmWaitsForReplica(t *testing.T) {
	withRouter(t, func(t *testing.T, f *fakeGroup, _ *fakeSource, c *Controller) {
		target, err := c.Primary(within(t, time.Second), testGroup)
		assert.NilError(t, err)
		assert.Equal(t, target.Upstream, ident.UpstreamName("a"))
		assert.Equal(t, target.ConnectionLimit, 16)
		f.setPoints("a", at(1, 5), at(1, 5))
		err = c.Confirm(within(t, time.Second), target, at(1, 5))
		assert.Assert(t, resultcode.Is(err, resultcode.OutcomeUnknown))
		time.AfterFunc(time.Second, func() { f.setPoints("c", at(1, 5), at(1, 1)) })
		assert.NilError(t, c.Confirm(within(t, 2*time.Second), target, at(1, 5)))
	})
}

// Guards against a replica in a newer term confirming a write of the old primary, and
// against a Confirm call that still waits after its term has ended.
func TestConfirmRefusesNewerTerm(t *testing.T) {
	withRouter(t, func(t *testing.T, f *fakeGroup, _ *fakeSource, c *Controller) {
		target, err := c.Primary(within(t, time.Second), testGroup)
		assert.NilError(t, err)
		f.change("b", func(m *fakeMember) { m.status.Term, m.status.Fenced, m.status.Received = 2, true, at(1, 9) })
		synctest.Wait()
		start := time.Now()
		time.AfterFunc(time.Second, func() {
			f.change("b", func(m *fakeMember) {
				m.status.Role, m.status.Fenced, m.status.Received = group.RolePrimary, false, at(2, 10)
			})
		})
		err = c.Confirm(within(t, time.Minute), target, at(1, 9))
		assert.Assert(t, resultcode.Is(err, resultcode.OutcomeUnknown))
		assert.Equal(t, time.Since(start), time.Second)
	})
}

// Guards against a stale strict read when the statuses known at its arrival lag behind a
// write that another VM has acknowledged.
func TestStrictReadUsesIndex(t *testing.T) {
	withRouter(t, func(t *testing.T, f *fakeGroup, _ *fakeSource, c *Controller) {
		f.setPoints("a", at(1, 7), at(1, 7))
		f.setPoints("c", at(1, 7), at(1, 7))
		synctest.Wait()
		target, err := c.Read(within(t, time.Second), testGroup, request.ReadRequirement{Strict: true})
		assert.NilError(t, err)
		assert.Equal(t, target.Upstream, ident.UpstreamName("c")) // b is nearer but lags
		f.setPoints("b", at(1, 7), at(1, 7))
		synctest.Wait()
		target, err = c.Read(within(t, time.Second), testGroup, request.ReadRequirement{Strict: true})
		assert.NilError(t, err)
		assert.Equal(t, target.Upstream, ident.UpstreamName("b"))
	})
}

// Guards against a read that joins a read-index round started before the read arrived.
func TestReadsShareOnlyLaterRound(t *testing.T) {
	withRouter(t, func(t *testing.T, f *fakeGroup, _ *fakeSource, c *Controller) {
		f.delay = 10 * time.Millisecond
		read := func() { _, _ = c.Read(within(t, time.Second), testGroup, request.ReadRequirement{Strict: true}) }
		go read()
		time.Sleep(time.Millisecond)
		for range 50 {
			go read()
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, f.statusRequestCount(), 4) // two rounds, each to the nearest majority
		assert.Equal(t, c.metrics.indexRounds.Value(), int64(2))
	})
}

// Guards against a former primary that serves a strict read after a pause.
func TestFormerPrimaryServesNoStrictRead(t *testing.T) {
	withRouter(t, func(t *testing.T, f *fakeGroup, _ *fakeSource, c *Controller) {
		for _, name := range []ident.UpstreamName{"b", "c"} {
			f.change(name, func(m *fakeMember) {
				m.streamStalled, m.status.Term, m.status.Received = true, 2, at(2, 9)
			})
		}
		time.Sleep(time.Second) // this VM's streams still show the old primary
		_, err := c.Read(within(t, time.Second), testGroup, request.ReadRequirement{Strict: true})
		assert.Assert(t, resultcode.Is(err, resultcode.NoUpstream))
		_, err = c.PrimaryFor(within(t, time.Second), testGroup, request.ReadRequirement{Strict: true})
		assert.Assert(t, resultcode.Is(err, resultcode.NoPrimary))
	})
}

// Guards against a forged token that makes the reads of its session wait forever.
func TestForgedTokenAffectsOnlyFreshness(t *testing.T) {
	withRouter(t, func(t *testing.T, _ *fakeGroup, _ *fakeSource, c *Controller) {
		for _, forged := range []ident.LogPoint{at(unreachedValue, 1), at(1, unreachedValue)} {
			_, err := c.Read(within(t, time.Second), testGroup, request.ReadRequirement{MinLogPoint: forged})
			assert.NilError(t, err)
		}
	})
}

// unreachedValue is a term or position that no group ever reaches.
const unreachedValue = 1 << 62

// Guards against new reads on a leaving upstream or on one in a zone out of service.
func TestLeavingUpstreamServesNoReads(t *testing.T) {
	withRouter(t, func(t *testing.T, _ *fakeGroup, s *fakeSource, c *Controller) {
		conf := testConfiguration(func(u map[ident.UpstreamName]configuration.Upstream) {
			b := u["b"]
			b.State = configuration.UpstreamLeaving
			u["b"] = b
		})
		conf.Zones["zc"] = configuration.Zone{Region: "east", State: configuration.ZoneOutOfService}
		s.set(conf)
		target, err := c.Read(within(t, time.Second), testGroup, request.ReadRequirement{})
		assert.NilError(t, err)
		assert.Equal(t, target.Upstream, ident.UpstreamName("a"))
	})
}

// Guards against selecting a dead primary again, and against serving a read with a
// maximum age from a replica whose lag exceeds it.
func TestFailedPrimaryAndMaxAge(t *testing.T) {
	withRouter(t, func(t *testing.T, f *fakeGroup, _ *fakeSource, c *Controller) {
		target, err := c.Primary(within(t, time.Second), testGroup)
		assert.NilError(t, err)
		f.change("a", func(m *fakeMember) { m.refuse = true })
		c.ReportFailure(target, syscall.ECONNREFUSED)
		_, err = c.Primary(within(t, time.Second), testGroup)
		assert.Assert(t, resultcode.Is(err, resultcode.NoPrimary))

		requirement := request.ReadRequirement{MaxAge: 300 * time.Millisecond}
		target, err = c.Read(within(t, time.Second), testGroup, requirement)
		assert.NilError(t, err)
		assert.Equal(t, target.Upstream, ident.UpstreamName("b"))
		f.change("b", func(m *fakeMember) { m.status.LagMilliseconds = 400 })
		synctest.Wait()
		target, err = c.Read(within(t, time.Second), testGroup, requirement)
		assert.NilError(t, err)
		assert.Equal(t, target.Upstream, ident.UpstreamName("c"))
	})
}

// Guards against returning "aborted" from a new primary before a replica has an entry of
// its term: a later primary could still have the transaction.
func TestTransactionWaitsForConfirmedTerm(t *testing.T) {
	withRouter(t, func(t *testing.T, f *fakeGroup, _ *fakeSource, c *Controller) {
		f.state = group.TransactionAborted
		f.change("a", func(m *fakeMember) { m.refuse = true })
		f.change("c", func(m *fakeMember) { m.partitioned = true }) // cannot receive the command to follow b
		f.change("b", func(m *fakeMember) {
			m.status.Term, m.status.Role, m.status.Received = 2, group.RolePrimary, at(2, 3)
		})
		synctest.Wait()
		_, err := c.Transaction(within(t, time.Second), testGroup, "7")
		assert.Assert(t, resultcode.Is(err, resultcode.OutcomeUnknown))
		f.change("c", func(m *fakeMember) { m.partitioned, m.status.Term, m.status.Received = false, 2, at(2, 3) })
		state, err := c.Transaction(within(t, time.Second), testGroup, "7")
		assert.NilError(t, err)
		assert.Equal(t, state, group.TransactionAborted)
	})
}
