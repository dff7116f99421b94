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

// sweepInterval is the time between looks for unused upstream connections.
const sweepInterval = 30 * time.Second

// Config holds the settings of a VM and replacements for tests and the demo.
type Config struct {
	Settings *settings.Settings
	Log      zerolog.Logger
	// Incarnation distinguishes lives of the VM; zero means the start time.
	Incarnation ident.Incarnation
	// Links disturbs the messages to other VMs; nil disturbs nothing.
	Links *peer.FaultInjector
	// PeerCredentials replace the certificate files of the settings.
	PeerCredentials peer.Credentials
	// PlaintextPeers allows peers without TLS on loopback addresses.
	PlaintextPeers bool
	// SourceAddress is the local IP of connections to upstreams and agents; empty
	// leaves the choice to the system.
	SourceAddress string
	// Baseline replaces parts for measurements; the zero value replaces none.
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
	callers  *frontend.Server
	admin    *admin.Server

	callerListener net.Listener
	adminListener  net.Listener
	draining       atomic.Bool
	cancel         context.CancelFunc
	running        sync.WaitGroup
	stopOnce       sync.Once
}

// Start starts a VM. It serves callers once the configuration is known; until
// then readiness is off.
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
	v.run(ctx, "roster", v.followRoster)
	v.run(ctx, "pool sweep", v.sweepPools)
	v.run(ctx, "administration address", func(context.Context) error { return v.admin.Serve(v.adminListener) })
	v.run(ctx, "caller listener", func(context.Context) error { return v.callers.Serve(v.callerListener) })
	v.log.Info().Str("callers", v.ClientAddress()).Str("admin", v.AdminAddress()).Str("peers", v.mesh.Self().Address).Msg("started")
	return v, nil
}

// run starts a part of the process and logs its failure.
func (v *VM) run(ctx context.Context, part string, f func(context.Context) error) {
	v.running.Go(func() {
		if err := f(ctx); err != nil && ctx.Err() == nil {
			v.log.Error().Err(err).Str("part", part).Msg("part failed")
		}
	})
}

// assemble builds all parts in the order in which they depend on each other.
func (v *VM) assemble() error {
	s := v.cfg.Settings
	var err error
	if v.callerListener, err = listen("callers", s.Callers.Listen); err != nil {
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
		OutstandingRequests: func(g ident.GroupName, u ident.UpstreamName) int { return v.callers.Outstanding(g, u) },
	})
	if err := v.newFrontend(); err != nil {
		return err
	}
	v.newAdmin()
	return nil
}

// shareTableVMs returns the VMs that a share-table object lists.
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

func (v *VM) sweepPools(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
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

// ClientAddress returns the address on which callers connect.
func (v *VM) ClientAddress() string { return v.callerListener.Addr().String() }

// AdminAddress returns the administration address.
func (v *VM) AdminAddress() string { return v.adminListener.Addr().String() }

// PeerAddress returns the address on which other VMs connect.
func (v *VM) PeerAddress() string { return v.mesh.Self().Address }

// Counters returns the counters of the data plane.
func (v *VM) Counters() *filter.Counters { return v.callers.Counters() }

// Shares returns the VM's parts and buckets.
func (v *VM) Shares() sharecontroller.Dump { return v.shares.Dump() }

// State returns the state dump.
func (v *VM) State() map[string]any { return v.admin.State() }

// Stop drains the VM: readiness goes off, callers outside a transaction are told
// to reconnect, and transactions finish. An error means that ctx ended first and
// the remaining callers were cut.
func (v *VM) Stop(ctx context.Context) error {
	v.draining.Store(true)
	v.log.Info().Msg("draining")
	err := v.callers.Drain(ctx)
	if left := v.shares.Leave(ctx); left != nil {
		v.log.Warn().Err(left).Msg("rate parts not handed over")
	}
	v.mesh.Leave()
	v.shutdown()
	v.log.Info().Msg("stopped")
	return errors.Wrap(err, "drain callers")
}

// Kill ends the VM at once, as a crash does: no message is sent to other VMs.
func (v *VM) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	v.draining.Store(true)
	v.mesh.Close()
	_ = v.callers.Drain(ctx)
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
	for _, l := range []net.Listener{v.callerListener, v.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Configuration returns the configuration in force on this VM.
func (v *VM) Configuration() *configuration.Configuration { return v.configs.Current() }

// Uptime returns the time since the VM started, on the clock of its decisions.
func (v *VM) Uptime() time.Duration { return v.clock.Now() }

// QueueLength returns the number of requests that wait for an upstream of the database.
func (v *VM) QueueLength(database ident.GroupName) int {
	waiting := 0
	for _, q := range v.callers.Queues() {
		if q.Group == database {
			waiting += q.Waiting
		}
	}
	return waiting
}
