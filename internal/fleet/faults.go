package fleet

import (
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// SetLatencies applies the configured latencies to messages between VMs.
func (f *Fleet) SetLatencies() {
	for _, a := range f.Names() {
		for _, b := range f.Names() {
			if a != b {
				f.Links.Set(a, b, peer.Fault{Delay: f.latency(f.vms[a].zone, f.vms[b].zone)})
			}
		}
	}
}

// CutZoneFromPlatform cuts or restores the calls of a zone to the platform.
func (f *Fleet) CutZoneFromPlatform(zone ident.AvailabilityZone, cut bool) {
	f.Standin.Platform.CutZone(zone, cut)
}

// CutZone cuts or restores a zone's VMs and upstreams from those of all other zones.
func (f *Fleet) CutZone(zone ident.AvailabilityZone, cut bool) {
	inside := f.InZone(zone)
	for _, name := range f.Names() {
		if f.vms[name].settings.VM.Zone == zone {
			continue
		}
		for _, in := range inside {
			fault := peer.Fault{Partitioned: cut}
			if !cut {
				fault.Delay = f.latency(f.vms[in].zone, f.vms[name].zone)
			}
			f.Links.Set(name, in, fault)
			f.Links.Set(in, name, fault)
		}
	}
	f.cutUpstreams(zone, cut)
}

// cutUpstreams cuts the members of a zone from the members and VMs of all others,
// and the VMs of the zone from the members of all others.
func (f *Fleet) cutUpstreams(zone ident.AvailabilityZone, cut bool) {
	network := f.Standin.Network
	for i, a := range f.cfg.Zones {
		for j, b := range f.cfg.Zones {
			if i == j || (a.Name != zone && b.Name != zone) {
				continue
			}
			for _, database := range f.cfg.Databases {
				member := f.endpoint(database, j)
				network.CutBoth(upstream.CallersIn(string(a.Name)), member, cut)
				network.CutBoth(upstream.AgentsIn(string(a.Name)), member, cut)
				network.CutBoth(f.endpoint(database, i), member, cut)
			}
		}
	}
}
