package peers

import (
	"context"

	"github.com/rosemarywall/rosemarywall/internal/clock"
	"github.com/rosemarywall/rosemarywall/internal/core/placement"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/relay"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// registration is the value of a KindVM object.
type registration struct {
	Address string                 `json:"address"`
	Zone    ident.AvailabilityZone `json:"zone"`
	Region  ident.Region           `json:"region"`
	// Cores is the processor capacity.
	Cores float64 `json:"cores"`
}

// register writes this VM's registration if it is missing or differs, and learns of
// the others. Registrations are read after the write, so that of two VMs that start
// together at least one sees the other.
func (p *Peers) register(ctx context.Context) bool {
	self := p.cfg.Self
	mine := registration{Address: self.Address, Zone: self.Zone, Region: self.Region, Cores: self.Cores}
	for range 2 {
		all, err := p.list(ctx)
		if err != nil {
			p.cfg.Log.Debug().Err(err).Msg("registrations of VMs not read")
			return false
		}
		present, version := p.learn(all.Objects)
		if present == mine {
			p.forgetGone(ctx)
			return true
		}
		if err := p.put(ctx, mine, version); err != nil {
			p.cfg.Log.Warn().Err(err).Bool("conflict", resultcode.Is(err, resultcode.PlatformConflict)).Msg("VM not registered")
			return false
		}
		if version == 0 {
			clock.Sleep(ctx, settleTime)
		}
	}
	return true
}

func (p *Peers) list(ctx context.Context) (objectapi.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return p.cfg.Store.List(ctx, KindVM)
}

func (p *Peers) put(ctx context.Context, mine registration, version objectapi.Version) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := p.cfg.Store.Put(ctx, KindVM, string(p.cfg.Self.VM), mine, version)
	return err
}

// learn takes a list of registrations and returns this VM's own.
func (p *Peers) learn(objects []objectapi.Object) (registration, objectapi.Version) {
	var own registration
	var version objectapi.Version
	listed := map[ident.VMName]bool{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range objects {
		var r registration
		if err := o.Decode(&r); err != nil {
			p.cfg.Log.Warn().Err(err).Str("object", o.Name).Msg("registration of a VM ignored")
			continue
		}
		if o.Name == string(p.cfg.Self.VM) {
			own, version = r, o.Version
			continue
		}
		name := ident.VMName(o.Name)
		listed[name] = true
		p.meet(relay.Identity{VM: name, Zone: r.Zone, Region: r.Region, Address: r.Address, Cores: r.Cores})
		if q := p.peers[name]; q != nil {
			q.version = o.Version
		}
	}
	for name, q := range p.peers {
		if !listed[name] && q.dead {
			p.drop(q)
		}
	}
	p.rebuild()
	return own, version
}

// Discover learns of a VM from its question.
func (p *Peers) Discover(identity relay.Identity) {
	if identity.VM == p.cfg.Self.VM || identity.Address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.meet(identity) {
		p.rebuild()
	}
}

// meet records a VM and reports whether it was new; p.mu is held.
func (p *Peers) meet(identity relay.Identity) bool {
	known, ok := p.peers[identity.VM]
	if ok && known.identity.Address == identity.Address {
		if known.dead {
			nudge(known.wake) // it has just asked, so it lives
		}
		return false
	}
	if ok {
		p.drop(known)
	}
	if p.ctx == nil {
		return false
	}
	p.peers[identity.VM] = &peer{identity: identity, wake: make(chan struct{}, 1),
		client: relay.NewClient(p.cfg.Self, identity.Address, p.cfg.Dial)}
	return true
}

// drop forgets a VM; p.mu is held.
func (p *Peers) drop(q *peer) {
	if q.stop != nil {
		q.stop()
	}
	q.client.Reset()
	delete(p.peers, q.identity.VM)
}

// forgetGone removes the registrations of VMs that have not answered for long, so
// that VMs which were taken out of service are not probed for ever. One that lives
// after all registers again.
func (p *Peers) forgetGone(ctx context.Context) {
	p.mu.Lock()
	first := placement.RankOf(p.hubs, "registrations", p.cfg.Self.VM) == 0
	gone := map[ident.VMName]objectapi.Version{}
	for name, q := range p.peers {
		if first && q.dead && q.version > 0 && p.cfg.Now() >= q.deadSince+goneAfter {
			gone[name] = q.version
		}
	}
	p.mu.Unlock()
	for name, version := range gone {
		err := p.cfg.Store.Delete(ctx, KindVM, string(name), version)
		p.cfg.Log.Info().Err(err).Str("peer", string(name)).Msg("registration of a gone VM removed")
	}
}
