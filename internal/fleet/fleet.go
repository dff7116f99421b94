package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarywall/rosemarywall/internal/entry"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
	"github.com/rosemarywall/rosemarywall/internal/settings"
	"github.com/rosemarywall/rosemarywall/internal/standin"
	"github.com/rosemarywall/rosemarywall/internal/standin/upstream"
)

// Fleet is a running installation.
type Fleet struct {
	Standin *standin.Standin
	// Links holds the faults between VMs.
	Links *peer.FaultInjector

	cfg Config
	mu  sync.Mutex
	vms map[ident.VMName]*machine
	// incarnation is that of the VM started last.
	incarnation ident.Incarnation
}

// machine is a VM of the installation, running or not.
type machine struct {
	settings settings.Settings
	zone     int
	vm       *entry.VM // nil while it is down
}

// Start starts the stand-ins and all VMs. No release note is applied.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, Links: peer.NewFaultInjector(cfg.Seed), vms: map[ident.VMName]*machine{}, incarnation: 1}
	s, err := standin.Start(standin.Config{Groups: f.groups()})
	if err != nil {
		return nil, err
	}
	f.Standin = s
	f.setZones()
	number := 0
	for zone, z := range cfg.Zones {
		for i := range z.VMs {
			name := ident.VMName(fmt.Sprintf("%s-vm%d", z.Name, i+1))
			f.vms[name] = &machine{zone: zone, settings: f.settings(name, z, number)}
			number++
		}
	}
	for _, name := range f.Names() {
		if err := f.StartVM(name); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) groups() []upstream.Config {
	var out []upstream.Config
	for number, database := range f.cfg.Databases {
		g := upstream.Config{Name: database, User: upstreamUser, Password: upstreamPassword, Log: f.cfg.Log}
		for i := range f.cfg.Zones {
			// Primaries are spread over the zones: the first member is the primary.
			zone := (number + i) % len(f.cfg.Zones)
			g.Members = append(g.Members, upstream.MemberConfig{
				Name: memberName(zone), Zone: f.cfg.Zones[zone].Name,
				Slots: f.cfg.Slots, Connections: f.cfg.Connections, ConnectDelay: f.cfg.ConnectDelay,
				ShipDelay: f.cfg.ShipDelay, Lag: f.cfg.Lag,
			})
		}
		out = append(out, g)
	}
	return out
}

// memberName names the member of every database in a zone.
func memberName(zone int) ident.UpstreamName { return ident.UpstreamName(string(rune('a' + zone))) }

// endpoint names the member of a database in a zone on the stand-in network.
func (f *Fleet) endpoint(database ident.GroupName, zone int) string {
	return f.Standin.Groups[database].Member(memberName(zone)).Endpoint()
}

func sourceAddress(zone int) string { return fmt.Sprintf("127.0.%d.1", zone+1) }

// setZones declares the source networks of the zones and the latencies between
// zones.
func (f *Fleet) setZones() {
	network := f.Standin.Network
	for i, zone := range f.cfg.Zones {
		_, source, err := net.ParseCIDR(sourceAddress(i) + "/24")
		if err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "source network of zone %s", zone.Name))
		}
		network.SetZone(source, string(zone.Name))
		for j := range f.cfg.Zones {
			latency := f.latency(i, j)
			for _, database := range f.cfg.Databases {
				member := f.endpoint(database, j)
				for _, endpoint := range []string{upstream.CallersIn(string(zone.Name)), upstream.AgentsIn(string(zone.Name))} {
					network.SetLatency(endpoint, member, latency)
					network.SetLatency(member, endpoint, latency)
				}
				if i != j {
					network.SetLatency(f.endpoint(database, i), member, latency)
				}
			}
		}
	}
}

// latency is the one-way latency between two zones.
func (f *Fleet) latency(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case f.cfg.Zones[a].Region == f.cfg.Zones[b].Region:
		return f.cfg.ZoneLatency
	}
	return f.cfg.RegionLatency
}

func (f *Fleet) settings(name ident.VMName, z Zone, number int) settings.Settings {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	s := settings.Settings{
		VM:        settings.VM{Name: name, Zone: z.Name, Region: z.Region},
		Callers:   settings.Callers{Listen: anyPort, MaxCallers: 20000, MaxMessageBytes: 16 << 20, QueueDeadline: 5 * time.Second},
		Peers:     settings.Peers{Listen: anyPort},
		Platform:  settings.Platform{Address: netip.MustParseAddrPort(f.Standin.Platform.Address()), Timeout: 2 * time.Second},
		Upstreams: settings.Upstreams{User: upstreamUser, Password: upstreamPassword, ConnectTimeout: 2 * time.Second, ConfirmDeadline: 5 * time.Second},
		Admin:     settings.Admin{Listen: anyPort},
		Shutdown:  settings.Shutdown{DrainDeadline: 30 * time.Second},
		Log:       settings.Log{Level: "info"},
	}
	if number < len(f.cfg.CallerAddresses) {
		s.Callers.Listen = netip.MustParseAddrPort(f.cfg.CallerAddresses[number])
	}
	if f.cfg.Adjust != nil {
		f.cfg.Adjust(&s)
	}
	return s
}

// Names returns the names of all VMs, running or not.
func (f *Fleet) Names() []ident.VMName {
	names := make([]ident.VMName, 0, len(f.vms))
	for name := range f.vms {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// InZone returns the names of the VMs of a zone.
func (f *Fleet) InZone(zone ident.AvailabilityZone) []ident.VMName {
	var names []ident.VMName
	for _, name := range f.Names() {
		if f.vms[name].settings.VM.Zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// VM returns a running VM, or nil.
func (f *Fleet) VM(name ident.VMName) *entry.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[name].vm
}

// StartVM starts a VM that is down, as a new incarnation. Running VMs are its seeds.
func (f *Fleet) StartVM(name ident.VMName) error {
	f.mu.Lock()
	m := f.vms[name]
	if m.vm != nil {
		f.mu.Unlock()
		return errors.Newf("VM %s is running", name)
	}
	s := m.settings
	for _, other := range f.vms {
		if other.vm != nil {
			s.Peers.Seeds = append(s.Peers.Seeds, netip.MustParseAddrPort(other.vm.PeerAddress()))
		}
	}
	f.incarnation++
	incarnation := f.incarnation
	f.mu.Unlock()
	vm, err := entry.Start(entry.Config{
		Settings: &s, Log: f.cfg.Log, Incarnation: incarnation, Links: f.Links, PlaintextPeers: true,
		SourceAddress: sourceAddress(m.zone), Baseline: f.cfg.Baseline,
	})
	if err != nil {
		return errors.Wrapf(err, "start VM %s", name)
	}
	f.mu.Lock()
	m.vm = vm
	f.mu.Unlock()
	f.Standin.Platform.SetVM(objectapi.VM{Name: name, Zone: s.VM.Zone, Address: vm.PeerAddress(), State: objectapi.VMLive})
	return nil
}

// take marks a VM as down and returns it, or nil when it was down.
func (f *Fleet) take(name ident.VMName) *entry.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm := f.vms[name].vm
	f.vms[name].vm = nil
	return vm
}

// StopVM stops a VM gracefully.
func (f *Fleet) StopVM(ctx context.Context, name ident.VMName) error {
	vm := f.take(name)
	if vm == nil {
		return nil
	}
	err := vm.Stop(ctx)
	f.Standin.Platform.RemoveVM(name)
	return err
}

// KillVM ends a VM at once.
func (f *Fleet) KillVM(name ident.VMName) {
	if vm := f.take(name); vm != nil {
		vm.Kill()
		f.Standin.Platform.RemoveVM(name)
	}
}

// Close stops everything at once.
func (f *Fleet) Close() {
	var killed sync.WaitGroup
	for _, name := range f.Names() {
		killed.Go(func() { f.KillVM(name) })
	}
	killed.Wait()
	f.Standin.Close()
}

// NoteResult is the answer of a VM to a release note.
type NoteResult struct {
	Accepted bool                       `json:"accepted"`
	Version  ident.ConfigurationVersion `json:"version"`
	// Code says why the note was not accepted.
	Code resultcode.Code `json:"code"`
	Body json.RawMessage `json:"-"`
}

// ApplyNote sends a release note to a VM and returns its answer; the error holds
// the answer when the note was not accepted.
func (f *Fleet) ApplyNote(ctx context.Context, name ident.VMName, note string) (NoteResult, error) {
	vm := f.VM(name)
	if vm == nil {
		return NoteResult{}, errors.Newf("VM %s is down", name)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.AdminAddress()+"/v1/notes", bytes.NewBufferString(note))
	if err != nil {
		return NoteResult{}, errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return NoteResult{}, errors.Wrap(err, "send release note")
	}
	defer func() { _ = response.Body.Close() }()
	var result NoteResult
	if err := json.NewDecoder(response.Body).Decode(&result.Body); err != nil {
		return result, errors.Wrap(err, "read answer to release note")
	}
	if err := json.Unmarshal(result.Body, &result); err != nil {
		return result, errors.Wrap(err, "decode answer to release note")
	}
	if !result.Accepted {
		return result, errors.Newf("release note not accepted: %s", result.Body)
	}
	return result, nil
}
