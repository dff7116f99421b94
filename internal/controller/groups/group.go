package groupcontroller

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// groupState is one group that this VM follows. Readers load the view without a lock;
// mu serializes changes of the view and of the waiters.
type groupState struct {
	controller  *Controller
	name        ident.GroupName
	view        atomic.Pointer[routing.View]
	readIndexer readIndexer
	promoter    *promoter
	ctx         context.Context
	cancel      context.CancelFunc
	used        atomic.Bool   // by a request since the last idle sweep
	idleSince   time.Duration // guarded by the controller's configMu

	mu      sync.Mutex
	waiters []*waiter
	// lastPrimary is the primary of the latest view that had one.
	lastPrimary ident.UpstreamName
	streams     map[ident.UpstreamName]*statusStream
}

// waiter is a request that waits until ready holds for the view.
type waiter struct {
	ready func(*routing.View) bool
	done  chan struct{}
}

func newGroup(c *Controller, name ident.GroupName, members []routing.Member) *groupState {
	g := &groupState{controller: c, name: name, streams: map[ident.UpstreamName]*statusStream{}}
	g.ctx, g.cancel = context.WithCancel(c.ctx)
	g.view.Store(routing.NewView(name, members))
	g.readIndexer.group = g
	g.promoter = newPromoter(g, c.rotation.Add(1))
	return g
}

// configure applies the members and opens or closes their streams.
func (g *groupState) configure(members []routing.Member) {
	if !slices.Equal(g.view.Load().Members, members) {
		g.update(func(v *routing.View) *routing.View { return v.WithMembers(members) })
	}
	g.promoter.configure(members)
	g.mu.Lock()
	defer g.mu.Unlock()
	wanted := map[ident.UpstreamName]bool{}
	for _, m := range members {
		wanted[m.Upstream] = true
		if s := g.streams[m.Upstream]; s != nil {
			if s.address == m.Agent {
				continue
			}
			s.cancel()
		}
		g.streams[m.Upstream] = startStream(g, m)
	}
	for name, s := range g.streams {
		if !wanted[name] {
			s.cancel()
			delete(g.streams, name)
		}
	}
}

func (g *groupState) stop() { g.cancel() }

// stopAfter stops the group after d or when the controller stops.
func (g *groupState) stopAfter(d time.Duration) {
	select {
	case <-g.ctx.Done():
	case <-time.After(d):
	}
	g.stop()
}

// waiting reports whether any request waits for a change of the view.
func (g *groupState) waiting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters) > 0
}

// agent returns the agent client of a member, or nil if it is not configured.
func (g *groupState) agent(name ident.UpstreamName) group.Agent {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.streams[name]; s != nil {
		return s.agent
	}
	return nil
}

// agentAddress returns the address of a member's agent, or "" if it is not configured.
func (g *groupState) agentAddress(name ident.UpstreamName) string {
	v := g.view.Load()
	if i := v.MemberIndex(name); i >= 0 {
		return v.Members[i].Agent
	}
	return ""
}

// update replaces the view and resumes the waiters that the new view satisfies.
func (g *groupState) update(change func(*routing.View) *routing.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.view.Load()
	next := change(old)
	if next == old {
		return
	}
	g.view.Store(next)
	g.reportReplacement(next)
	kept := g.waiters[:0]
	for _, w := range g.waiters {
		if w.ready(next) {
			close(w.done)
		} else {
			kept = append(kept, w)
		}
	}
	clear(g.waiters[len(kept):])
	g.waiters = kept
}

// reportReplacement notifies the data plane when a failed primary was replaced, so that
// requests waiting for its responses are resolved at once. A primary replaced by a
// planned move still responds, and its connections end normally. The view may have no
// primary in between, so the former one is kept in lastPrimary. The caller holds mu.
func (g *groupState) reportReplacement(v *routing.View) {
	if v.Primary < 0 {
		return
	}
	former, now := g.lastPrimary, v.Members[v.Primary].Upstream
	g.lastPrimary = now
	replaced := g.controller.options.OnPrimaryReplaced
	if replaced == nil || former == "" || former == now {
		return
	}
	if i := v.MemberIndex(former); i >= 0 && !v.Observations[i].Down && g.controller.options.Now()-v.Observations[i].ReceivedAt <= MaxStreamGap {
		return
	}
	go replaced(g.name, former, v.Term)
}

// updateMember changes the observation of one member if it is still configured.
func (g *groupState) updateMember(name ident.UpstreamName, change func(*routing.View, int) *routing.View) {
	g.update(func(v *routing.View) *routing.View {
		if i := v.MemberIndex(name); i >= 0 {
			return change(v, i)
		}
		return v
	})
}

// wait returns once ready holds for the view, or with an error when ctx ends or the
// group is stopped.
func (g *groupState) wait(ctx context.Context, ready func(*routing.View) bool) error {
	g.mu.Lock()
	if ready(g.view.Load()) {
		g.mu.Unlock()
		return nil
	}
	w := &waiter{ready: ready, done: make(chan struct{})}
	g.waiters = append(g.waiters, w)
	g.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
	case <-g.ctx.Done():
	}
	g.mu.Lock()
	if i := slices.Index(g.waiters, w); i >= 0 {
		g.waiters = slices.Delete(g.waiters, i, i+1)
	}
	g.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	return g.ctx.Err()
}
