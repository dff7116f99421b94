package takeover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// Guards against a replica that receives, and confirms a commit, while a call that
// relies on its pause may still promote a candidate without that commit. The call has
// no answer, and the next attempt fails because its candidate does not answer.
func TestNoReplicaIsResumedUnderALateCall(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld(t)
		first, second := w.controller("vm-1"), w.controller("vm-2")
		w.answers = []error{errLost}
		w.replace(first)
		assert.DeepEqual(t, w.calls, []ident.UpstreamName{"u2"})
		assert.Equal(t, w.members["u3"].paused, ident.Term(2))
		w.with("u2", func(m *member) { m.silent = true })
		for _, c := range []*Controller{first, second, first} {
			w.replace(c)
			assert.Equal(t, w.members["u3"].resumes, 0)
		}
		c := second
		members := w.state().Upstreams["g1"]
		upkeep := &attempt{controller: c, group: c.group("g1"), state: w.state(), reason: "replica lags", primary: &members[0]}
		time.Sleep(claimTime + time.Second)
		upkeep.resumePaused(t.Context(), members[2:])
		assert.Equal(t, w.members["u3"].resumes, 0, "the call may still be late")
		time.Sleep(lateOrder)
		upkeep.resumePaused(t.Context(), members[2:])
		assert.Equal(t, w.members["u3"].resumes, 1)
		assert.Equal(t, w.members["u3"].paused, ident.Term(0))
	})
}

// Guards against a pause that counts as proof although an order of another VM to
// resume the replica has no answer and may be carried out at any moment.
func TestResumeOfAnotherVMVoidsThePause(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld(t)
		first, second := w.controller("vm-1"), w.controller("vm-2")
		w.with("u3", func(m *member) { m.loseResume = true })
		w.answers = []error{resultcode.New(resultcode.PlatformUnavailable, "status 503")}
		w.replace(first)
		assert.Equal(t, w.members["u3"].resumes, 1)
		w.with("u2", func(m *member) { m.received.Position = 9 })
		w.replace(second)
		assert.Equal(t, len(w.calls), 1, "u3 may receive again, and lacks what u2 holds")
		w.with("u3", func(m *member) { m.received.Position = 9 })
		w.replace(second)
		assert.DeepEqual(t, w.calls, []ident.UpstreamName{"u2", "u3"}) // the candidate need not be paused
	})
}

// Guards against a proof that a resume has voided between pause and call, which no
// trace but the group's object shows once the resume has been answered.
func TestReplicaThatWasResumedMeanwhile(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld(t)
		c, other := w.controller("vm-1"), w.controller("vm-2")
		state := w.state()
		claimed := &attempt{controller: c, group: c.group("g1"), spec: state.Catalog.Groups["g1"], state: state, reason: reasonLeaving, primary: &state.Upstreams["g1"][0]}
		generation, err := claimed.claim(t.Context())
		assert.NilError(t, err)
		candidate, ok := claimed.prepare(t.Context())
		assert.Assert(t, ok)
		time.Sleep(claimTime)
		upkeep := &attempt{controller: other, group: other.group("g1"), state: state, reason: "replica lags", primary: &state.Upstreams["g1"][0]}
		upkeep.resumePaused(t.Context(), state.Upstreams["g1"][2:])
		time.Sleep(claimTime)
		upkeep.resumePaused(t.Context(), state.Upstreams["g1"][2:])
		assert.Equal(t, w.members["u3"].resumes, 1)
		claimed.promote(t.Context(), generation, candidate)
		assert.Equal(t, len(w.calls), 0)
	})
}

// Guards against another candidate while the newest call for the first one may still
// take effect, and against one that stays bound for ever because VMs take turns.
func TestCandidateIsBoundUntilTheNewestCallIsOver(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld(t)
		first, second := w.controller("vm-1"), w.controller("vm-2")
		w.answers = []error{errLost, errLost}
		w.replace(first)
		time.Sleep(lateOrder - time.Second)
		w.replace(first)
		assert.Equal(t, len(w.calls), 2)
		w.with("u2", func(m *member) { m.silent = true })
		time.Sleep(2 * time.Second)
		w.with("u3", func(m *member) { m.received.Position = 9 })
		w.replace(first)
		assert.Equal(t, len(w.calls), 2, "the second call may still take effect")
		for range 6 {
			time.Sleep(claimTime)
			w.replace(second)
			w.replace(first)
		}
		w.with("u2", func(m *member) { m.silent = false })
		w.replace(first)
		assert.DeepEqual(t, w.calls[2:], []ident.UpstreamName{"u3"})
	})
}

// Guards against a call that is made long after it was announced, when other VMs take
// it for over.
func TestCallFollowsItsAnnouncementOrIsNotMade(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.slow = announcedFor + 10*time.Millisecond
		w.replace(w.controller("vm-1"))
		assert.Equal(t, len(w.calls), 0)
	})
}

// Guards against a primary that confirms a commit which only a member that joins has
// received, while the call that replaces it is carried out: the primary could not reach
// its replicas, and the path to them returns.
func TestStuckPrimaryStepsDownBeforeTheCall(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld(t)
		c := w.controller("vm-1")
		w.with("u1", func(m *member) { m.received.Position, m.loseStepDown = 9, true })
		w.replaceBecause(c, reasonStuck)
		assert.Equal(t, len(w.calls), 0, "the primary may still confirm commits")
		w.with("u1", func(m *member) { m.loseStepDown = false })
		w.replaceBecause(c, reasonStuck)
		assert.DeepEqual(t, w.calls, []ident.UpstreamName{"u2"})
		assert.Equal(t, w.steppedDown, true)
	})
}

// Guards against a verification that does not know of a member which has joined since
// and may be alone in holding a commit.
func TestMemberThatJoinsVoidsTheVerification(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		for _, reason := range []string{reasonLeaving, reasonStuck} {
			w := newWorld(t)
			w.slow = announcedFor / 2
			go func() {
				time.Sleep(w.slow + 10*time.Millisecond) // during the announcement
				w.mu.Lock()
				defer w.mu.Unlock()
				w.members["u4"] = &member{received: ident.LogPoint{Term: 1, Position: 9}}
			}()
			c := w.controller("vm-1")
			w.replaceBecause(c, reason)
			assert.Equal(t, len(w.calls), 0, reason)
			w.replaceBecause(c, reason)
			assert.DeepEqual(t, w.calls, []ident.UpstreamName{"u4"}) // it holds most
		}
	})
}

// Guards against takeovers that never call, because a member that has gone and is kept
// in the view for a while looks like one that has joined.
func TestGoneMemberHasNotJoined(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.members["u4"] = &member{silent: true}
		w.gone = map[ident.UpstreamName]time.Duration{"u4": time.Second}
		w.object = &objectapi.Object{Version: 1, Value: []byte(`{"done":true,"holders":{"u2":"u2","u3":"u3"}}`)}
		w.replace(w.controller("vm-1"))
		assert.DeepEqual(t, w.calls, []ident.UpstreamName{"u2"})
	})
}

// Guards against a dead primary that is replaced only once its registration has lapsed:
// in a large fleet the VM that acts first sends it no statement.
func TestVMsThatActAreToldOfASilentPrimary(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.with("u1", func(m *member) { m.silent = true })
		target := execution.TargetOf(w.state().Upstreams["g1"][0])
		w.hubs = []placement.VM{{Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
		order := placement.Rank(w.hubs, rankKey("g1"))
		last, first := w.controller(order[2].Name), w.controller(order[0].Name)
		for range 3 {
			last.ObservePrimary(target, false, execution.Result{Outcome: execution.NotRun, Reason: execution.Unreachable})
			time.Sleep(200 * time.Millisecond)
		}
		last.look(t.Context())
		last.look(t.Context())
		assert.DeepEqual(t, w.told, []ident.VMName{order[0].Name, order[1].Name})
		first.look(t.Context())
		time.Sleep(tickEvery)
		assert.Equal(t, len(w.promoted()), 0, "the first VM knows nothing yet")
		first.HandleSuspicion(target)
		first.look(t.Context())
		time.Sleep(settleTime)
		assert.DeepEqual(t, w.promoted(), []ident.UpstreamName{"u2"})
	})
}

// Guards against a primary that is asked again and again because some VMs are cut off
// from it.
func TestSuspicionsOfOthersAreIgnoredAfterAnAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWorld(t)
		c := w.controller("vm-1")
		target := execution.TargetOf(w.state().Upstreams["g1"][0])
		for range 20 {
			c.HandleSuspicion(target)
			c.look(t.Context())
			time.Sleep(100 * time.Millisecond)
		}
		asked := w.asked()
		assert.Assert(t, asked > 0)
		time.Sleep(trustFor)
		c.HandleSuspicion(target)
		c.look(t.Context())
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, w.asked() > asked)
		assert.Equal(t, len(w.promoted()), 0)
	})
}
