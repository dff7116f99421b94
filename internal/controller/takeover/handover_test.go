package takeover

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/virtualtime"
)

// assertNothingLost asserts that the log of the primary has the last acknowledged commit.
func (p *fakePlatform) assertNothingLost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, m := range p.members {
		if m.primary {
			assert.Assert(p.t, m.received.AtLeast(p.acknowledged), "%s has %v, acknowledged is %v", name, m.received, p.acknowledged)
		}
	}
}

// Guards against a commit that is lost because a member joins between the call of a promotion
// and its effect, and confirms a commit that the candidate lacks (LOST, review/1).
func TestJoinBetweenCallAndEffectLosesNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.commitVia("u2")
		p.beforeEffect = func() {
			p.mu.Lock()
			p.members["u4"] = &member{received: p.members["u1"].received}
			p.mu.Unlock()
			p.commitVia("u4")
		}
		p.replace(p.controller("vm-1"))
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u2"})
		p.assertNothingLost()
	})
}

// Guards against a candidate that lacks the commits which another replica has confirmed
// between the check of the candidate and the demotion.
func TestCandidateHoldsLogOfDemotedPrimary(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.beforeStepDown = func() { p.commitVia("u3") }
		p.replace(p.controller("vm-1"))
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u3"})
		p.assertNothingLost()
	})
}

// Guards against takeovers that wait for good for a commit holder that has left, although the
// primary responds (RECOVER, review/2, and planned replacements in quick succession).
func TestDepartedHolderDoesNotEndHandOvers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.members["u4"] = &member{unresponsive: true}
		p.deregistered = map[ident.UpstreamName]time.Duration{"u4": time.Second}
		p.object = &objectapi.Object{Version: 1, Value: []byte(`{"done":true,"primary":"u1","holders":{"u1":"u1","u2":"u2","u3":"u3","u4":"u4"}}`)}
		p.replace(p.controller("vm-1"))
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u2"})
		assert.Equal(t, p.members["u3"].paused, ident.Term(0), "a demoted primary needs no paused replicas")
	})
}

// Guards against a primary that is demoted, so that nothing can be written, while no candidate
// receives its log.
func TestPrimaryServesUntilCandidateHasCaughtUp(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		c := p.controller("vm-1")
		p.updateMember("u1", func(m *member) { m.received.Position = 9 })
		p.replace(c)
		assert.Equal(t, len(p.promoteCalls), 0)
		assert.Assert(t, p.members["u1"].primary)
		p.updateMember("u3", func(m *member) { m.received.Position = 9 })
		p.replace(c)
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u3"})
	})
}

// Guards against a group without a primary for good, because no candidate has received the end
// of the log of the demoted one.
func TestDemotedPrimaryIsPromotedAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.beforeStepDown = func() { p.commitVia("none") }
		c := p.controller("vm-1")
		p.replace(c)
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u1"})
		assert.Assert(t, p.members["u1"].primary)
		p.beforeStepDown = nil
		p.updateMember("u2", func(m *member) { m.received = p.members["u1"].received })
		p.replace(c)
		assert.DeepEqual(t, p.promoteCalls[1:], []ident.UpstreamName{"u2"})
	})
}

// Guards against a group without a primary after the call for the candidate was refused, or
// the VM that demoted the primary has died, while a commit holder has left for good.
func TestDemotedPrimaryIsReplacedByAnotherVM(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		for name, result := range map[string]error{"refused": resultcode.New(resultcode.PlatformUnavailable, "status 503"), "no response": errNoResponse} {
			p := newFakePlatform(t)
			p.members["u4"] = &member{unresponsive: true}
			p.deregistered = map[ident.UpstreamName]time.Duration{"u4": time.Second}
			p.object = &objectapi.Object{Version: 1, Value: []byte(`{"done":true,"primary":"u1","holders":{"u1":"u1","u2":"u2","u3":"u3","u4":"u4"}}`)}
			p.callResults = []error{result}
			p.replace(p.controller("vm-1"))
			assert.Assert(t, !p.members["u1"].primary)
			if name == "refused" {
				p.updateMember("u2", func(m *member) { m.unresponsive = true }) // any member may be promoted
			}
			p.replaceMissing(p.controller("vm-2"))
			want := map[string]ident.UpstreamName{"refused": "u3", "no response": "u2"}[name]
			assert.DeepEqual(t, p.promoteCalls[1:], []ident.UpstreamName{want})
			assert.Assert(t, p.storedRecord().PrimaryCall == p.storedRecord().CallNumber)
		}
	})
}

// Guards against a group without a primary for good: the primary that leaves has stepped down,
// its log has an end that nobody has received, and the call of an earlier attempt was lost.
func TestLeavingPrimaryLeadsAgainAfterLostCall(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		c := p.controller("vm-1")
		p.attempt(c, "ledger").updateHolders(t.Context())
		p.callResults = []error{errNoResponse}
		p.updateMember("u1", func(m *member) { m.draining = true })
		p.stopPrimary()
		p.replace(c) // proved by replicas; the call for u2 may take effect
		p.updateMember("u1", func(m *member) { m.unresponsive = false })
		p.beforeStepDown = func() { p.commitVia("none") }
		p.updateMember("u2", func(m *member) { m.unresponsive = true })
		p.replace(c)
		assert.Equal(t, len(p.promoteCalls), 1, "only u2 may be promoted")
		p.updateMember("u1", func(m *member) { m.primary = false })
		p.updateMember("u2", func(m *member) { m.unresponsive = false })
		p.beforeStepDown = nil
		p.updateMember("u1", func(m *member) { m.received.Position++ })
		time.Sleep(maxCommandDelay)
		p.replaceMissing(p.controller("vm-2"))
		p.replaceMissing(c)
		assert.DeepEqual(t, p.promoteCalls[1:], []ident.UpstreamName{"u1"})
	})
}

// Guards against a member that counts as the last primary although a call has promoted another
// one since, whose commits it lacks.
func TestFormerPrimaryProvesNothingAfterAnotherCall(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		c := p.controller("vm-1")
		p.replace(c)
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u2"})
		p.commitVia("none")
		p.updateMember("u2", func(m *member) { m.unresponsive, m.primary = true, false })
		r := p.storedRecord()
		r.Primary, r.PrimaryCall = "u1", r.PrimaryCall-1
		_, err := p.Put(t.Context(), KindGroup, "g1", r, p.object.Version)
		assert.NilError(t, err)
		p.replaceMissing(p.controller("vm-2"))
		assert.Equal(t, len(p.promoteCalls), 1)
	})
}

// Guards against a replica that counts as one that has what its former log had, after it has
// started again under its name without that log (LOST, review/8).
func TestRestartedReplicaHoldsNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		for name, m := range p.members {
			m.incarnation = int64(name[1])
		}
		c := p.controller("vm-1")
		p.updateMember("u3", func(m *member) { m.paused = 1 }) // receives nothing
		maintenance := p.attempt(c, "ledger")
		maintenance.updateHolders(t.Context())
		p.commitVia("u2")
		p.stopPrimary()
		p.updateMember("u2", func(m *member) { *m = member{incarnation: 99} })
		for range 3 {
			p.replace(c)
			time.Sleep(attemptInterval)
		}
		assert.Equal(t, len(p.promoteCalls), 0, "only the silent primary has the commit")
		p.updateMember("u1", func(m *member) { m.unresponsive = false })
		p.updateMember("u3", func(m *member) { m.paused = 0 })
		p.commitVia("u3")
		p.attempt(c, "ledger").updateHolders(t.Context())
		p.stopPrimary()
		p.replace(c)
		assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u3"})
		p.assertNothingLost()
	})
}

// Guards against the same while the registration of the new start is still on its way.
func TestEmptyReplicaMayHaveRestarted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.commitVia("u2")
		p.stopPrimary()
		p.updateMember("u2", func(m *member) { m.received = ident.LogPoint{} })
		go func() {
			time.Sleep(joinDelay / 2)
			p.updateMember("u2", func(m *member) { m.incarnation = 7 })
		}()
		p.replace(p.controller("vm-1"))
		assert.Equal(t, len(p.promoteCalls), 0)
	})
}

// Guards against a member that is dropped from the commit holders because it is cut off
// together with its zone, and confirms commits after the cut without being counted (LOST,
// review/6), and against one that has left and stays a commit holder.
func TestHolderIsDroppedOnlyIfItHasGone(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		c := p.controller("vm-1")
		p.zoneSilent = true
		p.attempt(c, "ledger").updateHolders(t.Context())
		p.updateMember("u3", func(m *member) { m.unresponsive = true })
		p.deregistered = map[ident.UpstreamName]time.Duration{"u3": time.Second}
		p.attempt(c, "ledger").updateHolders(t.Context())
		assert.Equal(t, len(p.storedRecord().Holders), 3, "no VM of its zone responds")
		p.zoneSilent = false
		p.attempt(c, "ledger").updateHolders(t.Context())
		r := p.storedRecord()
		assert.DeepEqual(t, r.Holders, map[ident.UpstreamName]string{"u1": "u1", "u2": "u2"})
		assert.Equal(t, len(r.Logs), 2)
	})
}

// Guards against a takeover that knows less than the VM which began the one before: a member
// that has registered is a commit holder from the first claim on.
func TestClaimRecordsRegisteredMembers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.stopPrimary()
		p.updateMember("u3", func(m *member) { m.unresponsive = true })
		p.replace(p.controller("vm-1"))
		assert.Equal(t, len(p.storedRecord().Holders), 3)
		p.mu.Lock()
		delete(p.members, "u3")
		p.members["u3"] = &member{unresponsive: true, incarnation: 1}
		p.mu.Unlock()
		p.deregistered = map[ident.UpstreamName]time.Duration{"u3": time.Second}
		p.replace(p.controller("vm-2"))
		assert.Equal(t, len(p.promoteCalls), 0, "u3 may hold a commit")
	})
}

// Guards against a promotion that lacks commits which were acknowledged behind the cut of the
// primary's zone, where a member has joined that only clients there can see (LOST, review/7).
func TestTakeoverWaitsForZoneOfSilentPrimary(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		for _, reason := range []string{reasonUnresponsive, reasonLeaving, reasonMissing} {
			p := newFakePlatform(t)
			c := p.controller("vm-1")
			p.attempt(c, "ledger").updateHolders(t.Context())
			p.stopPrimary()
			p.zoneSilent = true
			take := func() { p.replaceBecause(c, reason) }
			if reason == reasonMissing {
				p.updateMember("u1", func(m *member) { m.primary = false })
				take = func() { p.replaceMissing(c) }
			}
			take()
			assert.Equal(t, len(p.promoteCalls), 0, reason)
			p.zoneSilent = false
			if reason == reasonMissing {
				p.mu.Lock()
				delete(p.members, "u1") // no longer registered as a replica either
				p.members["u1-successor"] = &member{received: ident.LogPoint{Term: 1, Position: 5}}
				p.mu.Unlock()
			}
			take()
			assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{map[bool]ident.UpstreamName{false: "u2", true: "u1-successor"}[reason == reasonMissing]})
		}
	})
}

// Guards against a database that waits for a zone whose VMs are all down, although the primary's
// machine shows that its process has ended.
func TestRefusingPrimaryIsReplacedWithoutItsZone(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		for _, reason := range []string{reasonUnresponsive, reasonLeaving} {
			p := newFakePlatform(t)
			p.updateMember("u1", func(m *member) { m.refuses = true })
			p.zoneSilent = true
			p.replaceBecause(p.controller("vm-1"), reason)
			assert.DeepEqual(t, p.promoteCalls, []ident.UpstreamName{"u2"})
		}
	})
}

// Guards against replicas that are paused although the takeover can't succeed, so that a
// primary which only this VM doesn't reach can't commit.
func TestNoPauseWithoutEnoughReplicas(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.members["u4"] = &member{received: ident.LogPoint{Term: 1, Position: 5}}
		p.stopPrimary()
		p.updateMember("u4", func(m *member) { m.unresponsive = true })
		p.replace(p.controller("vm-1"))
		assert.Equal(t, len(p.promoteCalls), 0)
		for _, name := range []ident.UpstreamName{"u2", "u3"} {
			assert.Equal(t, p.members[name].resumes, 0, "%s was not paused", name)
		}
	})
}

// Guards against a call after a counted replica has left and, having started again without its
// pause, may have confirmed a commit in between.
func TestDepartureAfterVerificationPreventsCall(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := newFakePlatform(t)
		p.stopPrimary()
		p.writeDelay = maxAnnouncementAge / 2
		go func() {
			time.Sleep(p.writeDelay + 10*time.Millisecond) // during the announcement
			p.mu.Lock()
			defer p.mu.Unlock()
			p.deregistered = map[ident.UpstreamName]time.Duration{"u3": time.Second}
		}()
		p.replace(p.controller("vm-1"))
		assert.Equal(t, len(p.promoteCalls), 0)
	})
}
