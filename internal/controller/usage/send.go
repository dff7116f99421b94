package usage

import (
	"context"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/controller/peers"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	core "github.com/rosemarywall/rosemarywall/internal/core/usage"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// rankKey is the key of the rendezvous hash that orders the hubs.
const rankKey = "usage"

// successors is the number of hubs after the first to which the first one sends its own totals.
const successors = 1

// outbox is what is sent to one VM.
type outbox struct {
	core.Outbox
	sending bool
	// refusal is the code of the last refusal, so that it is logged once.
	refusal resultcode.Code
}

// runSender sends totals until ctx ends.
func (c *Controller) runSender(ctx context.Context) {
	for clock.Sleep(ctx, sendInterval) {
		c.estimateTime()
		c.sendTotals(ctx)
	}
}

// sendTotals sends what has changed to the VMs that may report it.
func (c *Controller) sendTotals(ctx context.Context) {
	hubs := c.hubs()
	isHub := placement.Index(hubs, c.cfg.Self.VM) >= 0
	final := c.finalThrough()
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest, counts := c.counter.Oldest()
	if len(hubs) == 0 || !isHub && !counts && !c.collector.HasTotals() {
		return
	}
	unix := c.unix(c.cfg.Now())
	ranked := placement.Rank(hubs, rankKey)
	number := c.cfg.Windows.Targets(unix, oldest, counts)
	if ranked[0].Name == c.cfg.Self.VM {
		// Otherwise the counts of the VM that reports would be lost with it.
		number = max(number, 1+successors)
	}
	targets := ranked[:min(len(ranked), number)]
	polls := c.cfg.Windows.Polls(unix, oldest, counts)
	c.removeOutboxes(targets)
	relayed := c.collector.Relay(c.gone)
	for _, target := range targets {
		o := c.outbox(target.Name)
		m, ok := o.Next(c.counter, final, relayed)
		switch {
		case !ok && !polls || o.sending:
		case target.Name == c.cfg.Self.VM:
			m.Relayed = nil // the own collector holds them
			c.acknowledge(target.Name, o, m, c.receive(c.source(), m))
		default:
			o.sending = true
			recovery.Go(c.cfg.Log, "send usage", func() { c.send(ctx, target.Name, o, m) })
		}
	}
}

func (c *Controller) source() core.Source {
	return core.Source{VM: c.cfg.Self.VM, Incarnation: c.cfg.Self.Incarnation}
}

// finalThrough returns the newest window to which this VM adds nothing any more.
func (c *Controller) finalThrough() int64 {
	oldest, running := c.cfg.OldestRunning()
	return c.cfg.Windows.FinalThrough(c.unix(c.cfg.Now()), c.unix(oldest), running)
}

// outbox returns the outbox for a VM; c.mu must be held.
func (c *Controller) outbox(vm ident.VMName) *outbox {
	o, ok := c.outboxes[vm]
	if !ok {
		o = &outbox{}
		c.outboxes[vm] = o
	}
	return o
}

// removeOutboxes removes the outboxes of VMs that are no targets any more; c.mu must be
// held.
func (c *Controller) removeOutboxes(targets []placement.VM) {
	for vm, o := range c.outboxes {
		if !o.sending && placement.Index(targets, vm) < 0 {
			delete(c.outboxes, vm)
		}
	}
}

// gone reports whether a source has ended; c.mu must be held.
func (c *Controller) gone(s core.Source) bool {
	if s.VM == c.cfg.Self.VM {
		return s.Incarnation != c.cfg.Self.Incarnation
	}
	_, responds := c.cfg.Fleet.Address(s.VM)
	incarnation, known := c.incarnations[s.VM]
	return !responds || known && incarnation != s.Incarnation
}

// send sends a message and applies its response.
func (c *Controller) send(ctx context.Context, to ident.VMName, o *outbox, m core.Message) bool {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		o.sending = false
	}()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var r core.Response
	if err := c.cfg.Fleet.Call(ctx, to, peers.KindUsage, m, &r); err != nil {
		c.cfg.Log.Debug().Err(err).Str("peer", string(to)).Msg("usage counts not sent")
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledge(to, o, m, r)
	return r.Code == 0 && len(r.Refused) == 0
}

// acknowledge applies a response; c.mu must be held.
func (c *Controller) acknowledge(to ident.VMName, o *outbox, m core.Message, r core.Response) {
	refusal, window, organisation := r.Code, int64(0), ident.OrganisationName("")
	if len(r.Refused) > 0 {
		refusal, window, organisation = r.Refused[0].Code, r.Refused[0].Window, r.Refused[0].Organisation
	}
	if refusal != o.refusal && refusal != 0 {
		c.cfg.Log.Warn().Str("peer", string(to)).Str("code", refusal.String()).Int64("window", window).Str("organisation", string(organisation)).
			Int("refused", len(r.Refused)).Msg("usage counts refused")
	}
	o.refusal = refusal
	lost := c.counter.Stats().Lost
	o.Acknowledge(c.counter, m, r)
	if r.Code == 0 {
		c.collector.Settle(r.Settled)
	}
	if n := c.counter.Stats().Lost - lost; n > 0 {
		c.cfg.Log.Warn().Str("peer", string(to)).Int64("settled", r.Settled).Uint64("requests", n).Msg("usage counts lost")
	}
}

// flushRetryDelay is the delay between attempts to pass the counts on.
const flushRetryDelay = 50 * time.Millisecond

// Flush passes all counts of this VM, and those that it has collected of sources that are
// gone, to the VM that reports next. It is called when the VM stops and executes nothing any
// more, and returns when they have arrived or ctx ends.
func (c *Controller) Flush(ctx context.Context) {
	for {
		sent, done := c.flush(ctx)
		if done {
			c.cfg.Log.Info().Bool("sent", sent).Msg("usage counts passed on")
			return
		}
		if !clock.Sleep(ctx, flushRetryDelay) {
			c.cfg.Log.Warn().Uint64("requests", c.Stats().Outstanding).Msg("usage counts not passed on")
			return
		}
	}
}

// flush sends one message. done means that nothing is left to send.
func (c *Controller) flush(ctx context.Context) (sent, done bool) {
	var target ident.VMName
	for _, hub := range placement.Rank(c.hubs(), rankKey) {
		if hub.Name != c.cfg.Self.VM {
			target = hub.Name
			break
		}
	}
	c.mu.Lock()
	_, counts := c.counter.Oldest()
	nothing := !counts && !c.collector.HasTotals()
	if target == "" || nothing {
		c.mu.Unlock()
		return false, nothing
	}
	o := c.outbox(target)
	now := c.unix(c.cfg.Now())
	m, ok := o.Next(c.counter, c.cfg.Windows.At(now), c.collector.Relay(c.gone))
	c.mu.Unlock()
	if !ok {
		return true, true
	}
	return true, c.send(ctx, target, o, m)
}
