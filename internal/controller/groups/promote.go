package groupcontroller

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/promotion"
	"github.com/rosemarywall/rosemarywall/internal/core/routing"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

// Timeout of the calls and intervals of the ticks of a promotion.
const (
	callTimeout      = time.Second
	busyTickInterval = 20 * time.Millisecond
	idleTickInterval = 200 * time.Millisecond
)

// promoter runs the promotion state machine of one group. Its lock is acquired before the
// group's lock, never after.
type promoter struct {
	group       *groupState
	mu          sync.Mutex
	machine     *promotion.Machine
	lastOutcome *promotion.Outcome
	// handoverInFlight is set until a handover call returns. The call waits for running
	// transactions, so it is not repeated in the meantime.
	handoverInFlight bool
}

func newPromoter(g *groupState, seed uint64) *promoter {
	self := g.controller.self
	incarnation := string(self.Name) + "." + strconv.FormatUint(uint64(self.Incarnation), 10)
	random := rand.New(rand.NewPCG(seed, uint64(self.Incarnation)))
	vm := promotion.VM{Name: self.Name, Zone: self.Zone}
	return &promoter{group: g, machine: promotion.New(g.name, vm, incarnation, random)}
}

// handleEvent passes an event to the machine and executes the resulting actions.
func (p *promoter) handleEvent(event func(m *promotion.Machine, now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	event(p.machine, p.group.controller.options.Now())
	p.publishRecord()
	for _, outcome := range p.machine.TakeOutcomes() {
		p.lastOutcome = &outcome
		p.group.controller.metrics.recordPrimaryChange(outcome)
		p.group.controller.options.Log.Info().Str("group", string(p.group.name)).
			Uint64("term", uint64(outcome.Term)).Str("primary", string(outcome.Primary)).
			Str("reason", outcome.Reason).Dur("detection_ms", outcome.Detection).Dur("gap_ms", outcome.Total()).
			Msg("primary changed")
	}
	for _, action := range p.machine.TakeActions() {
		p.execute(action)
	}
}

// publishRecord copies the machine's record to the view, if it has changed.
func (p *promoter) publishRecord() {
	r := p.machine.Record()
	record := routing.Record{Term: r.Term, Serving: r.State != promotion.Fencing, Primary: r.Primary}
	writesPaused := p.machine.HoldsWrites()
	if v := p.group.view.Load(); v.Record == record && v.WritesPaused == writesPaused {
		return
	}
	p.group.update(func(v *routing.View) *routing.View { return v.WithRecord(record).WithWritesPaused(writesPaused) })
}

// configure passes the members and the followers of the group to the machine.
func (p *promoter) configure(members []routing.Member) {
	list := make([]promotion.Member, 0, len(members))
	for _, m := range members {
		list = append(list, promotion.Member{Upstream: m.Upstream, Zone: m.Zone, Region: m.Region, Usable: m.Usable})
	}
	vms := p.group.controller.followers(p.group.name)
	p.handleEvent(func(m *promotion.Machine, now time.Duration) { m.Configure(now, list, vms) })
}

// run sends ticks to the machine until the group is stopped.
func (p *promoter) run() {
	for {
		p.mu.Lock()
		interval := idleTickInterval
		if p.machine.Busy() {
			interval = busyTickInterval
		}
		p.mu.Unlock()
		select {
		case <-p.group.ctx.Done():
			return
		case <-time.After(interval):
			p.handleEvent((*promotion.Machine).Tick)
		}
	}
}

func (p *promoter) handleStatus(status group.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machine.Status(p.group.controller.options.Now(), status)
}

func (p *promoter) handleRefused(name ident.UpstreamName) {
	p.handleEvent(func(m *promotion.Machine, now time.Duration) { m.Refused(now, name) })
}

// execute performs one action. Calls and messages run in their own goroutines. The caller
// holds mu.
func (p *promoter) execute(action any) {
	switch a := action.(type) {
	case promotion.Get:
		p.spawn(callTimeout, p.getObject)
	case promotion.Put:
		p.spawn(callTimeout, func(ctx context.Context) { p.putObject(ctx, a) })
	case promotion.Fence:
		p.callAgent(a.Upstream, callTimeout, func(ctx context.Context, agent group.Agent) (group.Status, error) {
			return agent.Fence(ctx, a.Term, a.Proposer)
		}, func(m *promotion.Machine, now time.Duration, r promotion.Result) { m.Fenced(now, a, r) })
	case promotion.Promote:
		p.callAgent(a.Upstream, callTimeout, func(ctx context.Context, agent group.Agent) (group.Status, error) {
			return agent.Promote(ctx, a.Term, a.Proposer)
		}, func(m *promotion.Machine, now time.Duration, r promotion.Result) { m.Promoted(now, a, r) })
	case promotion.Handover:
		p.handover(a)
	case promotion.Follow:
		p.callAgent(a.Upstream, callTimeout, func(ctx context.Context, agent group.Agent) (group.Status, error) {
			return agent.Follow(ctx, a.Term, a.Primary, p.group.agentAddress(a.Primary))
		}, func(*promotion.Machine, time.Duration, promotion.Result) {})
	default: // the mesh may hold its lock while it reports a change
		p.group.controller.spawn(func() { p.sendToVMs(action) })
	}
}

func (p *promoter) handover(a promotion.Handover) {
	if p.handoverInFlight {
		return
	}
	p.handoverInFlight = true
	p.callAgent(a.Upstream, promotion.HandoverTimeout, func(ctx context.Context, agent group.Agent) (group.Status, error) {
		return agent.Handover(ctx, a.Term)
	}, func(m *promotion.Machine, now time.Duration, r promotion.Result) {
		p.handoverInFlight = false
		m.HandedOver(now, a, r)
	})
}

// callAgent runs a call to a member agent and passes its result to the machine.
func (p *promoter) callAgent(
	upstream ident.UpstreamName, timeout time.Duration,
	run func(context.Context, group.Agent) (group.Status, error),
	done func(*promotion.Machine, time.Duration, promotion.Result),
) {
	p.spawn(timeout, func(ctx context.Context) {
		var result promotion.Result
		if agent := p.group.agent(upstream); agent != nil {
			status, err := run(ctx, agent)
			result = promotion.Result{OK: err == nil && status.Upstream == upstream, Status: status}
		}
		p.handleEvent(func(m *promotion.Machine, now time.Duration) { done(m, now, result) })
	})
}

func (p *promoter) spawn(timeout time.Duration, run func(context.Context)) {
	p.group.controller.spawn(func() {
		ctx, cancel := context.WithTimeout(p.group.ctx, timeout)
		defer cancel()
		run(ctx)
	})
}
