package upstream

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rosemarywall/rosemarywall/internal/group"
)

// Guards against answers of a dead or paused member, and against a client that stays
// on a broken question connection.
func TestQuestionsFollowTheLifeOfAMember(t *testing.T) {
	g, err := Start(Config{Name: "questions", User: "u", Members: []MemberConfig{{Name: "a"}, {Name: "b"}}}, NewNetwork())
	assert.NilError(t, err)
	t.Cleanup(g.Close)
	m := g.Member("a")
	agent := group.NewHTTPAgent(m.AgentAddress())
	t.Cleanup(agent.Close)
	ask := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		status, err := agent.Status(ctx)
		if err == nil {
			assert.Equal(t, status.Upstream, m.Name())
		}
		return err
	}
	for range 200 { // the first calls open the connection, the rest use it
		assert.NilError(t, ask())
	}
	m.Pause()
	assert.ErrorIs(t, ask(), context.DeadlineExceeded)
	m.Resume()
	for ask() != nil {
	}
	m.Kill()
	assert.Assert(t, ask() != nil, "a dead member answered")
	assert.NilError(t, m.Restart())
	deadline := time.Now().Add(10 * time.Second)
	for ask() != nil {
		assert.Assert(t, time.Now().Before(deadline), "the client does not return to the member")
	}
}
