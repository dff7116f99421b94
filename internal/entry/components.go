package entry

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rosemarywall/rosemarywall/internal/admin"
	"github.com/rosemarywall/rosemarywall/internal/certfiles"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/frontend"
	"github.com/rosemarywall/rosemarywall/internal/group"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/resultcode"
)

// agentIdleTimeout is how long an idle connection to a member agent is kept open.
const agentIdleTimeout = time.Minute

func listen(section string, address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, resultcode.Wrap(err, resultcode.SettingsInvalid, "cannot listen on the address of section %s", section)
	}
	return l, nil
}

func (v *VM) newMesh() (*peer.Network, error) {
	s := v.cfg.Settings
	address := s.Peers.Listen
	var listener net.Listener
	if s.Peers.Advertise.IsValid() && s.Peers.Advertise != s.Peers.Listen {
		l, err := listen("peers", s.Peers.Listen)
		if err != nil {
			return nil, err
		}
		listener, address = l, s.Peers.Advertise
	}
	cfg := peer.Config{
		Self:        peer.Member{Name: s.VM.Name, Incarnation: v.cfg.Incarnation, Zone: s.VM.Zone, Address: address.String()},
		Credentials: v.cfg.PeerCredentials, RandomSeed: uint64(v.cfg.Incarnation), Listener: listener, FaultInjector: v.cfg.Links,
		OnRefused: func(err error) { v.log.Warn().Err(err).Msg("peer connection refused") },
	}
	if cfg.Credentials == nil && !v.cfg.PlaintextPeers {
		cfg.Credentials = &peer.FileCredentials{
			CertFile: s.Peers.TLSCertificate, KeyFile: s.Peers.TLSKey, CAFile: s.Peers.TLSAuthority,
			OnError: func(err error) { v.log.Error().Err(err).Msg("cannot reload peer certificate") },
		}
	}
	for _, seed := range s.Peers.Seeds {
		cfg.SeedAddresses = append(cfg.SeedAddresses, seed.String())
	}
	return peer.New(cfg)
}

// dialer returns the dialer for connections to upstreams and agents.
func (v *VM) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: v.cfg.Settings.Upstreams.ConnectTimeout}
	if v.cfg.SourceAddress != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(v.cfg.SourceAddress)}
	}
	return d
}

func (v *VM) newAgent(_ ident.GroupName, _ ident.UpstreamName, address string) group.Agent {
	transport := &http.Transport{DialContext: v.dialer().DialContext, IdleConnTimeout: agentIdleTimeout, MaxIdleConnsPerHost: 4}
	return group.NewHTTPAgent(address, group.WithZone(v.cfg.Settings.VM.Zone), group.WithTransport(transport))
}

// upstreamTLS returns a function that creates the TLS configuration of an upstream
// connection. The CA file is reloaded when it changes; a file that cannot be loaded leaves the
// former one in use. It returns nil if no CA file is set.
func (v *VM) upstreamTLS() (func() *tls.Config, error) {
	file := v.cfg.Settings.Upstreams.TLSAuthority
	if file == "" {
		return nil, nil
	}
	loader := &certfiles.Loader[*x509.CertPool]{
		Files: []string{file},
		Load: func() (*x509.CertPool, error) {
			pool, err := certfiles.LoadPool(file)
			if err != nil {
				return nil, resultcode.Wrap(err, resultcode.SettingsTLS, "cannot load CA file %s", file)
			}
			return pool, nil
		},
		OnError: func(err error) { v.log.Error().Err(err).Msg("cannot reload upstream CA file") },
	}
	if _, err := loader.Current(); err != nil {
		return nil, err
	}
	return func() *tls.Config {
		pool, _ := loader.Current() // no error after the first load
		return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}, nil
}

func (v *VM) newFrontend() error {
	s := v.cfg.Settings
	clientTLS, err := v.clientTLS()
	if err != nil {
		return err
	}
	v.frontend = frontend.NewServer(frontend.Config{
		Authoriser: v.configs, Limiter: v.cfg.Baseline.limiter(v.shares, v.configs), Router: v.cfg.Baseline.router(v.groups),
		Pools: v.pools, FirstComeQueue: v.cfg.Baseline.FIFOQueue,
		TLS: clientTLS, RequireTLS: s.Callers.TLSRequired, MaxCallers: s.Callers.MaxCallers,
		MaxMessage: s.Callers.MaxMessageBytes, QueueTimeout: s.Callers.QueueDeadline,
		ConfirmTimeout: s.Upstreams.ConfirmDeadline, Now: v.clock.Now, Logger: v.log,
		// Wrapping each write in a transaction would hold the upstream's slot and locks
		// for another round trip; see docs/decisions/single-writes.md.
		PlainWrites: true,
	})
	v.configs.OnChange(v.applyConfiguration)
	return nil
}

// applyConfiguration disconnects clients if the availability zone of this VM is out
// of service, and notifies the connection pools of upstreams that are leaving, so
// that their idle connections are closed.
func (v *VM) applyConfiguration(c *configuration.Configuration) {
	if c.Zones[v.cfg.Settings.VM.Zone].State == configuration.ZoneOutOfService {
		v.frontend.Shed()
	}
	for name, database := range c.Databases {
		for upstream, u := range database.Upstreams {
			leaving := u.State == configuration.UpstreamLeaving || c.Zones[u.Zone].State == configuration.ZoneOutOfService
			v.pools.SetLeaving(name, upstream, leaving)
		}
	}
}

func (v *VM) newAdmin() {
	v.admin = admin.New(v.Ready)
	v.admin.Handle("/v1/", v.configs.Handler())
	v.admin.AddDump("callers", v.frontend.Dump)
	v.admin.AddDump("mesh", func() any { return v.mesh.Dump() })
	v.admin.AddDump("configuration", v.configs.Dump)
	v.admin.AddDump("shares", func() any { return v.shares.Dump() })
	v.admin.AddDump("groups", func() any { return v.groups.Dump() })
	v.admin.AddVars("callers", expvar.Func(func() any { return v.frontend.Counters().Snapshot() }))
	v.admin.AddVars("mesh", v.mesh.Vars())
	v.admin.AddVars("configuration", v.configs.Vars())
	v.admin.AddVars("shares", v.shares.Vars())
	v.admin.AddVars("groups", v.groups.Vars())
	v.admin.AddVars("platform_calls", v.platform.Calls())
	v.admin.AddDump("platform_calls", func() any { return json.RawMessage(v.platform.Calls().String()) })
}

// Ready reports whether the VM accepts new clients, and the reason if it does not.
func (v *VM) Ready() (bool, string) {
	if v.draining.Load() {
		return false, "draining"
	}
	return v.configs.Ready()
}
