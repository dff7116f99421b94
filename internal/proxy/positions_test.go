package proxy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rosemarywall/rosemarywall/internal/core/catalog"
	"github.com/rosemarywall/rosemarywall/internal/execution"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/statement"
)

// movingRoute is a fake whose route leads to a group that changes. Each group has a log of its
// own, and each write and each commit advances it.
type movingRoute struct {
	*fakeServices
	group       ident.GroupName
	consistency catalog.Consistency
	logs        map[ident.GroupName]ident.LogPoint
	// unnumbered makes upstreams report no position.
	unnumbered   bool
	requirements []Requirement
}

func newMovingRoute() *movingRoute {
	return &movingRoute{fakeServices: newFakeServices(), group: "g1", consistency: catalog.ReadYourWrites, logs: map[ident.GroupName]ident.LogPoint{}}
}

func (m *movingRoute) session(t fataler) *Session {
	s, _, err := OpenSession(&Services{Admission: m, Authoriser: m, Limiter: m, Router: m, Now: func() time.Duration { return time.Since(m.start) },
		NewTransactionID: func() string { return "t" }}, "orders", "key")
	if err != nil {
		t.Fatalf("%v", err)
	}
	return s
}

func (m *movingRoute) Authorise(database string, key catalog.KeyHash) (Grant, error) {
	grant, err := m.fakeServices.Authorise(database, key)
	grant.Route.Group, grant.Route.Consistency = m.group, m.consistency
	return grant, err
}

func (m *movingRoute) Choose(requirement Requirement) (Choice, bool) {
	m.requirements = append(m.requirements, requirement)
	return Choice{Target: execution.Target{Group: requirement.Grant.Route.Group, Upstream: "u1"}, Executor: m, VerifyLeadership: requirement.Primary}, true
}

func (m *movingRoute) Execute(ctx context.Context, r execution.Request) execution.Result {
	result := m.fakeServices.Execute(ctx, r)
	if r.Writes && r.Mode == execution.Single || r.EndsTransaction {
		log := m.logs[r.Target.Group]
		m.logs[r.Target.Group] = ident.LogPoint{Term: 1, Position: log.Position + 1}
	}
	if !m.unnumbered {
		result.Position = m.logs[r.Target.Group]
	}
	return result
}

// last returns the requirement of the last statement that was sent to an upstream.
func (m *movingRoute) last() Requirement { return m.requirements[len(m.requirements)-1] }

// Guards against a read that misses the session's own commit because the route led to another
// group in between (STALE, review/10).
func TestRouteThatReturnsKeepsTheLastCommit(t *testing.T) {
	m := newMovingRoute()
	s := m.session(t)
	m.handle(s, statement.Write)
	for _, group := range []ident.GroupName{"g2", "g3", "g1"} {
		m.group = group
		m.handle(s, statement.Read)
	}
	assert.Equal(t, m.last().SessionPosition, ident.LogPoint{Term: 1, Position: 1})
	assert.Assert(t, !m.last().Primary)
}

// Guards against a transaction that reads without the session's own commit, and against a
// commit that is recorded for another group, because the route moves while the transaction is
// open.
func TestRouteThatMovesInsideTransaction(t *testing.T) {
	m := newMovingRoute()
	s := m.session(t)
	m.handle(s, statement.Write)
	begin := func(readOnly bool) {
		a := s.Handle(t.Context(), statement.Statement{ID: "q", Text: "b", Kind: statement.Begin, ReadOnly: readOnly})
		assert.NilError(t, a.Err)
	}
	begin(true)
	m.group = "g2"
	m.handle(s, statement.Read)
	assert.Equal(t, m.last().SessionPosition, ident.LogPoint{Term: 1, Position: 1})
	m.handle(s, statement.Commit)
	m.group = "g1"
	begin(false)
	m.handle(s, statement.Write)
	m.group = "g2"
	m.handle(s, statement.Commit)
	m.handle(s, statement.Read)
	assert.Equal(t, m.last().SessionPosition, ident.LogPoint{}, "nothing was committed in g2")
	m.group = "g1"
	m.handle(s, statement.Read)
	assert.Equal(t, m.last().SessionPosition, m.logs["g1"])
}

// Guards against a read on a replica that may lack the session's commit, whose position the
// upstream did not report.
func TestCommitWithoutPositionIsReadAtPrimary(t *testing.T) {
	m := newMovingRoute()
	s := m.session(t)
	m.unnumbered = true
	m.handle(s, statement.Write)
	m.handle(s, statement.Read)
	assert.Assert(t, m.last().Primary)
	m.unnumbered = false
	m.handle(s, statement.Write)
	m.handle(s, statement.Read)
	assert.Assert(t, !m.last().Primary)
	assert.Equal(t, m.last().SessionPosition, m.logs["g1"])
	m.consistency = catalog.BoundedStaleness
	m.unnumbered = true
	m.handle(s, statement.Write)
	m.handle(s, statement.Read)
	assert.Assert(t, !m.last().Primary, "the route allows reads without the session's commits")
}

// Guards against a read that may miss a commit of its session, whatever the order in which a
// route moves between groups, statements fail and transactions open and close, and against
// positions whose memory grows with the number of groups.
func TestReadsCoverOwnCommits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMovingRoute()
		s := m.session(rt)
		committed := map[ident.GroupName]ident.LogPoint{} // by acknowledged commits
		var opened ident.GroupName
		wrote := false
		for i := range rapid.IntRange(1, 60).Draw(rt, "statements") {
			m.group = ident.GroupName(fmt.Sprint("g", rapid.IntRange(1, maxCommitGroups+4).Draw(rt, "group")))
			m.unnumbered = rapid.IntRange(0, 9).Draw(rt, "unnumbered") == 0
			kind := rapid.SampledFrom([]statement.Kind{statement.Read, statement.Write, statement.Begin, statement.Commit, statement.Rollback}).Draw(rt, "kind")
			readOnly := rapid.Bool().Draw(rt, "read only")
			if rapid.IntRange(0, 5).Draw(rt, "fails") == 0 {
				m.results = []execution.Result{unknown}
			}
			inside, sent := s.state == statement.InTransaction, len(m.requirements)
			group := m.group
			if inside {
				group = opened
			}
			a := s.Handle(rt.Context(), statement.Statement{ID: "q", Text: "x", Kind: kind, ReadOnly: readOnly})
			m.results = nil
			if len(m.requirements) > sent {
				q := m.last()
				if q.Grant.Route.Group != group {
					rt.Fatalf("statement %d runs in %s instead of %s", i, q.Grant.Route.Group, group)
				}
				if !q.Primary && q.SessionPosition.Compare(committed[group]) < 0 {
					rt.Fatalf("statement %d needs %v, the session committed %v", i, q.SessionPosition, committed[group])
				}
				if log := m.logs[group]; q.SessionPosition.Compare(log) > 0 {
					rt.Fatalf("statement %d needs %v, the log of %s ends at %v", i, q.SessionPosition, group, log)
				}
			}
			switch {
			case a.Err != nil:
			case kind == statement.Begin:
				opened, wrote = m.group, !readOnly
			case kind == statement.Commit && wrote, kind == statement.Write && !inside:
				committed[group] = m.logs[group]
			}
			if len(s.commits.list) > maxCommitGroups {
				rt.Fatalf("positions of %d groups", len(s.commits.list))
			}
		}
	})
}
