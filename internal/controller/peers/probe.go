package peers

import (
	"context"
	"slices"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
)

func nudge(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// probe asks a VM again and again until ctx ends.
func (p *Peers) probe(ctx context.Context, q *peer) {
	for ctx.Err() == nil && !p.ended(q) {
		askedAt := p.cfg.Now()
		pulse, err := p.ask(ctx, q)
		if ctx.Err() != nil {
			return
		}
		p.mark(q, err == nil, pulse.Leaving)
		wait := deadInterval
		if err == nil {
			p.cfg.OnProbeResponse(askedAt, placementOf(q.identity), pulse)
			wait = p.interval(q)
		}
		select {
		case <-ctx.Done():
		case <-q.wake:
		case <-time.After(wait):
		}
	}
}

// interval returns the time between probes of a VM that answers.
func (p *Peers) interval(q *peer) time.Duration {
	base := p.cfg.ProbeInterval
	if q.identity.Zone == p.cfg.Self.Zone {
		return base
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(base, min(slowestProbe, base*time.Duration(len(p.hubs))/manyHubs))
}

func (p *Peers) ask(ctx context.Context, q *peer) (ProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var pulse ProbeResponse
	err := q.client.Call(ctx, KindProbe, ProbeRequest{}, &pulse)
	if err != nil {
		q.client.Reset()
	}
	return pulse, err
}

// mark records whether a VM answers.
func (p *Peers) mark(q *peer, alive, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markLocked(q, alive, leaving)
}

// markLocked is mark; p.mu is held.
func (p *Peers) markLocked(q *peer, alive, leaving bool) {
	if p.peers[q.identity.VM] != q || q.alive == alive && q.dead == !alive && q.leaving == leaving {
		return
	}
	if !alive && !q.dead {
		q.deadSince = p.cfg.Now()
	}
	if !alive && !q.dead {
		p.wakeZone(q.identity.Zone)
	}
	q.alive, q.dead, q.leaving = alive, !alive, leaving
	p.cfg.Log.Info().Str("peer", string(q.identity.VM)).Bool("alive", alive).Bool("leaving", leaving).Msg("peer changed")
	p.rebuild()
}

// wakeZone probes the VMs of a zone now, because one has died and the whole zone may
// have; p.mu is held.
func (p *Peers) wakeZone(zone ident.AvailabilityZone) {
	for _, q := range p.peers {
		if q.identity.Zone == zone && q.stop != nil {
			nudge(q.wake)
		}
	}
}

// suspect stops the use of a VM whose connection failed until it answers a probe.
func (p *Peers) suspect(q *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markLocked(q, false, q.leaving)
	nudge(q.wake)
}

// rebuild chooses the hubs, and starts and ends probes accordingly; p.mu is held.
func (p *Peers) rebuild() {
	if p.settling {
		return
	}
	candidates := []placement.Candidate{{VM: placementOf(p.cfg.Self), Leaving: p.leaving}}
	for _, q := range p.peers {
		candidates = append(candidates, placement.Candidate{VM: placementOf(q.identity), Dead: q.dead, Leaving: q.leaving})
	}
	chosen, names := placement.Hubs(candidates)
	var hubs []placement.VM
	for _, v := range chosen {
		if q := p.peers[v.Name]; q == nil || q.alive {
			hubs = append(hubs, v)
		}
	}
	p.setHubs(hubs)
	p.probeOnly(append(names, p.watched...))
}

// probeOnly probes the named VMs and no others; p.mu is held.
func (p *Peers) probeOnly(names []ident.VMName) {
	wanted := map[ident.VMName]bool{}
	for _, name := range names {
		wanted[name] = true
	}
	for name, q := range p.peers {
		switch {
		case wanted[name]:
			q.unwanted = 0
			if q.stop == nil {
				var ctx context.Context
				ctx, q.stop = context.WithCancel(p.ctx)
				go p.probe(ctx, q)
			}
		case q.stop != nil && q.unwanted == 0:
			q.unwanted = p.cfg.Now()
		}
	}
}

// ended ends the probes of a VM that has been unwanted for long enough.
func (p *Peers) ended(q *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.unwanted == 0 || p.cfg.Now() < q.unwanted+probeOn {
		return false
	}
	q.stop()
	q.stop, q.alive, q.dead, q.unwanted = nil, false, false, 0
	return true
}

// SetExtraProbeTargets probes VMs beside the hubs, because what they hold matters.
func (p *Peers) SetExtraProbeTargets(names []ident.VMName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Equal(names, p.watched) {
		p.watched = slices.Clone(names)
		p.rebuild()
	}
}

// Leave takes this VM out of the hubs that it knows.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.rebuild()
}
