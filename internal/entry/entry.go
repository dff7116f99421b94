package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarywall/rosemarywall/internal/admin"
	"github.com/rosemarywall/rosemarywall/internal/clock"
	configcontroller "github.com/rosemarywall/rosemarywall/internal/controller/configuration"
	groupcontroller "github.com/rosemarywall/rosemarywall/internal/controller/groups"
	sharecontroller "github.com/rosemarywall/rosemarywall/internal/controller/shares"
	"github.com/rosemarywall/rosemarywall/internal/core/configuration"
	"github.com/rosemarywall/rosemarywall/internal/core/shares"
	"github.com/rosemarywall/rosemarywall/internal/filter"
	"github.com/rosemarywall/rosemarywall/internal/frontend"
	"github.com/rosemarywall/rosemarywall/internal/ident"
	"github.com/rosemarywall/rosemarywall/internal/objectapi"
	"github.com/rosemarywall/rosemarywall/internal/peer"
	"github.com/rosemarywall/rosemarywall/internal/settings"
	"github.com/rosemarywall/rosemarywall/internal/upstream"
)

// evictionInterval is the interval at which idle upstream connections are evicted.
const evictionInterval = 30 * time.Second

// Config holds the settings of a VM and overrides for tests and the demo.
type Config struct {
	Settings *settings.Settings
	Log      zerolog.Logger
	// Incarnation distinguishes successive runs of the VM. Zero selects the start
	// time in nanoseconds.
	Incarnation ident.Incarnation
	// Links injects faults into messages to other VMs; nil injects none.
	Links *peer.FaultInjector
	// PeerCredentials, if not nil, override the certificate files in Settings.
	PeerCredentials peer.Credentials
	// PlaintextPeers allows connections to peers without TLS on loopback addresses.
	PlaintextPeers bool
	// SourceAddress is the local IP address of connections to upstreams and agents.
	// If empty, the operating system selects it.
	SourceAddress string
	// Baseline selects simpler components for measurements; the zero value selects none.
	Baseline Baseline
}

// VM is a running entry VM.
type VM struct {
	cfg      Config
	log      zerolog.Logger
	clock    *clock.Clock
	platform *objectapi.HTTPClient
	mesh     *peer.Network
	configs  *configcontroller.Controller
	shares   *sharecontroller.Controller
	groups   *groupcontroller.Controller
	pools    *upstream.Pools
	frontend *frontend.Server
	admin    *admin.Server

	clientListener net.Listener
	adminListener  net.Listener
	draining       atomic.Bool
	cancel         context.CancelFunc
	running        sync.WaitGroup
	stopOnce       sync.Once
}

// Start starts a VM. The VM becomes ready to serve clients when it has received a
// configuration.
func Start(cfg Config) (*VM, error) {
	s := cfg.Settings
	if cfg.Incarnation == 0 {
		cfg.Incarnation = ident.Incarnation(time.Now().UnixNano())
	}
	v := &VM{cfg: cfg, clock: clock.New(), log: cfg.Log.With().Str("vm", string(s.VM.Name)).Logger()}
	if err := v.assemble(); err != nil {
		v.closeListeners()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.mesh.Start()
	v.run(ctx, "configuration controller", v.configs.Run)
	v.run(ctx, "share controller", func(ctx context.Context) error { v.shares.Run(ctx); return nil })
	v.groups.Start()
	v.run(ctx, "roster", v.watchVMList)
	v.run(ctx, "pool sweep", v.evictIdleConnections)
	v.run(ctx, "administration address", func(context.Context) error { return v.admin.Serve(v.adminListener) })
	v.run(ctx, "client listener", func(context.Context) error { return v.frontend.Serve(v.clientListener) })
	v.log.Info().Str("callers", v.ClientAddress()).Str("admin", v.AdminAddress()).Str("peers", v.mesh.Self().Address).Msg("started")
	return v, nil
}

// run starts a component in a goroutine and logs its failure.
func (v *VM) run(ctx context.Context, component string, f func(context.Context) error) {
	v.running.Go(func() {
		if err := f(ctx); err != nil && ctx.Err() == nil {
			v.log.Error().Err(err).Str("part", component).Msg("component failed")
		}
	})
}

// assemble creates the components in dependency order.
func (v *VM) assemble() error {
	s := v.cfg.Settings
	var err error
	if v.clientListener, err = listen("callers", s.Callers.Listen); err != nil {
		return err
	}
	if v.adminListener, err = listen("admin", s.Admin.Listen); err != nil {
		return err
	}
	v.platform = objectapi.NewHTTPClient(s.Platform.Address.String(), objectapi.WithTimeout(s.Platform.Timeout), objectapi.WithZone(s.VM.Zone))
	if v.mesh, err = v.newMesh(); err != nil {
		return err
	}
	seed := uint64(v.cfg.Incarnation)
	v.configs = configcontroller.New(configcontroller.Options{
		Mesh: v.mesh, Platform: v.platform, Clock: v.clock,
		Writer: objectapi.NewWriter(fmt.Sprintf("%s-%d", s.VM.Name, v.cfg.Incarnation), seed),
		Seed:   seed, ShareTable: shareTableVMs, Log: v.log,
		OnGroup: func(o objectapi.Object) { v.groups.HandleObject(o) },
	})
	v.shares = sharecontroller.New(sharecontroller.Config{
		Mesh: v.mesh, Platform: v.platform, Source: v.configs, Log: v.log, Seed: seed,
	})
	tlsUpstream, err := v.upstreamTLS()
	if err != nil {
		return err
	}
	v.pools = upstream.New(upstream.Config{
		Credentials: upstream.Credentials{User: s.Upstreams.User, Password: s.Upstreams.Password.Reveal()},
		TLS:         tlsUpstream, DialTimeout: s.Upstreams.ConnectTimeout, MaxMessage: s.Callers.MaxMessageBytes,
		Now: v.clock.Now, Dial: v.dialer().DialContext,
	})
	v.groups = groupcontroller.New(groupcontroller.Options{
		Mesh: v.mesh, Platform: v.platform, Configuration: v.configs, NewAgent: v.newAgent, Now: v.clock.Now, Log: v.log,
		OnPrimaryReplaced:   v.pools.CloseReplaced,
		OutstandingRequests: func(g ident.GroupName, u ident.UpstreamName) int { return v.frontend.Outstanding(g, u) },
	})
	if err := v.newFrontend(); err != nil {
		return err
	}
	v.newAdmin()
	return nil
}

// shareTableVMs decodes a share-table object and returns the VMs it lists.
func shareTableVMs(value json.RawMessage) ([]ident.VMName, error) {
	var table shares.Table
	if err := json.Unmarshal(value, &table); err != nil {
		return nil, errors.Wrap(err, "decode share table")
	}
	names := make([]ident.VMName, 0, len(table.Rows))
	for _, row := range table.Rows {
		names = append(names, row.VM)
	}
	return names, nil
}

func (v *VM) evictIdleConnections(ctx context.Context) error {
	ticker := time.NewTicker(evictionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			v.pools.EvictIdle()
		}
	}
}

// ClientAddress returns the address on which the VM accepts clients.
func (v *VM) ClientAddress() string { return v.clientListener.Addr().String() }

// AdminAddress returns the address of the admin server.
func (v *VM) AdminAddress() string { return v.adminListener.Addr().String() }

// PeerAddress returns the address on which the VM accepts other VMs.
func (v *VM) PeerAddress() string { return v.mesh.Self().Address }

// Counters returns the request counters of the frontend.
func (v *VM) Counters() *filter.Counters { return v.frontend.Counters() }

// Shares returns the state of the VM's share units and token buckets.
func (v *VM) Shares() sharecontroller.Dump { return v.shares.Dump() }

// State returns the state dump of all components.
func (v *VM) State() map[string]any { return v.admin.State() }

// Stop shuts the VM down gracefully. It reports the VM as not ready, asks clients
// outside a transaction to reconnect, and waits for open transactions to finish. Shortly
// before ctx ends, it ends what is left with an error to the client; see
// frontend.Server.Drain. Only then does it hand over the share units and leave the mesh, which
// running statements need. It returns an error if a request or transaction was not completed.
func (v *VM) Stop(ctx context.Context) error {
	v.draining.Store(true)
	v.log.Info().Msg("draining")
	err := v.frontend.Drain(ctx)
	if left := v.shares.Leave(ctx); left != nil {
		v.log.Warn().Err(left).Msg("share units not handed over to other VMs")
	}
	v.mesh.Leave()
	v.shutdown()
	v.log.Info().Msg("stopped")
	return errors.Wrap(err, "drain clients")
}

// Kill stops the VM immediately, without notifying the other VMs. It simulates a crash.
func (v *VM) Kill() {
	v.draining.Store(true)
	v.mesh.Close()
	v.frontend.Close()
	v.shutdown()
}

func (v *VM) shutdown() {
	v.stopOnce.Do(func() {
		v.cancel()
		v.groups.Stop()
		v.mesh.Close()
		v.pools.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = v.admin.Shutdown(ctx)
		v.closeListeners()
		v.running.Wait()
		v.platform.CloseIdle()
	})
}

func (v *VM) closeListeners() {
	for _, l := range []net.Listener{v.clientListener, v.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Configuration returns the configuration that is in effect on this VM.
func (v *VM) Configuration() *configuration.Configuration { return v.configs.Current() }

// Uptime returns the time since the VM started, by the clock on which its
// decisions are based.
func (v *VM) Uptime() time.Duration { return v.clock.Now() }

// QueueLength returns the number of requests that are queued for an upstream of
// the database.
func (v *VM) QueueLength(database ident.GroupName) int {
	waiting := 0
	for _, q := range v.frontend.Queues() {
		if q.Group == database {
			waiting += q.Waiting
		}
	}
	return waiting
}
