package peers

import (
	"context"
	"net/netip"

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

// maxCores is more than any machine has.
const maxCores = 1 << 16

// valid reports whether the values can be those of a VM.
func (r registration) valid() bool {
	address, err := netip.ParseAddrPort(r.Address)
	return err == nil && address.Port() > 0 && r.Zone != "" && r.Cores >= 0 && r.Cores <= maxCores
}

// register writes this VM's registration if it is missing or differs, and reads those of
// all VMs. It reads after it has written, so that of two VMs that start concurrently at
// least one sees the other. A starting VM writes first: a conflict tells that it is
// registered already, and the list that it would otherwise need beforehand grows with the
// fleet.
func (p *Peers) register(ctx context.Context) bool {
	own := p.ownRegistration()
	if !p.isRegistered() {
		err := p.putRegistration(ctx, own, 0)
		if err != nil && !resultcode.Is(err, resultcode.PlatformConflict) {
			return false
		}
		p.setRestarted(err != nil)
		if err == nil {
			clock.Sleep(ctx, joinDelay)
		}
	}
	all, err := p.listRegistrations(ctx)
	if err != nil {
		p.cfg.Log.Debug().Err(err).Msg("reading VM registrations failed")
		return false
	}
	listed, version := p.applyRegistrations(all.Objects)
	if listed != own && p.putRegistration(ctx, own, version) != nil {
		return false
	}
	p.mu.Lock()
	p.registered, p.listedAt = true, p.cfg.Now()
	p.mu.Unlock()
	p.removeStaleRegistrations(ctx)
	return true
}

// RestoreRegistration requests that this VM writes its registration again, because the
// store may have lost it.
func (p *Peers) RestoreRegistration() { notify(p.registerNow) }

// restoreRegistration writes this VM's registration unless there is one. A lost write is
// made up for by the next list of all registrations.
func (p *Peers) restoreRegistration(ctx context.Context) {
	err := p.putRegistration(ctx, p.ownRegistration(), 0)
	p.cfg.Log.Info().Bool("lost", err == nil).Msg("registration checked after the return of the store")
}

func (p *Peers) ownRegistration() registration {
	self := p.cfg.Self
	return registration{Address: self.Address, Zone: self.Zone, Region: self.Region, Cores: self.Cores}
}

func (p *Peers) setRestarted(restarted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restarted = restarted
}

func (p *Peers) isRegistered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.registered
}

func (p *Peers) listRegistrations(ctx context.Context) (objectapi.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return p.cfg.Store.List(ctx, KindVM)
}

func (p *Peers) putRegistration(ctx context.Context, own registration, version objectapi.Version) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := p.cfg.Store.Put(ctx, KindVM, string(p.cfg.Self.VM), own, version)
	if err != nil && !(version == 0 && resultcode.Is(err, resultcode.PlatformConflict)) {
		p.cfg.Log.Warn().Err(err).Msg("VM registration failed")
	}
	return err
}

// applyRegistrations applies a list of all registrations and returns this VM's own with
// its version, which is zero without one. Dead peers that are not listed are removed.
func (p *Peers) applyRegistrations(objects []objectapi.Object) (registration, objectapi.Version) {
	var own registration
	var version objectapi.Version
	listed, invalid := map[ident.VMName]bool{}, map[string]objectapi.Version{}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range objects {
		var r registration
		err := o.Decode(&r)
		if o.Name == string(p.cfg.Self.VM) {
			own, version = r, o.Version // it is replaced if it is invalid
			continue
		}
		if err != nil || !r.valid() {
			invalid[o.Name] = o.Version
			p.logInvalid(o, err)
			continue
		}
		name := ident.VMName(o.Name)
		listed[name] = true
		p.addPeer(relay.Identity{VM: name, Zone: r.Zone, Region: r.Region, Address: r.Address, Cores: r.Cores})
		if q := p.peers[name]; q != nil {
			q.registrationVersion = o.Version
		}
	}
	p.invalid = invalid
	p.removeUnlisted(listed)
	p.updateHubs()
	return own, version
}

// logInvalid logs an invalid registration once for each change; p.mu must be held.
func (p *Peers) logInvalid(o objectapi.Object, err error) {
	if p.invalid[o.Name] != o.Version {
		p.cfg.Log.Warn().Err(err).Str("object", o.Name).Uint64("revision", uint64(o.Version)).Msg("invalid VM registration ignored")
	}
}

// Discover adds a VM from which a request was received.
func (p *Peers) Discover(identity relay.Identity) {
	if identity.VM == p.cfg.Self.VM || identity.Address == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addPeer(identity) {
		p.updateHubs()
	}
}

// addPeer adds a VM, or replaces one whose address changed, and reports whether it did;
// p.mu must be held.
func (p *Peers) addPeer(identity relay.Identity) bool {
	known, ok := p.peers[identity.VM]
	if ok && known.identity.Address == identity.Address {
		if known.dead {
			notify(known.probeNow) // it may be alive again
		}
		return false
	}
	if ok {
		p.removePeer(known)
	}
	if p.ctx == nil {
		return false
	}
	q := &peer{identity: identity, probeNow: make(chan struct{}, 1), client: relay.NewClient(p.cfg.Self, identity.Address, p.cfg.Dial)}
	if p.cfg.OnRejected != nil {
		q.client.OnRejected = func(sent bool, err error) { p.cfg.OnRejected(identity.VM, sent, err) }
	}
	q.trust, q.endTrust = context.WithCancel(context.Background())
	p.peers[identity.VM] = q
	return true
}

// removePeer removes a VM and closes its connection; p.mu must be held.
func (p *Peers) removePeer(q *peer) {
	if q.stopProbes != nil {
		q.stopProbes()
	}
	q.client.Reset()
	delete(p.peers, q.identity.VM)
}

// removeStaleRegistrations deletes the registrations of VMs that have not responded for
// registrationExpiry, so that VMs taken out of service are not probed forever. A VM that
// is still alive registers again. Only the first hub in a hash order does this.
func (p *Peers) removeStaleRegistrations(ctx context.Context) {
	p.mu.Lock()
	first := placement.RankOf(p.hubs, "registrations", p.cfg.Self.VM) == 0
	stale := map[ident.VMName]objectapi.Version{}
	for name, q := range p.peers {
		if first && q.dead && q.registrationVersion > 0 && p.cfg.Now() >= q.deadSince+registrationExpiry {
			stale[name] = q.registrationVersion
		}
	}
	p.mu.Unlock()
	for name, version := range stale {
		err := p.cfg.Store.Delete(ctx, KindVM, string(name), version)
		p.cfg.Log.Info().Err(err).Str("peer", string(name)).Msg("removing stale VM registration")
	}
}
