package peers

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/recovery"
)

// notify signals a channel of capacity one without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// probeLoop probes a VM repeatedly until ctx ends or the VM is no longer a target.
func (p *Peers) probeLoop(ctx context.Context, q *peer) {
	for ctx.Err() == nil && !p.stopIfUnwanted(q) {
		sentAt := p.cfg.Now()
		response, err := p.sendProbe(ctx, q)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			p.noteResponse(q)
		}
		p.setHealth(q, err == nil, response.Leaving)
		wait := deadProbeInterval
		if err == nil {
			p.cfg.OnProbeResponse(sentAt, placementVM(q.identity), response)
			wait = p.probeInterval(q)
		}
		select {
		case <-ctx.Done():
		case <-q.probeNow:
		case <-time.After(wait):
		}
	}
}

// probeInterval returns the interval between probes of a VM that responds. A VM that is no
// hub probes those of other regions least often: it learns of versions from its own zone, and
// a hub that leaves its requests without a response is probed at once; see silence.go. Most
// VMs of a large fleet are no hubs, so that most of its probes cross regions otherwise.
func (p *Peers) probeInterval(q *peer) time.Duration {
	base := p.cfg.ProbeInterval
	if q.identity.Zone == p.cfg.Self.Zone {
		return base
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.identity.Region != p.cfg.Self.Region && len(p.hubs) > 0 && placement.Index(p.hubs, p.cfg.Self.VM) < 0 {
		return max(base, maxProbeInterval)
	}
	return max(base, min(maxProbeInterval, base*time.Duration(len(p.hubs))/baseRateHubs))
}

// sendProbe probes a VM once and closes the connection if the probe fails.
func (p *Peers) sendProbe(ctx context.Context, q *peer) (ProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var response ProbeResponse
	err := q.client.Call(ctx, KindProbe, ProbeRequest{}, &response)
	if err != nil {
		q.client.Reset()
	}
	return response, err
}

// setHealth records whether a VM responds and whether it is leaving.
func (p *Peers) setHealth(q *peer, alive, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setHealthLocked(q, alive, leaving)
}

// setHealthLocked is setHealth with p.mu held.
func (p *Peers) setHealthLocked(q *peer, alive, leaving bool) {
	if p.peers[q.identity.VM] != q || q.alive == alive && q.dead == !alive && q.leaving == leaving {
		return
	}
	if !alive && !q.dead {
		q.deadSince = p.cfg.Now()
	}
	if !alive && !q.dead {
		p.probeZoneNow(q.identity.Zone)
	}
	q.alive, q.dead, q.leaving = alive, !alive, leaving
	p.cfg.Log.Info().Str("peer", string(q.identity.VM)).Bool("alive", alive).Bool("leaving", leaving).Msg("peer changed")
	p.updateHubs()
}

// probeZoneNow triggers probes of all probe targets in a zone, because after one VM has
// died the whole zone may have failed; p.mu must be held.
func (p *Peers) probeZoneNow(zone ident.AvailabilityZone) {
	for _, q := range p.peers {
		if q.identity.Zone == zone && q.stopProbes != nil {
			notify(q.probeNow)
		}
	}
}

// markLeaving marks a VM that has refused a request because it is shutting down, before
// the next probe reports it.
func (p *Peers) markLeaving(q *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setHealthLocked(q, q.alive, true)
}

// markUnresponsive marks a VM whose connection failed as dead, so that it is not used
// until it responds to a probe.
func (p *Peers) markUnresponsive(q *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setHealthLocked(q, false, q.leaving)
	notify(q.probeNow)
}

// updateHubs selects the hubs, and starts and ends probes accordingly; p.mu must be held.
func (p *Peers) updateHubs() {
	if p.joining {
		return
	}
	candidates := []placement.Candidate{{VM: placementVM(p.cfg.Self), Leaving: p.leaving}}
	for _, q := range p.peers {
		candidates = append(candidates, placement.Candidate{VM: placementVM(q.identity), Dead: q.dead, Leaving: q.leaving})
	}
	selected, targets := placement.Hubs(candidates)
	var hubs []placement.VM
	for _, v := range selected {
		if q := p.peers[v.Name]; q == nil || q.alive && !q.suspect {
			hubs = append(hubs, v)
		}
	}
	p.setHubs(hubs)
	p.setProbeTargets(append(targets, p.extraTargets...))
}

// setProbeTargets starts probes of the named VMs and marks all other VMs as unwanted;
// p.mu must be held.
func (p *Peers) setProbeTargets(names []ident.VMName) {
	wanted := map[ident.VMName]bool{}
	for _, name := range names {
		wanted[name] = true
	}
	for name, q := range p.peers {
		switch {
		case wanted[name]:
			q.unwantedSince = 0
			if q.stopProbes == nil {
				var ctx context.Context
				ctx, q.stopProbes = context.WithCancel(p.ctx)
				go recovery.Loop(ctx, p.cfg.Log, "probe peer", func(ctx context.Context) { p.probeLoop(ctx, q) })
			}
		case q.stopProbes != nil && q.unwantedSince == 0:
			q.unwantedSince = p.cfg.Now()
		}
	}
}

// stopIfUnwanted ends the probes of a VM that has not been a target for
// formerHubProbeTime, and reports whether it did.
func (p *Peers) stopIfUnwanted(q *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.unwantedSince == 0 || p.cfg.Now() < q.unwantedSince+formerHubProbeTime {
		return false
	}
	q.stopProbes()
	q.stopProbes, q.alive, q.dead, q.unwantedSince = nil, false, false, 0
	return true
}

// SetExtraProbeTargets sets the VMs to probe in addition to the hubs, such as VMs that
// hold shares of the rates.
func (p *Peers) SetExtraProbeTargets(names []ident.VMName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(names, p.extraTargets) {
		p.extraTargets = slices.Clone(names)
		p.updateHubs()
	}
}

// Leave removes this VM from its own list of hubs.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.updateHubs()
}
