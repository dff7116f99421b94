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

// Guards against a replica that receives and acknowledges a commit while a call that
// relies on its pause may still promote a candidate without that commit. The call has
// no response, and the next attempt fails because its candidate does not respond.
func TestNoReplicaIsResumedWhileCallMayTakeEffect(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.stopPrimary()
		first, second := p.controller("vm-1"), p.controller("vm-2")
		p.callResults = []error{errNoResponse}
		p.replace(first)
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u2"})
		assert.Equal(t, p.members["u3"].paused, ident.Term(2))
		p.updateMember("u2", func(m *member) { m.unresponsive = true })
		for _, c := range []*Controller{first, second, first} {
			p.replace(c)
			assert.Equal(t, p.members["u3"].resumes, 0)
		}
		c := second
		members := p.snapshot().Upstreams["g1"]
		maintenance := &attempt{controller: c, group: c.group("g1"), snapshot: p.snapshot(), reason: "replica lags", primary: &members[0]}
		time.Sleep(claimTimeout + time.Second)
		maintenance.resumePaused(t.Context(), members[2:])
		assert.Equal(t, p.members["u3"].resumes, 0, "the call may still take effect")
		time.Sleep(maxCommandDelay)
		maintenance.resumePaused(t.Context(), members[2:])
		assert.Equal(t, p.members["u3"].resumes, 1)
		assert.Equal(t, p.members["u3"].paused, ident.Term(0))
	})
}

// Guards against relying on a pause although another VM's command to resume the replica
// had no response and may be executed at any time.
func TestResumeByAnotherVMInvalidatesPause(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.stopPrimary()
		first, second := p.controller("vm-1"), p.controller("vm-2")
		p.updateMember("u3", func(m *member) { m.loseResume = true })
		p.callResults = []error{resultcode.New(resultcode.PlatformUnavailable, "status 503")}
		p.replace(first)
		assert.Equal(t, p.members["u3"].resumes, 1)
		p.updateMember("u2", func(m *member) { m.received.Position = 9 })
		p.replace(second)
		assert.Equal(t, len(p.promoteCalls), 1, "u3 may receive again, and lacks what u2 holds")
		p.updateMember("u3", func(m *member) { m.received.Position = 9 })
		p.replace(second)
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u2", "u3"}) // the candidate need not be paused
	})
}

// Guards against a proof that a resume between pause and call has invalidated. After
// the response to the resume only the group's object shows it.
func TestResumeBetweenPauseAndCall(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.stopPrimary()
		c, other := p.controller("vm-1"), p.controller("vm-2")
		snapshot := p.snapshot()
		claimed := &attempt{controller: c, group: c.group("g1"), spec: snapshot.Catalog.Groups["g1"], snapshot: snapshot, reason: reasonLeaving, primary: &snapshot.Upstreams["g1"][0]}
		generation, err := claimed.claim(t.Context())
		assert.NilError(t, err)
		candidate, ok := claimed.prepare(t.Context())
		assert.Assert(t, ok)
		time.Sleep(claimTimeout)
		maintenance := &attempt{controller: other, group: other.group("g1"), snapshot: snapshot, reason: "replica lags", primary: &snapshot.Upstreams["g1"][0]}
		maintenance.resumePaused(t.Context(), snapshot.Upstreams["g1"][2:])
		time.Sleep(claimTimeout)
		maintenance.resumePaused(t.Context(), snapshot.Upstreams["g1"][2:])
		assert.Equal(t, p.members["u3"].resumes, 1)
		claimed.promote(t.Context(), generation, candidate)
		assert.Equal(t, len(p.promoteCalls), 0)
	})
}

// Guards against another candidate while the newest call for the first one may still
// take effect, and against a restriction to one candidate that never ends because VMs
// claim the group alternately.
func TestCandidateIsFixedWhileCallMayTakeEffect(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.stopPrimary()
		first, second := p.controller("vm-1"), p.controller("vm-2")
		p.callResults = []error{errNoResponse, errNoResponse}
		p.replace(first)
		time.Sleep(maxCommandDelay - time.Second)
		p.replace(first)
		assert.Equal(t, len(p.promoteCalls), 2)
		p.updateMember("u2", func(m *member) { m.unresponsive = true })
		time.Sleep(2 * time.Second)
		p.updateMember("u3", func(m *member) { m.received.Position = 9 })
		p.replace(first)
		assert.Equal(t, len(p.promoteCalls), 2, "the second call may still take effect")
		for range 6 {
			time.Sleep(claimTimeout)
			p.replace(second)
			p.replace(first)
		}
		p.updateMember("u2", func(m *member) { m.unresponsive = false })
		p.replace(first)
		assert.DeepEqual(t, p.promoteCalls[2:], []ident.UpstreamName{"u3"})
	})
}

// Guards against a call that is made long after its announcement, when other VMs assume
// that it can no longer take effect.
func TestNoCallLongAfterItsAnnouncement(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.writeDelay = maxAnnouncementAge + 10*time.Millisecond
		p.replace(p.controller("vm-1"))
		assert.Equal(t, len(p.promoteCalls), 0)
	})
}

// Guards against a primary that acknowledges a commit received only by a joining member
// while the call that replaces the primary is executed. The primary could not reach its
// replicas, and the network path to them recovers.
func TestStalledPrimaryStepsDownBeforePromotion(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		c := p.controller("vm-1")
		p.updateMember("u1", func(m *member) { m.received.Position, m.loseStepDown = 9, true })
		p.replaceBecause(c, reasonWriteStalled)
		assert.Equal(t, len(p.promoteCalls), 0, "the primary may still acknowledge commits")
		p.updateMember("u1", func(m *member) { m.loseStepDown = false })
		p.replaceBecause(c, reasonWriteStalled)
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u2"})
		assert.Equal(t, p.steppedDown, true)
	})
}

// Guards against a verification that does not include a member which joined afterwards
// and may be the only one that holds a commit.
func TestJoiningMemberInvalidatesVerification(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		for _, reason := range []string{reasonLeaving, reasonWriteStalled} {
			p := newFakePlatform(t)
			if reason == reasonLeaving {
				p.stopPrimary() // one that responds is demoted, see TestJoinBetweenCallAndEffect
			}
			p.writeDelay = maxAnnouncementAge / 2
			go func() {
				time.Sleep(p.writeDelay + 10*time.Millisecond) // during the announcement
				p.mu.Lock()
				defer p.mu.Unlock()
				p.members["u4"] = &member{received: ident.LogPoint{Term: 1, Position: 9}}
			}()
			c := p.controller("vm-1")
			p.replaceBecause(c, reason)
			assert.Equal(t, len(p.promoteCalls), 0, reason)
			p.replaceBecause(c, reason)
			assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u4"}) // u4 has received most
		}
	})
}

// Guards against takeovers that never reach the call, because a deregistered member
// stays in the view for a while and is treated as having joined.
func TestDeregisteredMemberIsNotTreatedAsJoined(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.members["u4"] = &member{unresponsive: true}
		p.deregistered = map[ident.UpstreamName]time.Duration{"u4": time.Second}
		p.object = &objectapi.Object{Version: 1, Value: []byte(`{"done":true,"holders":{"u2":"u2","u3":"u3"}}`)}
		p.replace(p.controller("vm-1"))
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u2"})
	})
}

// Guards against a dead primary that is replaced only when its registration expires:
// in a large fleet the first-ranked VM sends it no statements.
func TestFirstRankedVMsAreNotifiedOfUnresponsivePrimary(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.updateMember("u1", func(m *member) { m.unresponsive = true })
		target := execution.TargetOf(p.snapshot().Upstreams["g1"][0])
		p.hubs = []placement.VM{{Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
		order := placement.Rank(p.hubs, rankKey("g1"))
		last, first := p.controller(order[2].Name), p.controller(order[0].Name)
		for range 3 {
			last.ObservePrimary(target, false, execution.Result{Outcome: execution.NotRun, Reason: execution.Unreachable})
			time.Sleep(200 * time.Millisecond)
		}
		last.checkGroups(t.Context())
		last.checkGroups(t.Context())
		assert.DeepEqual(t, p.notified, []ident.VMName{order[0].Name, order[1].Name})
		first.checkGroups(t.Context())
		time.Sleep(tickInterval)
		assert.Equal(t, len(p.promotedMembers()), 0, "the first VM knows nothing yet")
		first.HandleSuspicion(target)
		first.checkGroups(t.Context())
		time.Sleep(registrationTimeout)
		assert.DeepEqual(t, p.promotedMembers(), []ident.UpstreamName{"u2"})
	})
}

// Guards against repeated requests to a primary because some VMs are cut off from it.
func TestSuspicionsOfOthersAreIgnoredAfterResponse(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		c := p.controller("vm-1")
		target := execution.TargetOf(p.snapshot().Upstreams["g1"][0])
		for range 20 {
			c.HandleSuspicion(target)
			c.checkGroups(t.Context())
			time.Sleep(100 * time.Millisecond)
		}
		dials := p.dialCount()
		assert.Assert(t, dials > 0)
		time.Sleep(suspicionHoldoff)
		c.HandleSuspicion(target)
		c.checkGroups(t.Context())
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, p.dialCount() > dials)
		assert.Equal(t, len(p.promotedMembers()), 0)
	})
}
